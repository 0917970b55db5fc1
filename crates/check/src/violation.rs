//! Promises and how they were broken.

use std::fmt;

/// A promise of the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// No request relies on cached work of a dead engine, another tenant or other weights.
    CacheReliance,
    /// Streams are complete and in order, or end in an explicit error.
    Streams,
    /// A restarted daemon serves at once.
    Restart,
    /// Each caller gets the answer to its own request.
    OwnAnswer,
    /// A request answered "not run" was not run.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving engine gets no new work after a few seconds.
    Leaving,
    /// A planned stop cuts no request.
    PlannedStop,
    /// Accepted configuration is linearizable, in force everywhere within seconds, and never reverts.
    Configuration,
    /// An engine never obeys a lower fencing token after a higher one.
    Fencing,
}

impl Promise {
    /// Every promise.
    pub const ALL: [Self; 10] = [
        Self::CacheReliance,
        Self::Streams,
        Self::Restart,
        Self::OwnAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::PlannedStop,
        Self::Configuration,
        Self::Fencing,
    ];

    /// The promise's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::CacheReliance => "cache_reliance",
            Self::Streams => "streams",
            Self::Restart => "restart",
            Self::OwnAnswer => "own_answer",
            Self::NotRun => "not_run",
            Self::AtMostOnce => "at_most_once",
            Self::Leaving => "leaving",
            Self::PlannedStop => "planned_stop",
            Self::Configuration => "configuration",
            Self::Fencing => "fencing",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A promise broken, and the event at which the history shows it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{promise} broken at event {event_index}: {explanation}")]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The event's index in the history.
    pub event_index: usize,
    /// What is wrong, in one sentence.
    pub explanation: String,
}

impl Violation {
    /// The violation of `promise` at the event `event_index`.
    pub fn new(promise: Promise, event_index: usize, explanation: impl Into<String>) -> Self {
        Self {
            promise,
            event_index,
            explanation: explanation.into(),
        }
    }
}

/// Fails with the violation that the history shows first.
pub(crate) fn first(violations: impl IntoIterator<Item = Violation>) -> Result<(), Violation> {
    violations
        .into_iter()
        .min_by_key(|violation| violation.event_index)
        .map_or(Ok(()), Err)
}
