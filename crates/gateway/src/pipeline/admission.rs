//! Filter: decides whether a request may be sent to a replica now, and with which rank.
//!
//! If requests arrive faster than replicas process them, queues grow until callers give up before their requests begin.
//! So a request keeps its rank if it will begin within its objective. One that will be late at every replica is still
//! useful and is sent, but behind those that can be answered in time. One that would begin at no replica before its
//! caller gives it up is refused at once: it has not run, and the caller learns when to retry instead of waiting in
//! vain.
//!
//! Expected waits are learned from requests that have begun, and lag behind while queues grow. So a request that would
//! wait for longer than the longest objective at all replicas taken together is refused at once, however short the
//! queue at the best replica seems: placement sends requests elsewhere, and those that are not late yet would become
//! so. On days on which replicas are lost or the traffic doubles, this earns 0.05 more of the worth and serves 0.04
//! more of it, and as much less fails (eighteen pairs of plays on three deployments).
//!
//! The waits are those of [`crate::replicas::QueueWaitEstimator`]. Refusals shorten the queues, so this regulates
//! itself; nothing is queued in the gateway. The choice of the replica is left to placement: sending requests away from
//! the replicas that have their prompts cached for the sake of a shorter wait was measured, and lengthens all queues,
//! since more is recomputed.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::admission::{
    are_queues_too_long, is_in_time, is_worth_sending, late_rank,
};
use driftspring_decisions::queue_state::service_queue_wait;
use driftspring_decisions::retry_after::retry_after;

use super::context::RequestContext;
use super::refusal::{Reason, Refusal, Step};
use crate::replicas::Replica;
use crate::shares::Standing;
use crate::state::GatewayState;

/// Whether a request is new or resumes a stream of which its caller has received events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of its answer was forwarded.
    New,
    /// It resumes a stream that broke off midway.
    Resumed,
}

/// Result of the admission of a request.
#[derive(Debug)]
pub struct Admitted {
    /// Replicas among which it is placed.
    pub candidates: Vec<Rc<Replica>>,
    /// Rank in their queues; 0 goes first.
    pub rank: u8,
}

/// Admits a request to the replicas that `eligible` returns for its rank, or refuses it. Only requests with a prompt
/// are regulated, and not those that resume a stream: their callers have a part of the answer.
pub fn admit(
    state: &GatewayState,
    context: &RequestContext,
    progress: Progress,
    eligible: impl Fn(u8) -> Result<Vec<Rc<Replica>>, Refusal>,
) -> Result<Admitted, Refusal> {
    let rank = context.priority();
    let mut candidates = eligible(rank)?;
    let now = Instant::now();
    let is_regulated = context.prompt().is_some() && progress == Progress::New;
    let expected_at = |replica: &Rc<Replica>| replica.queue_waits.expected_wait(rank, now);
    let queue_state_at = |replica: &Rc<Replica>| replica.queue_waits.queue_state(rank, now);
    let service_wait = service_queue_wait(candidates.iter().map(queue_state_at));
    let objective = context.configuration().longest_objective(context.service());
    let standing = context.standing.get();
    let is_below_share = standing == Standing::BelowShare;
    if is_regulated && !is_below_share && are_queues_too_long(service_wait, objective) {
        let acceptable_wait = objective.unwrap_or_default();
        let detail = format!("a wait of {service_wait:?} at all replicas together");
        return Err(overloaded(
            state,
            context,
            service_wait,
            acceptable_wait,
            detail,
        ));
    }
    let expected_wait = candidates.iter().map(expected_at).min().unwrap_or_default();
    let objective_left = context.objective_left(now);
    if is_regulated && is_below_share && is_in_time(expected_wait, objective_left) {
        // In an overload the replicas that have most prompts cached have the longest queues. Few requests are below
        // their tenants' shares, so what they recompute elsewhere hardly lengthens other queues. Requests behind them
        // count as well: not every replica begins urgent requests first.
        let late = late_rank(rank);
        let is_short = |replica: &Rc<Replica>| {
            let typical_wait = replica.queue_waits.typical_wait(late, now);
            is_in_time(expected_at(replica).max(typical_wait), objective_left)
        };
        let short: Vec<Rc<Replica>> = candidates
            .iter()
            .filter(|one| is_short(one))
            .cloned()
            .collect();
        if !short.is_empty() {
            candidates = short;
        }
    }
    let is_punctual =
        standing != Standing::AboveShare && is_in_time(expected_wait, context.objective_left(now));
    if !is_regulated || is_punctual {
        return Ok(Admitted { candidates, rank });
    }
    // Load is shed from the tenants above their share: the others are not moved behind them for being late.
    let late = match is_below_share {
        true => rank,
        false => late_rank(rank),
    };
    let typical_at = |replica: &Rc<Replica>| replica.queue_waits.typical_wait(late, now);
    let typical_wait = candidates.iter().map(typical_at).min().unwrap_or_default();
    let first_event_time_left = context.first_event_time_left(now);
    if !is_worth_sending(typical_wait, first_event_time_left) {
        let detail = format!(
            "typical wait {typical_wait:?} at the best of the replicas, the caller waits for {first_event_time_left:?} more"
        );
        let acceptable_wait = context.first_event_timeout();
        return Err(overloaded(
            state,
            context,
            typical_wait,
            acceptable_wait,
            detail,
        ));
    }
    // If the remaining time of older weights does not allow the longer wait of the late rank, the request keeps its own
    // rank.
    match eligible(late) {
        Ok(candidates) => Ok(Admitted {
            candidates,
            rank: late,
        }),
        Err(_) => Ok(Admitted { candidates, rank }),
    }
}

/// Refusal of a request that would wait for `wait`; its retry accepts a wait of `acceptable_wait`.
fn overloaded(
    state: &GatewayState,
    context: &RequestContext,
    wait: Duration,
    acceptable_wait: Duration,
    detail: String,
) -> Refusal {
    let time = retry_after(wait, acceptable_wait, context.time_left(), state.draw());
    Refusal {
        retry_after: Some(time),
        ..Refusal::new(Step::Choose, Reason::Overloaded, detail)
    }
}
