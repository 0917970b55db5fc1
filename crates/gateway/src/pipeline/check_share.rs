//! Filter: checks whether a request is within its tenant's share of an overloaded service.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::fair_share::over_share_retry_after;
use driftspring_decisions::prefill::estimated_prefill_time;

use super::context::RequestContext;
use super::refusal::{Reason, Refusal, Step};
use crate::replicas::Replica;
use crate::shares::{Standing, work_of};
use crate::state::GatewayState;

/// Counts a request as its tenant's demand, and refuses it at once if it is above the tenant's share.
pub fn check_share(state: &GatewayState, context: &RequestContext) -> Result<(), Refusal> {
    let work = work_of(context.prompt());
    let (service, tenant) = (context.service(), context.tenant_name());
    let draw = state.random_fraction();
    let decision = state
        .shares
        .ask(service, tenant, work, draw, Instant::now());
    match decision {
        Ok(standing) => {
            context.standing.set(standing);
            Ok(())
        }
        Err(over) => {
            let metrics = &state.status.metrics.shares;
            metrics.over_share.inc();
            let time = over_share_retry_after(over.probability, context.time_left(), state.draw());
            let detail = format!(
                "service {service}, tenant {tenant:?}: share {:.0}/s, asked {:.0}/s, admitted {:.3} of it",
                over.share, over.demand, over.probability
            );
            Err(Refusal {
                retry_after: Some(time),
                ..Refusal::new(Step::Share, Reason::OverShare, detail)
            })
        }
    }
}

/// Counts a request that was not run, as a sign of an overload and for the metrics.
pub fn note_refusal(state: &GatewayState, context: &RequestContext, refusal: &Refusal) {
    if refusal.reason == Reason::Overloaded {
        state.shares.record_refused_for_queues(context.service());
    }
    if context.standing.get() == Standing::BelowShare && refusal.reason.is_not_run() {
        let tenant = context.tenant_name();
        state.shares.record_refused_below(context.service(), tenant);
    }
}

/// Whether a replica may have refused a request because it loads weights, which hands back all that it has queued. That
/// is no lack of capacity, and must not be taken for an overload.
pub fn may_be_loading(state: &GatewayState, context: &RequestContext, replica: &Replica) -> bool {
    let Some(prompt) = context.prompt() else {
        return false;
    };
    let version = replica.version_of(&prompt.model);
    let weights = state.weights.borrow();
    let is_outdated = |version| {
        weights
            .outdated_for(&prompt.model, version, Instant::now())
            .is_some()
    };
    replica.loading_since().is_some() || version.is_some_and(is_outdated)
}

/// Counts the work of a request that has begun at a replica after `wait`, `tokens_to_prefill` of which were its own. The
/// time to prefill these is no queueing: after a change of weights every prompt is prefilled whole, with free replicas.
pub fn note_work_begun(
    state: &GatewayState,
    context: &RequestContext,
    wait: Duration,
    tokens_to_prefill: u64,
    now: Instant,
) {
    let wait = wait.saturating_sub(estimated_prefill_time(tokens_to_prefill));
    let work = work_of(context.prompt());
    let (service, tenant) = (context.service(), context.tenant_name());
    state.shares.record_run(service, tenant, work, wait, now);
}
