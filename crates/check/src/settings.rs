//! Bounds that the checks apply.

use std::time::Duration;

/// What a run allows; the defaults are the promises' own bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckSettings {
    /// How long after an engine began to leave it may still get new work.
    pub leaving_bound: Duration,
    /// How long after its acceptance a change may not be in force at some daemon.
    pub configuration_bound: Duration,
    /// How long a request may stay without any end.
    pub answer_bound: Duration,
    /// Whether kept KV cache may have moved between engines in the run. Where not, each engine's
    /// cached tokens must come from its own earlier runs of the same life.
    pub kept_cache: bool,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self {
            leaving_bound: Duration::from_secs(5),
            configuration_bound: Duration::from_secs(10),
            answer_bound: Duration::from_secs(120),
            kept_cache: true,
        }
    }
}

/// A duration in the unit of event times.
pub(crate) fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
