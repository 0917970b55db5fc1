//! Engines that failed to answer several times in a row are left alone for a while.

use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use driftspring_limits::BreakerState;
use driftspring_types::{NotRunReason, Peer, Step, StepError};

use super::context::RequestContext;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use crate::state::EngineEntry;

/// The engines whose breaker lets the request pass. A request that may not be repeated is a probe
/// only where there is no other engine: one that is still silent leaves it unknown whether it ran.
pub fn passed<'a>(
    engines: &[&'a Arc<EngineEntry>],
    context: &RequestContext,
    now_ms: u64,
) -> Vec<&'a Arc<EngineEntry>> {
    let in_state = |wanted: &[BreakerState]| -> Vec<&'a Arc<EngineEntry>> {
        let engines = engines.iter().copied();
        engines
            .filter(|engine| wanted.contains(&engine.counters.breaker.state(now_ms)))
            .collect()
    };
    let closed = in_state(&[BreakerState::Closed]);
    if closed.is_empty() || context.repeatable {
        return in_state(&[BreakerState::Closed, BreakerState::ProbeDue]);
    }
    closed
}

/// The answer where every engine's breaker is open: at once, with the time of the next probe.
pub fn all_open(engines: &[&Arc<EngineEntry>], context: &RequestContext, now_ms: u64) -> Refusal {
    let soonest = engines
        .iter()
        .filter_map(|engine| match engine.counters.breaker.state(now_ms) {
            BreakerState::Open { for_time } => Some(for_time),
            BreakerState::ProbeDue | BreakerState::Closed => None,
        })
        .min();
    let retry_after = soonest
        .unwrap_or(DEFAULT_RETRY_AFTER)
        .max(Duration::from_millis(1));
    let cause = anyhow!(
        "every engine of model `{}` has failed to answer; the next one is tried in {retry_after:?}",
        context.route.model
    );
    let error = StepError::not_run(Step::ChooseEngine, Peer::Local, cause);
    Refusal::not_run(NotRunReason::NoEngine, retry_after, error)
}
