//! Numbered log events, control-budget counters and Prometheus metrics.

pub mod events;
mod log_writer;
pub mod logging;
pub mod metrics;

pub use events::{EventCode, catalogue, catalogue_page};
#[doc(hidden)]
pub use log as log_crate;
pub use log_writer::QueuedWriter;
pub use metrics::Metrics;
