//! Clients of outside systems: engine, object store, machine list, weight store, KV store.

pub mod engine;
pub mod kv_store;
pub mod legacy;
pub mod machines;
pub mod object_store;
mod service;

pub use service::ServiceTimeouts;
