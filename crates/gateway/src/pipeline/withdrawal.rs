//! When a request that waits at a replica is withdrawn.
//!
//! A choice is made when a request is sent, but the bound on older weights holds when it begins. How long it
//! waits at the replica is only estimated, and newer weights may be named meanwhile. So a request that waits is
//! withdrawn, by closing its connection, shortly before its replica's weights become too old.

use driftspring_clock::Instant;

use super::choose_replica::Choice;
use super::context::RequestContext;
use crate::state::GatewayState;

/// Ends when a request that has not begun at the chosen replica must not wait there any longer.
pub async fn until_too_old(state: &GatewayState, context: &RequestContext, choice: &Choice) {
    let weights = context.prompt().zip(choice.weights_version);
    let Some((prompt, version)) = weights else {
        return std::future::pending().await;
    };
    loop {
        let named = state.weights_named.notified();
        let deadline = state.times.get().weights_deadline;
        let left = {
            let wanted = state.weights.borrow();
            wanted.waiting_time_left(&prompt.model, version, Instant::now(), deadline)
        };
        match left {
            Some(left) if left.is_zero() => return,
            // The time of an outage of the store does not count, so it may turn out to be longer.
            Some(left) => tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = named => {}
            },
            None => named.await,
        }
    }
}
