//! Metrics of forwarded requests.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The labels of the counters of forwarded requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HopLabels {
    /// The name of the other gateway.
    pub peer: String,
    /// What became of the request.
    pub outcome: &'static str,
}

/// Metrics of forwarded requests.
#[derive(Debug, Default)]
pub struct ForwardingMetrics {
    /// Requests forwarded to other gateways.
    pub forwarded: Family<HopLabels, Counter>,
    /// Requests taken from other gateways.
    pub taken: Family<HopLabels, Counter>,
    /// Requests taken from other gateways that are open.
    pub taken_open: Gauge,
}

impl ForwardingMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests_forwarded",
            "Requests forwarded to other gateways since no replica could be reached, by gateway and outcome",
            self.forwarded.clone(),
        );
        registry.register(
            "requests_taken",
            "Requests of other gateways that could reach no replica, by gateway and outcome",
            self.taken.clone(),
        );
        registry.register(
            "requests_taken_open",
            "Requests of other gateways that are open here",
            self.taken_open.clone(),
        );
    }

    /// Counts a forwarded request.
    pub fn count_forwarded(&self, peer: &str, outcome: &'static str) {
        let peer = peer.to_owned();
        self.forwarded
            .get_or_create(&HopLabels { peer, outcome })
            .inc();
    }

    /// Counts a request of another gateway.
    pub fn count_taken(&self, peer: &str, outcome: &'static str) {
        let peer = peer.to_owned();
        self.taken.get_or_create(&HopLabels { peer, outcome }).inc();
    }
}
