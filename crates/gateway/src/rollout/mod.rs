//! New weights, ordered by one daemon at a time.
//!
//! - [`lease`]: which daemon may give orders, and until when.
//! - [`plan`]: which replicas load next.
//! - [`task`]: does it.

pub mod lease;
pub mod plan;
mod task;

pub use lease::{LeaseAction, LeaseTimes, OrderLease};
pub use task::{LEASE_NAME, lease_times, run};
