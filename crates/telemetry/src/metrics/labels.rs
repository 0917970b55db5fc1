//! The values of labels: enumerations, so that a counter's slot is found without a look-up.

use driftspring_types::{EngineHealth, MemberState, NotRunReason, Outcome};

/// An enumeration that labels a metric.
pub trait MetricLabel: Copy + Send + Sync + 'static {
    /// The label's name.
    const NAME: &'static str;
    /// Every value, in the order of [`MetricLabel::index`].
    const ALL: &'static [Self];

    /// The value's slot.
    fn index(self) -> usize;

    /// The value's text.
    fn text(self) -> &'static str;
}

/// Implements [`MetricLabel`] for an enumeration without fields; a missing value doesn't compile.
macro_rules! metric_label {
    ($label:ident, $name:literal, { $($value:ident => $text:literal,)+ }) => {
        impl MetricLabel for $label {
            const NAME: &'static str = $name;
            const ALL: &'static [Self] = &[$(Self::$value),+];

            fn index(self) -> usize {
                self as usize
            }

            fn text(self) -> &'static str {
                match self {
                    $(Self::$value => $text,)+
                }
            }
        }
    };
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeLabel {
    /// The whole answer was delivered.
    Completed,
    /// No engine ran any part of it.
    NotRun,
    /// An engine may have run it.
    Unknown,
}

impl OutcomeLabel {
    /// The label of `outcome`.
    pub fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Completed => Self::Completed,
            Outcome::NotRun { .. } => Self::NotRun,
            Outcome::Unknown { .. } => Self::Unknown,
        }
    }
}

/// Why an engine was asked again for the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtraAttempt {
    /// A first attempt failed before any token came.
    Retry,
    /// A broken stream was resumed at its engine.
    Resume,
    /// A broken stream was continued on another engine.
    Continuation,
}

/// The parts whose work counts as control, as opposed to serving callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlSubsystem {
    /// Membership and engine records between daemons.
    Gossip,
    /// Configuration: the object store, its watch and copies between daemons.
    Configuration,
    /// Status and cache events of engines, the machine list.
    Observation,
    /// At-most-once claims between daemons.
    Claims,
    /// Leases, rollout, drain and warming.
    Leases,
    /// Operators' statements, metrics and health checks.
    Operator,
}

metric_label!(OutcomeLabel, "outcome", {
    Completed => "completed",
    NotRun => "not_run",
    Unknown => "unknown",
});

metric_label!(ExtraAttempt, "kind", {
    Retry => "retry",
    Resume => "resume",
    Continuation => "continuation",
});

metric_label!(ControlSubsystem, "subsystem", {
    Gossip => "gossip",
    Configuration => "configuration",
    Observation => "observation",
    Claims => "claims",
    Leases => "leases",
    Operator => "operator",
});

metric_label!(NotRunReason, "reason", {
    BadRequest => "bad_request",
    Unauthenticated => "unauthenticated",
    NoRoute => "no_route",
    TenantLimit => "tenant_limit",
    Overloaded => "overloaded",
    NoEngine => "no_engine",
    EnginesRefused => "engines_refused",
    AlreadyClaimed => "already_claimed",
    NoClaimQuorum => "no_claim_quorum",
    DeadlinePassed => "deadline_passed",
    Stopping => "stopping",
    Starting => "starting",
});

metric_label!(MemberState, "state", {
    Alive => "alive",
    Suspect => "suspect",
    Leaving => "leaving",
    Dead => "dead",
});

metric_label!(EngineHealth, "health", {
    Loading => "loading",
    Serving => "serving",
    Leaving => "leaving",
    Unreachable => "unreachable",
});
