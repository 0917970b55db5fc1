//! Tenant limits, enforced by all gateways together.
//!
//! No gateway counts centrally. For each tenant with a limit every gateway keeps a copy of one token bucket,
//! which refills at the tenant's rate, and takes out of it what it and all other gateways admit. Members
//! report their tenants' usage to the leader of their group; leaders send the sums to each other and to their
//! members several times a second ([`crate::peers`]). The cost per gateway thus does not grow with the number
//! of gateways.
//!
//! All copies refill at the same time. If each gateway admitted whatever its copy allows, hundreds of gateways
//! would spend the same tokens at once. Each request is therefore admitted with a probability: the rate that
//! the limit allows divided by the requested rate. So each gateway admits its part, whatever share of the
//! traffic it receives.
//!
//! A group that sends no reports is assumed to keep its last usage rate for a while.
//!
//! - [`group_use`]: the usage of a group, as reported by its leaders.
//! - [`limit`]: the copy of one tenant's bucket, and the decision.
//! - [`usage`]: usage as running totals, which tolerate lost reports.
//! - [`shared`]: all tenants of this gateway.

pub mod group_use;
pub mod limit;
pub mod shared;
pub mod usage;

pub use limit::{QuotaExceeded, Tolerance};
pub use shared::{Charge, Quotas};
