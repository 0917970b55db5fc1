//! Filter: whether a request may go to a replica now, and under which rank.
//!
//! Where requests come faster than replicas work, lines grow until callers give up before their requests begin.
//! So a request keeps its rank where it will begin within its objective. One that will be late at every replica is
//! still of use and is sent, but behind those that can be answered in time. One that would begin at no replica before its caller
//! gives it up is refused at once: it has not run, and the caller learns when to come back instead of waiting in
//! vain.
//!
//! That is learnt from what has begun, and comes late while lines grow. So what would wait at all replicas together for
//! longer than the longest objective is refused at once, however short the line at the best one seems: placement sends
//! elsewhere, and what is not yet late would become so. On days on which replicas are lost, or twice the traffic comes, 0.05 of
//! worth more is earned and 0.04 more of it served, where as much less fails (eighteen pairs of plays on three deployments).
//!
//! The waits are those of [`crate::replicas::QueueWaitEstimator`]. What is refused makes lines shorter, so this
//! regulates itself; nothing waits in the gateway. Which replica a request goes to is left to placement: sending
//! requests away from where their prompts are kept for the sake of a shorter wait was measured, and makes the
//! lines of all longer, since more is read again.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::context::RequestContext;
use super::refusal::{Reason, Refusal, Step};
use super::retry_after::retry_after;
use crate::replicas::{Replica, service_queue_wait};
use crate::state::GatewayState;

/// The share of a caller's patience up to which a wait is taken for one that it sits out. It is below one since
/// a request that its caller gives up teaches no longer wait than that patience, and that fades.
const USABLE_TIMEOUT_SHARE: f64 = 0.8;

/// How many ranks a request is sent behind its own that will be late: beyond all ranks in use, so that late
/// requests of an urgent kind don't go before punctual ones of another (operator's sheets: ranks 0 to 3).
const LATE_RANK_OFFSET: u8 = 5;

/// The last rank.
const LAST_RANK: u8 = 9;

/// Whether a request begins, or goes on after events that its caller has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of its answer was passed on.
    New,
    /// It is a stream that broke midway.
    Resumed,
}

/// Whether a request whose caller waits for `first_event_time_left` more is of use where it will wait for
/// `typical_wait` before it begins.
pub fn is_worth_sending(typical_wait: Duration, first_event_time_left: Duration) -> bool {
    typical_wait < first_event_time_left.mul_f64(USABLE_TIMEOUT_SHARE)
}

/// Whether a request is still punctual that will wait for `expected_wait` where `objective_left` is left of the
/// time in which its answer should begin.
pub fn is_in_time(expected_wait: Duration, objective_left: Duration) -> bool {
    expected_wait <= objective_left
}

/// Whether the lines of all replicas together are too long to send one more request, where it will wait for `together` and
/// `objective` is the longest objective of its service's routes. Then more is sent than is worked off, and whatever is added
/// makes what comes later late. The bound is the same for all kinds of requests, so that those with shorter objectives aren't
/// refused for the sake of others.
pub fn are_queues_too_long(together: Duration, objective: Option<Duration>) -> bool {
    objective.is_some_and(|objective| together > objective)
}

/// The rank of a request that will be late, behind that of those that will not.
pub fn late_rank(rank: u8) -> u8 {
    rank.saturating_add(LATE_RANK_OFFSET).min(LAST_RANK)
}

/// The replicas among which an admitted request is placed, and its rank.
#[derive(Debug)]
pub struct Admitted {
    /// The replicas.
    pub candidates: Vec<Rc<Replica>>,
    /// The rank; 0 goes first.
    pub rank: u8,
}

/// Admits a request to the replicas that `eligible` tells for its rank, or refuses it. Only prompts are regulated,
/// and no stream that goes on: its caller has a part of the answer.
pub fn admit(
    state: &GatewayState,
    context: &RequestContext,
    progress: Progress,
    eligible: impl Fn(u8) -> Result<Vec<Rc<Replica>>, Refusal>,
) -> Result<Admitted, Refusal> {
    let rank = context.priority();
    let candidates = eligible(rank)?;
    let now = Instant::now();
    let is_regulated = context.prompt().is_some() && progress == Progress::New;
    let expected_at = |replica: &Rc<Replica>| replica.queue_waits.expected_wait(rank, now);
    let line_at = |replica: &Rc<Replica>| replica.queue_waits.queue_state(rank, now);
    let together = service_queue_wait(candidates.iter().map(line_at));
    let objective = context.configuration.longest_objective(&context.service);
    if is_regulated && are_queues_too_long(together, objective) {
        let acceptable_wait = objective.unwrap_or_default();
        let detail = format!("a wait of {together:?} at all replicas together");
        return Err(overloaded(
            state,
            context,
            together,
            acceptable_wait,
            detail,
        ));
    }
    let expected_wait = candidates.iter().map(expected_at).min().unwrap_or_default();
    if !is_regulated || is_in_time(expected_wait, context.objective_left(now)) {
        return Ok(Admitted { candidates, rank });
    }
    let behind = late_rank(rank);
    let typical_at = |replica: &Rc<Replica>| replica.queue_waits.typical_wait(behind, now);
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
    // Where older weights leave no time for the longer wait behind, it goes with its own rank.
    match eligible(behind) {
        Ok(candidates) => Ok(Admitted {
            candidates,
            rank: behind,
        }),
        Err(_) => Ok(Admitted { candidates, rank }),
    }
}

/// The refusal of a request that would wait for `wait`, where one that comes back may wait for `acceptable_wait`.
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
