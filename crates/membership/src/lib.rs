//! Gossip membership and the engine table, as state machines without input or output.
//!
//! - [`rendezvous`]: who reads the store and observes which engine.

pub mod rendezvous;

pub use rendezvous::{engine_owners, zone_readers};
