//! Callers' connections: how they are accepted, and how they end.

pub mod accept;

pub use driftspring_callers::{Lingering, linger, socket};

/// Metrics of the ends of callers' connections.
pub mod metrics {
    pub use driftspring_telemetry::metrics::{LingerEnd, LingerLabels, LingerMetrics};
}
