//! Clients of outside systems: engine, object store, machine list, weight store, KV store.

pub mod engine;
