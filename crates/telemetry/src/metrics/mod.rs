//! Metrics of one daemon in Prometheus text format.
//!
//! Counting is one relaxed atomic addition: no lock and no look-up stands on the request path. Labels
//! are enumerations, so each labelled counter is an array with one slot per label value.

mod control;
mod counters;
mod histogram;
mod labels;
mod lingering;
mod process;

use std::time::Duration;

use driftspring_types::Outcome;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

pub use control::{ControlMetrics, ControlTimer};
pub use counters::LabelledCounters;
use driftspring_types::{EngineHealth, MemberState, NotRunReason};
pub use histogram::DurationHistogram;
pub use labels::{ControlSubsystem, ExtraAttempt, MetricLabel, OutcomeLabel};
pub use lingering::{LingerEnd, LingerLabels, LingerMetrics};

/// All metrics of one daemon.
///
/// Members are counted by whichever part brings the event about; gauges are set by the operators'
/// server just before it renders the page.
#[derive(Debug)]
pub struct Metrics {
    /// Requests answered, by outcome. Use [`Metrics::count_outcome`].
    pub requests: LabelledCounters<OutcomeLabel>,
    /// Requests refused as not run, by reason. Use [`Metrics::count_outcome`].
    pub refusals: LabelledCounters<NotRunReason>,
    /// Requests passed to a legacy upstream.
    pub legacy_requests: Counter,
    /// From the arrival of a request to its first token, in seconds.
    pub time_to_first_token: DurationHistogram,
    /// From the arrival of a request to the end of its answer, in seconds.
    pub request_duration: DurationHistogram,
    /// Tokens passed on to callers.
    pub tokens_relayed: Counter,
    /// Requests given up by their callers before their end.
    pub abandoned_requests: Counter,
    /// Stream events not passed on, because they were repeated or belonged to another request.
    pub dropped_events: Counter,
    /// Attempts after the first one of a request, by kind.
    pub extra_attempts: LabelledCounters<ExtraAttempt>,
    /// Prompt tokens of the requests that engines answered, as the engines counted them.
    pub prompt_tokens: Counter,
    /// Prompt tokens that engines took from their cache, as they said.
    pub cached_prompt_tokens: Counter,
    /// Bytes and time of control work.
    pub control: ControlMetrics,
    /// Lingering ends of callers' connections.
    pub lingering: LingerMetrics,
    /// Gauges, set before each rendering.
    pub gauges: Gauges,
    registry: Registry,
}

/// Values read from the daemon's state whenever the page is rendered.
#[derive(Debug, Clone, Default)]
pub struct Gauges {
    /// Requests open in this daemon.
    pub open_requests: Gauge,
    /// The revision up to which the configuration in force is complete.
    pub config_revision: Gauge,
    /// Daemons known, by state.
    pub members: LabelledCounters<MemberState>,
    /// Engines known, by health.
    pub engines: LabelledCounters<EngineHealth>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics that are all zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            requests: LabelledCounters::counters(),
            refusals: LabelledCounters::counters(),
            legacy_requests: Counter::default(),
            time_to_first_token: DurationHistogram::default(),
            request_duration: DurationHistogram::default(),
            tokens_relayed: Counter::default(),
            abandoned_requests: Counter::default(),
            dropped_events: Counter::default(),
            extra_attempts: LabelledCounters::counters(),
            prompt_tokens: Counter::default(),
            cached_prompt_tokens: Counter::default(),
            control: ControlMetrics::default(),
            lingering: LingerMetrics::default(),
            gauges: Gauges {
                members: LabelledCounters::gauges(),
                engines: LabelledCounters::gauges(),
                ..Gauges::default()
            },
            registry: Registry::with_prefix("driftspring"),
        };
        metrics.register_requests();
        metrics.register_cache_and_control();
        metrics.register_gauges();
        metrics.lingering.register(&mut metrics.registry);
        metrics.lingering.show_all_ends();
        metrics
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests answered, by outcome",
            self.requests.clone(),
        );
        registry.register(
            "refusals",
            "Requests not run, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "legacy_requests",
            "Requests passed to a legacy upstream",
            self.legacy_requests.clone(),
        );
        registry.register_with_unit(
            "time_to_first_token",
            "From the arrival of a request to its first token",
            Unit::Seconds,
            self.time_to_first_token.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "From the arrival of a request to the end of its answer",
            Unit::Seconds,
            self.request_duration.clone(),
        );
        registry.register(
            "tokens_relayed",
            "Tokens passed on to callers",
            self.tokens_relayed.clone(),
        );
        registry.register(
            "abandoned_requests",
            "Requests given up by their callers before their end",
            self.abandoned_requests.clone(),
        );
        registry.register(
            "dropped_events",
            "Stream events that were repeated or belonged to another request",
            self.dropped_events.clone(),
        );
        registry.register(
            "extra_attempts",
            "Attempts after the first one of a request, by kind",
            self.extra_attempts.clone(),
        );
    }

    fn register_cache_and_control(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "prompt_tokens",
            "Prompt tokens of answered requests, as counted by the engines",
            self.prompt_tokens.clone(),
        );
        registry.register(
            "cached_prompt_tokens",
            "Prompt tokens that engines took from their cache",
            self.cached_prompt_tokens.clone(),
        );
        registry.register_with_unit(
            "control_sent",
            "Bytes sent for control, by subsystem",
            Unit::Bytes,
            self.control.bytes_sent.clone(),
        );
        registry.register_with_unit(
            "control_received",
            "Bytes received for control, by subsystem",
            Unit::Bytes,
            self.control.bytes_received.clone(),
        );
        registry.register_with_unit(
            "control_busy",
            "Time spent in control work between two waits, by subsystem",
            Unit::Seconds,
            self.control.busy.clone(),
        );
        registry.register_collector(Box::new(process::ProcessCollector));
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        let gauges = &self.gauges;
        registry.register(
            "open_requests",
            "Requests open in this daemon",
            gauges.open_requests.clone(),
        );
        registry.register(
            "config_revision",
            "Revision up to which the configuration in force is complete",
            gauges.config_revision.clone(),
        );
        registry.register("members", "Daemons known, by state", gauges.members.clone());
        registry.register(
            "engines",
            "Engines known, by health",
            gauges.engines.clone(),
        );
    }

    /// Counts the end of a request, and the reason where it was not run.
    pub fn count_outcome(&self, outcome: &Outcome) {
        self.requests.increment(OutcomeLabel::of(outcome));
        if let Outcome::NotRun { reason, .. } = outcome {
            self.refusals.increment(*reason);
        }
    }

    /// Counts the first token of a request that arrived `elapsed` ago.
    pub fn count_first_token(&self, elapsed: Duration) {
        self.time_to_first_token.observe(elapsed);
    }

    /// Counts the prompt of an answered request, with what the engine took from its cache.
    pub fn count_prompt(&self, prompt_tokens: u64, cached_tokens: u64) {
        self.prompt_tokens.inc_by(prompt_tokens);
        self.cached_prompt_tokens.inc_by(cached_tokens);
    }

    /// The page in Prometheus text format (OpenMetrics).
    pub fn render(&self) -> String {
        let mut page = String::new();
        // Writing to a String does not fail.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}
