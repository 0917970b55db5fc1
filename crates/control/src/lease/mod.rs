//! Leases: objects in the store that one holder renews.
//!
//! The fencing token of a lease is the revision of the write that acquired it. It rises with every
//! acquisition, because the store's revisions do, and stays through renewals.
//!
//! No two clocks are compared. The holder counts a lease's term from *before* the renewing call, on its
//! monotonic clock; another candidate counts it from *after* the read that first showed it the present
//! revision, and adds a margin for clocks that run at different rates.

mod machine;
mod record;

pub use machine::{LeaseAnswer, LeaseMachine, LeaseSettings, LeaseStep, LeaseWrite};
pub use record::{LeaseHolder, LeaseRecord};
