//! Metrics of the learnt speed of replicas.

use std::rc::Rc;
use std::sync::atomic::AtomicU64;

use driftspring_clock::Instant;
use driftspring_decisions::replica_speed::SecondChance;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::replica::Replica;

/// Maximum number of replicas that are shown one by one.
const MAX_SHOWN: usize = 64;

/// The label of metrics of a single replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReplicaLabel {
    /// The id of the replica.
    pub replica: String,
}

/// Metrics of the learnt speed of replicas.
#[derive(Debug, Default)]
pub struct SpeedMetrics {
    /// Requests that were sent to a second replica because the first took long.
    pub hedges_sent: Counter,
    /// Those of them that the second replica answered first.
    pub hedges_won: Counter,
    /// Number of replicas that are slow.
    replicas_slow: Gauge,
    /// Slowdown of those.
    slowdown: Family<ReplicaLabel, Gauge<f64, AtomicU64>>,
    /// Concurrency limit of those.
    limit: Family<ReplicaLabel, Gauge>,
}

impl SpeedMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "hedges_sent",
            "Requests sent to a second replica since the first took longer than nearly all answers do",
            self.hedges_sent.clone(),
        );
        registry.register(
            "hedges_won",
            "Those of them that the second replica answered first",
            self.hedges_won.clone(),
        );
        registry.register(
            "replicas_slow",
            "Replicas that take at least twice as long as usual",
            self.replicas_slow.clone(),
        );
        registry.register(
            "replica_slowdown",
            "How many times as long as usual a slow replica takes; 64 replicas at the most",
            self.slowdown.clone(),
        );
        registry.register(
            "replica_limit",
            "How many requests of this gateway may be open at a slow replica while others have room",
            self.limit.clone(),
        );
    }

    /// Updates the metrics of single replicas.
    pub fn update(&self, all: &[Rc<Replica>]) {
        let now = Instant::now();
        self.slowdown.clear();
        self.limit.clear();
        let slow = all.iter().filter(|replica| replica.speed.is_slow());
        self.replicas_slow
            .set(i64::try_from(slow.clone().count()).unwrap_or(i64::MAX));
        for replica in slow.take(MAX_SHOWN) {
            let label = ReplicaLabel {
                replica: replica.id().to_owned(),
            };
            let slowdown = replica.speed.slowdown(SecondChance::Hedged, now);
            self.slowdown.get_or_create(&label).set(slowdown);
            let limit = i64::from(replica.speed.limit());
            self.limit.get_or_create(&label).set(limit);
        }
    }
}
