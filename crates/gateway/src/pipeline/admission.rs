//! Filter: whether a request may go to a replica now.
//!
//! Where requests come faster than replicas work, lines grow until callers give up before their requests begin.
//! A request that will be late is still of use and is sent. One that would begin at no replica before its caller
//! gives it up is refused at once: it has not run, and the caller learns when to come back instead of waiting in
//! vain.
//!
//! The waits are those of [`crate::replicas::BeginWait`]. What is refused makes lines shorter, so this
//! regulates itself; nothing waits in the gateway. Which replica a request goes to is left to placement: sending
//! requests away from where their prompts are kept for the sake of a shorter wait was measured, and makes the
//! lines of all longer, since more is read again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::context::RequestContext;
use super::refusal::{Reason, Refusal, Step};
use super::retry_after::retry_after;
use crate::replicas::Replica;
use crate::state::GatewayState;

/// The share of a caller's patience up to which a wait is taken for one that it sits out. It is below one since
/// a request that its caller gives up teaches no longer wait than that patience, and that fades.
const PATIENCE_USED: f64 = 0.8;

/// Whether a request begins, or goes on after events that its caller has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of its answer was passed on.
    New,
    /// It is a stream that broke midway.
    GoingOn,
}

/// Whether a request whose caller waits for `patience_left` more is of use where it will wait for
/// `typical_wait` before it begins.
pub fn is_of_use(typical_wait: Duration, patience_left: Duration) -> bool {
    typical_wait < patience_left.mul_f64(PATIENCE_USED)
}

/// Refuses a request that would begin at none of `candidates` before its caller gives it up. Only prompts are
/// regulated, and no stream that goes on: its caller has a part of the answer.
pub fn admit(
    state: &GatewayState,
    context: &RequestContext,
    progress: Progress,
    candidates: &[Rc<Replica>],
) -> Result<(), Refusal> {
    if context.prompt().is_none() || progress == Progress::GoingOn {
        return Ok(());
    }
    let now = Instant::now();
    let patience_left = context.patience_left(now);
    let wait_at = |replica: &Rc<Replica>| replica.waits.typical(context.priority(), now);
    let shortest = candidates.iter().map(wait_at).min().unwrap_or_default();
    match is_of_use(shortest, patience_left) {
        true => Ok(()),
        false => Err(overloaded(state, context, shortest, patience_left)),
    }
}

fn overloaded(
    state: &GatewayState,
    context: &RequestContext,
    typical_wait: Duration,
    patience_left: Duration,
) -> Refusal {
    let time = retry_after(
        typical_wait,
        context.patience(),
        context.time_left(),
        state.draw(),
    );
    let detail = format!(
        "typical wait {typical_wait:?} at the best of the replicas, the caller waits for {patience_left:?} more"
    );
    Refusal {
        retry_after: Some(time),
        ..Refusal::new(Step::Choose, Reason::Overloaded, detail)
    }
}
