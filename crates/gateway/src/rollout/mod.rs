//! New weights, ordered by one daemon at a time.
//!
//! - [`lease`]: which daemon may give orders, and until when.
//! - [`load`]: brings one replica to the wanted weights.
//! - [`plan`]: which replicas load next.
//! - [`token`]: which fencing token is next.
//! - [`task`]: does it.

pub mod lease;
mod load;
pub mod plan;
mod task;
pub mod token;

pub use lease::{LeaseAction, LeaseTimes, OrderLease, lease_record};
pub use load::record_if_suspected;
pub use task::{LEASE_NAME, lease_times, run};
