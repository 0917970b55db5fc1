//! When a request that waits at a replica is withdrawn.
//!
//! A replica is chosen when a request is sent, but the limit on older weights applies when it begins. Its wait at the
//! replica is only estimated, and newer weights may be named meanwhile. So a waiting request is withdrawn, by closing
//! its connection, shortly before its replica's weights become too old.
//!
//! A gateway that is suspended withdraws nothing, and some replicas continue with a request whose connection was
//! closed. So the request also carries the limit as its deadline: a replica begins no request whose deadline has
//! passed.

use std::time::Duration;

use driftspring_clock::Instant;

use super::choose_replica::Choice;
use super::context::RequestContext;
use crate::state::GatewayState;

/// Time given to the chosen replica: the rest of the caller's time, but no more than until its weights are too old if
/// the request may wait there that long. Without the latter, a request began 3.45 s after a naming, where 3 s are
/// allowed, at a replica that continues with requests whose connections were closed.
pub fn replica_time_limit(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
) -> Duration {
    let callers_time_left = context.time_left();
    let Some((prompt, version)) = context.prompt().zip(choice.weights_version) else {
        return callers_time_left;
    };
    let now = Instant::now();
    let deadline = state.times.get().weights_deadline;
    let expected_wait = choice.replica.queue_waits.expected_wait(choice.rank, now);
    let wanted = state.weights.borrow();
    wanted
        .replica_time_limit(&prompt.model, version, now, deadline, expected_wait)
        .map_or(callers_time_left, |limit| limit.min(callers_time_left))
}

/// Whether a request that is sent now would have to be withdrawn at once.
pub fn are_weights_too_old(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
) -> bool {
    let weights = context.prompt().zip(choice.weights_version);
    weights.is_some_and(|(prompt, version)| {
        let deadline = state.times.get().weights_deadline;
        let wanted = state.weights.borrow();
        let left = wanted.waiting_time_left(&prompt.model, version, Instant::now(), deadline);
        left.is_some_and(|left| left.is_zero())
    })
}

/// Completes when a request that has not begun at the chosen replica must not wait there any longer.
pub async fn until_weights_too_old(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
) {
    let weights = context.prompt().zip(choice.weights_version);
    let Some((prompt, version)) = weights else {
        return std::future::pending().await;
    };
    loop {
        let named = state.weights_updated.notified();
        let deadline = state.times.get().weights_deadline;
        let left = {
            let wanted = state.weights.borrow();
            wanted.waiting_time_left(&prompt.model, version, Instant::now(), deadline)
        };
        match left {
            Some(left) if left.is_zero() => return,
            // The time of a store outage does not count, so the time left may turn out to be longer.
            Some(left) => tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = named => {}
            },
            None => named.await,
        }
    }
}
