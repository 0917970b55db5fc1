//! Leases, rollout of weights, drain and the claim group, as plans and state machines without input or
//! output. The daemon's `control` module carries them out.
//!
//! - [`lease`]: at most one holder acts at a time; its token fences the orders of earlier ones.
//! - [`rollout`]: which replica loads the wanted weights next.
//! - [`intents`]: which engines have to be told to drain or to serve.
//! - [`hot_prefixes`]: what a cold engine is warmed with.
//! - [`claim_group`]: which daemons hold at-most-once claims.

pub mod claim_group;
pub mod hot_prefixes;
pub mod intents;
pub mod lease;
pub mod rollout;

pub use lease::{LeaseHolder, LeaseMachine, LeaseRecord, LeaseSettings, LeaseStep, LeaseWrite};
