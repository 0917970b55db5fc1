//! Numbered log events, control-budget counters and Prometheus metrics.

pub mod events;
pub mod metrics;

pub use events::{EventCode, catalogue};
#[doc(hidden)]
pub use log as log_crate;
pub use metrics::Metrics;
