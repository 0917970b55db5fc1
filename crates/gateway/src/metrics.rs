//! What a gateway counts, in Prometheus text format.

use std::fmt;
use std::sync::Mutex;

use driftspring_telemetry::metrics::DurationHistogram;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

/// The numbers of one gateway. Counting is one atomic addition.
pub struct GatewayMetrics {
    /// Requests that got a replica's whole answer.
    pub answered: Counter,
    /// Requests that got an answer of the gateway's own.
    pub refused: Counter,
    /// Requests whose caller left first.
    pub abandoned: Counter,
    /// Streams that were cut.
    pub cut: Counter,
    /// Requests sent to replicas.
    pub sent: Counter,
    /// Requests sent again.
    pub repeated: Counter,
    /// Streams that went on at another replica.
    pub moved: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// From the arrival of a request to the head of its answer.
    pub time_to_answer: DurationHistogram,
    /// From the arrival of a request to the end of its answer.
    pub request_duration: DurationHistogram,
    /// The version of the configuration in force.
    pub configuration_version: Gauge,
    /// Replicas listed.
    pub replicas: Gauge,
    registry: Mutex<Registry>,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("GatewayMetrics")
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let metrics = Self {
            answered: Counter::default(),
            refused: Counter::default(),
            abandoned: Counter::default(),
            cut: Counter::default(),
            sent: Counter::default(),
            repeated: Counter::default(),
            moved: Counter::default(),
            store_calls: Counter::default(),
            time_to_answer: DurationHistogram::default(),
            request_duration: DurationHistogram::default(),
            configuration_version: Gauge::default(),
            replicas: Gauge::default(),
            registry: Mutex::new(Registry::with_prefix("driftspring_gateway")),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&self) {
        let Ok(mut registry) = self.registry.lock() else {
            return;
        };
        let counters = [
            ("requests_answered", "Requests answered", &self.answered),
            (
                "requests_refused",
                "Requests with an own answer",
                &self.refused,
            ),
            (
                "requests_abandoned",
                "Requests whose caller left",
                &self.abandoned,
            ),
            ("streams_cut", "Streams cut", &self.cut),
            ("sends", "Requests sent to replicas", &self.sent),
            ("repeats", "Requests sent again", &self.repeated),
            (
                "streams_moved",
                "Streams that went on elsewhere",
                &self.moved,
            ),
            ("store_calls", "Calls to the store", &self.store_calls),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register_with_unit(
            "time_to_answer",
            "From a request's arrival to the head of its answer",
            Unit::Seconds,
            self.time_to_answer.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "From a request's arrival to the end of its answer",
            Unit::Seconds,
            self.request_duration.clone(),
        );
        registry.register(
            "configuration_version",
            "The version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register("replicas", "Replicas listed", self.replicas.clone());
    }

    /// The page of all numbers.
    pub fn page(&self) -> String {
        let mut page = String::new();
        if let Ok(registry) = self.registry.lock() {
            // Writing into a string can't fail.
            let _ = text::encode(&mut page, &registry);
        }
        page
    }
}
