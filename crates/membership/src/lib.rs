//! Gossip membership and the engine table, as state machines without input or output.
//!
//! - [`membership`]: the state machine; [`action`]: what it asks of its driver.
//! - [`member_table`], [`engine_table`]: what is known; [`merge`]: how two records become one.
//! - [`prober`]: whom to probe; [`suspicion`]: time to refute; [`zone_contacts`]: which zones can be reached.
//! - [`update_queue`]: news to pass on; [`sync`] and [`digest`]: comparison of full state.
//! - [`message`], [`rows`], [`tag`]: the datagram and its compact content.
//! - [`rendezvous`]: who reads the store and observes which engine; [`ownership`] keeps the latter.
//! - [`config`]: periods, bounds and byte budgets.

pub mod action;
pub mod config;
pub mod digest;
pub mod engine_table;
pub mod member_table;
pub mod membership;
pub mod merge;
pub mod message;
pub mod ownership;
pub mod prober;
pub mod rendezvous;
pub mod rows;
pub mod suspicion;
pub mod sync;
pub mod tag;
pub mod update_queue;
pub mod zone_contacts;

pub use action::Action;
pub use config::{GossipConfig, MAX_DATAGRAM_BYTES};
pub use membership::Membership;
pub use merge::{merge_engines, merge_members};
pub use message::{ByteCounts, Datagram, DecodeError};
pub use ownership::OwnershipCache;
pub use rendezvous::{engine_owners, zone_readers};
