//! Metrics of streams that callers take up.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Metrics of streams that callers take up.
#[derive(Debug, Default)]
pub struct StreamMetrics {
    taken_up: Family<OutcomeLabel, Counter>,
    version_records: Family<OutcomeLabel, Counter>,
}

impl StreamMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "streams_taken_up",
            "Requests that take a stream up, by how its software version was found, or why it was not",
            self.taken_up.clone(),
        );
        registry.register(
            "version_records",
            "Records of software versions in use, by whether they could be written to the store",
            self.version_records.clone(),
        );
    }

    /// Counts an attempt to write the record of a service's versions.
    pub fn count_record(&self, outcome: &'static str) {
        self.version_records
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Counts a request that takes a stream up.
    pub fn count_taken_up(&self, outcome: &'static str) {
        self.taken_up.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
