//! Rollout of new weights to the replicas, ordered by one gateway at a time.
//!
//! - [`lease`]: which gateway may give orders, and until when.
//! - [`load`]: brings one replica to the wanted weights.
//! - [`plan`]: chooses the replicas that load next.
//! - [`token`]: computes the next fencing token.
//! - [`task`]: runs the rollout.

pub mod lease;
mod load;
pub mod plan;
mod task;
pub mod token;

pub use lease::{LeaseAction, LeaseTimes, OrderLease, lease_record};
pub use load::record_if_suspected;
pub use task::{LEASE_NAME, lease_times, run};
