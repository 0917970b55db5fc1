//! Whether this gateway reaches the replicas of a service at all.
//!
//! A gateway may lose its network path to every replica of a service while callers, the store and other gateways still
//! reach it. The health of single replicas does not show that: each of them looks as if it had failed.
//!
//! - [`service_path`]: the state of the path to one service, derived from answers and probes.
//! - `probe`: probes replicas when there is reason to doubt the path, and until it is back.
//! - [`random_sample`]: which replicas are probed.

mod metrics;
mod paths;
mod probe;
mod sample;
pub mod service_path;

pub use metrics::PathMetrics;
pub use paths::Paths;
pub(crate) use probe::{Doubt, confirm, doubt, until_regained, watch};
pub use sample::random_sample;
pub use service_path::{PathUse, ServicePath};
