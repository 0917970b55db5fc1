//! The metrics of a gateway, exported in Prometheus text format.

use std::fmt;
use std::sync::Mutex;

use driftspring_telemetry::metrics::{DurationHistogram, LingerMetrics};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::forwarding::ForwardingMetrics;
use crate::reachability::PathMetrics;
use crate::replicas::MeasuredWait;
use crate::replicas::speed_metrics::SpeedMetrics;
use crate::shares::metrics::ShareMetrics;
use crate::stream_versions::StreamMetrics;
use crate::upstream::ended_by_element;

/// The labels of the counter of invalid input.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RejectedLabels {
    /// The source of the input, see [`crate::store::Rejected`].
    pub kind: String,
    /// The category of the error, see [`crate::protocol::UnreadableReason`].
    pub reason: String,
}

/// The metrics of one gateway. Incrementing a counter is one atomic addition.
pub struct GatewayMetrics {
    /// Requests that received a replica's complete answer.
    pub answered: Counter,
    /// Requests that the gateway answered itself.
    pub refused: Counter,
    /// Requests whose caller disconnected before the end of the answer.
    pub abandoned: Counter,
    /// Streams that were aborted.
    pub cut: Counter,
    /// Requests sent to replicas.
    pub sent: Counter,
    /// Requests that were sent again.
    pub repeated: Counter,
    /// Streams that were resumed at another replica.
    pub moved: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Time from the arrival of a request to the headers of its answer.
    pub time_to_answer: DurationHistogram,
    /// Time from the arrival of a request to the end of its answer.
    pub request_duration: DurationHistogram,
    /// Time from the sending of a request to a replica to its start there.
    pub begin_wait: DurationHistogram,
    /// How much longer than expected requests were queued at replicas.
    pub begin_wait_excess: DurationHistogram,
    /// How much shorter than expected requests were queued at replicas.
    pub begin_wait_shortfall: DurationHistogram,
    /// How long newer weights had been wanted when a request started on older ones.
    pub outdated_begin: DurationHistogram,
    /// Requests withdrawn from the queue of a replica because its weights became too old.
    pub withdrawn: Counter,
    /// Requests refused at once because no replica would start them within the time limit of their callers.
    pub overloaded: Counter,
    /// Requests refused because every replica that could serve them had asked for a pause.
    pub paused: Counter,
    /// Fair shares of tenants.
    pub shares: ShareMetrics,
    /// Permits granted to this gateway to send to a replica with a rate limit.
    pub permits_granted: Counter,
    /// Permits denied to this gateway.
    pub permits_denied: Counter,
    /// Requests for permits that were not answered; they also count as denied.
    pub permits_unanswered: Counter,
    /// Requests refused because they exceeded their tenants' quotas.
    pub over_quota: Counter,
    /// Replicas kept in use for a limited time without an entry.
    pub replicas_lapsed: Counter,
    /// Entries of replicas that were gone before the store was restored from a copy, and were not used again.
    pub replicas_held_back: Counter,
    /// Replicas that crashed or stopped while requests of this gateway were open there.
    pub replicas_ended: Counter,
    /// Requests refused because they crashed the replicas that ran them.
    pub quarantined: Counter,
    /// Occurrences of invalid input from others, by kind and reason.
    pub rejected: Family<RejectedLabels, Counter>,
    /// The version of the configuration in force.
    pub configuration_version: Gauge,
    /// 1 if the configuration in force was read at the start and no gateway that had run before has confirmed it, else 0.
    pub configuration_unconfirmed: Gauge,
    /// Configurations taken from another gateway because the store had lost them.
    pub configurations_handed_on: Counter,
    /// Number of distinct requests that are quarantined.
    pub fingerprints_quarantined: Gauge,
    /// The latest known era of the store; 0 if it names none.
    pub store_era: Gauge,
    /// How often the store was found to have been restored from a copy.
    pub store_era_changes: Counter,
    /// Number of listed replicas.
    pub replicas: Gauge,
    /// Number of replicas that limit their rate; updated every second.
    pub replicas_limited: Gauge,
    /// Number of replicas that want no requests from this gateway for a while; updated every second.
    pub replicas_resting: Gauge,
    /// Number of replicas that have announced that they are leaving; updated every second.
    pub replicas_leaving: Gauge,
    /// Pauses between events of streams that were longer than the pause target of their route.
    pub pauses_over_target: Counter,
    /// Streams with a pause target that are expected to run at all replicas; updated every second.
    pub streams_expected: Gauge,
    /// Open streams of this gateway with a pause target; updated every second.
    pub streams_open: Gauge,
    /// Replicas that long prompts prefer and streams avoid; updated every second.
    pub replicas_reserved: Gauge,
    /// Bytes held for callers.
    pub bytes_held: Gauge,
    /// Answers ended because their callers took nothing for too long.
    pub answers_not_taken: Counter,
    /// Answers ended because the bytes held for callers had reached their limit.
    pub answers_ended_for_room: Counter,
    /// What is learnt of the speed of replicas.
    pub speed: SpeedMetrics,
    /// Paths to replicas.
    pub paths: PathMetrics,
    /// Requests that go through other gateways.
    pub forwarding: ForwardingMetrics,
    /// Lingering ends of callers' connections.
    pub linger: LingerMetrics,
    /// Metrics of streams that callers take up.
    pub streams: StreamMetrics,
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
            begin_wait: DurationHistogram::default(),
            begin_wait_excess: DurationHistogram::default(),
            begin_wait_shortfall: DurationHistogram::default(),
            outdated_begin: DurationHistogram::default(),
            withdrawn: Counter::default(),
            overloaded: Counter::default(),
            paused: Counter::default(),
            permits_granted: Counter::default(),
            permits_denied: Counter::default(),
            permits_unanswered: Counter::default(),
            over_quota: Counter::default(),
            shares: ShareMetrics::default(),
            replicas_lapsed: Counter::default(),
            replicas_held_back: Counter::default(),
            replicas_ended: Counter::default(),
            quarantined: Counter::default(),
            rejected: Family::default(),
            fingerprints_quarantined: Gauge::default(),
            store_era: Gauge::default(),
            store_era_changes: Counter::default(),
            configuration_version: Gauge::default(),
            configuration_unconfirmed: Gauge::default(),
            configurations_handed_on: Counter::default(),
            replicas: Gauge::default(),
            replicas_limited: Gauge::default(),
            replicas_leaving: Gauge::default(),
            replicas_resting: Gauge::default(),
            pauses_over_target: Counter::default(),
            streams_expected: Gauge::default(),
            streams_open: Gauge::default(),
            replicas_reserved: Gauge::default(),
            bytes_held: Gauge::default(),
            answers_not_taken: Counter::default(),
            answers_ended_for_room: Counter::default(),
            speed: SpeedMetrics::default(),
            paths: PathMetrics::default(),
            linger: LingerMetrics::default(),
            forwarding: ForwardingMetrics::default(),
            streams: StreamMetrics::default(),
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
            (
                "requests_withdrawn",
                "Requests withdrawn from replicas whose weights became too old",
                &self.withdrawn,
            ),
            (
                "requests_overloaded",
                "Requests refused at once, since they would begin at no replica in time",
                &self.overloaded,
            ),
            (
                "requests_paused",
                "Requests refused since every replica that could serve had asked for a pause",
                &self.paused,
            ),
            (
                "pauses_over_target",
                "Pauses between events of streams beyond the pause targets of their routes",
                &self.pauses_over_target,
            ),
            (
                "permits_granted",
                "Permits to send to replicas with limits",
                &self.permits_granted,
            ),
            (
                "permits_denied",
                "Permits to send to replicas with limits that were not given",
                &self.permits_denied,
            ),
            (
                "permits_unanswered",
                "Questions for permits that nobody answered",
                &self.permits_unanswered,
            ),
            (
                "requests_over_quota",
                "Requests refused since they were beyond their tenants' limits",
                &self.over_quota,
            ),
            (
                "replicas_lapsed",
                "Replicas kept in use for a while without an entry",
                &self.replicas_lapsed,
            ),
            (
                "replicas_held_back",
                "Entries of replicas that were gone before the store came back from a copy, not used again",
                &self.replicas_held_back,
            ),
            (
                "store_era_changes",
                "How often the store was found to have come back from a copy",
                &self.store_era_changes,
            ),
            (
                "configurations_handed_on",
                "Configurations taken from another gateway, since the store had lost them",
                &self.configurations_handed_on,
            ),
            (
                "replicas_ended",
                "Replicas that ended while requests were open there",
                &self.replicas_ended,
            ),
            (
                "requests_quarantined",
                "Requests refused since they ended the replicas that ran them",
                &self.quarantined,
            ),
            (
                "answers_not_taken",
                "Answers ended since their callers took nothing for too long",
                &self.answers_not_taken,
            ),
            (
                "answers_ended_for_room",
                "Answers ended since too many bytes were held for callers",
                &self.answers_ended_for_room,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        self.shares.register(&mut registry);
        let durations = [
            (
                "time_to_answer",
                "From a request's arrival to the head of its answer",
                &self.time_to_answer,
            ),
            (
                "request_duration",
                "From a request's arrival to the end of its answer",
                &self.request_duration,
            ),
            (
                "begin_wait",
                "From the sending of a request to a replica to its begin there",
                &self.begin_wait,
            ),
            (
                "begin_wait_excess",
                "How much longer than expected requests waited at replicas",
                &self.begin_wait_excess,
            ),
            (
                "begin_wait_shortfall",
                "How much shorter than expected requests waited at replicas",
                &self.begin_wait_shortfall,
            ),
            (
                "outdated_begin",
                "Age of the newer weights when a request began on older ones",
                &self.outdated_begin,
            ),
        ];
        for (name, help, histogram) in durations {
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
        }
        self.speed.register(&mut registry);
        self.paths.register(&mut registry);
        self.linger.register(&mut registry);
        self.forwarding.register(&mut registry);
        self.streams.register(&mut registry);
        registry.register(
            "bytes_held",
            "Bytes held for callers: bodies, and what they have not taken of their answers",
            self.bytes_held.clone(),
        );
        registry.register(
            "configuration_version",
            "The version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "configuration_unconfirmed",
            "Whether no gateway that had run before has confirmed the configuration in force: 1, else 0",
            self.configuration_unconfirmed.clone(),
        );
        registry.register(
            "rejected",
            "Objects, reports and datagrams that could not be read, each time",
            self.rejected.clone(),
        );
        registry.register(
            "answers_without_end",
            "Answers and requests of others that were ended, since an element of them had no end",
            ended_by_element(),
        );
        registry.register("replicas", "Replicas listed", self.replicas.clone());
        registry.register(
            "replicas_limited",
            "Replicas that limit the rate at which they take requests",
            self.replicas_limited.clone(),
        );
        registry.register(
            "replicas_resting",
            "Replicas that turned a request away and want none for a while",
            self.replicas_resting.clone(),
        );
        registry.register(
            "replicas_leaving",
            "Replicas that said in an answer that they are leaving",
            self.replicas_leaving.clone(),
        );
        registry.register(
            "streams_expected",
            "Streams with a pause target that are expected to run at replicas, for all gateways",
            self.streams_expected.clone(),
        );
        registry.register(
            "streams_open",
            "Open streams of this gateway with a pause target",
            self.streams_open.clone(),
        );
        registry.register(
            "replicas_reserved",
            "Replicas that long prompts prefer and streams avoid",
            self.replicas_reserved.clone(),
        );
        registry.register(
            "store_era",
            "The latest era of the store that is known; 0 where it names none",
            self.store_era.clone(),
        );
        registry.register(
            "fingerprints_quarantined",
            "Different requests that are quarantined",
            self.fingerprints_quarantined.clone(),
        );
    }

    /// Records how long a request was queued at its replica, compared with the expected time.
    pub fn note_begun(&self, begun: &MeasuredWait) {
        self.begin_wait.observe(begun.wait);
        match begun.wait.checked_sub(begun.expected) {
            Some(excess) => self.begin_wait_excess.observe(excess),
            None => self
                .begin_wait_shortfall
                .observe(begun.expected - begun.wait),
        }
    }

    /// Encodes all metrics in Prometheus text format.
    pub fn page(&self) -> String {
        let mut page = String::new();
        if let Ok(registry) = self.registry.lock() {
            // Writing into a string can't fail.
            let _ = text::encode(&mut page, &registry);
        }
        page
    }
}
