//! The limits of tenants, which all daemons keep together.
//!
//! No daemon counts for all: each keeps, for every tenant with a limit, a copy of one bucket that is filled at the
//! tenant's rate, and takes out of it what itself and all others admit. Members tell the leader of their group what
//! their tenants used, leaders tell each other and their members the sums, some times a second
//! ([`crate::peers`]). So the cost for a daemon does not grow with their number.
//!
//! All copies are filled at the same moment. Were each daemon to admit what its copy bears, hundreds would admit the
//! same tokens at once. So a request is admitted with the share of what is asked for that the limit bears: each daemon
//! admits its part of it, whatever part of the traffic comes to it.
//!
//! While nothing is heard of a group its tenants are taken to use what they did.
//!
//! - [`group_use`]: what a group used, as its leaders tell.
//! - [`limit`]: the copy of one tenant's bucket, and the decision.
//! - [`usage`]: what was used, in totals that survive the loss of a report.
//! - [`shared`]: all tenants of this daemon.

pub mod group_use;
pub mod limit;
pub mod shared;
pub mod usage;

pub use limit::{QuotaExceeded, Tolerance};
pub use shared::{Charge, Quotas};
