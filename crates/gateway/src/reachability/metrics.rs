//! Metrics of the paths to replicas.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the paths to replicas.
#[derive(Debug, Default)]
pub struct PathMetrics {
    /// How often the path to the replicas of a service was lost.
    pub lost: Counter,
    /// Number of services of which no replica can be reached.
    pub services_unreachable: Gauge,
    /// Probes sent to replicas.
    pub probes: Counter,
}

impl PathMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "paths_lost",
            "Losses of the path to all replicas of a service",
            self.lost.clone(),
        );
        registry.register(
            "services_unreachable",
            "Services of which this gateway can reach no replica",
            self.services_unreachable.clone(),
        );
        registry.register(
            "path_probes",
            "Probes of replicas whose path was in doubt or lost",
            self.probes.clone(),
        );
    }
}
