//! Sends a repeatable request to a second replica if the first takes longer than nearly all answers of its route.
//!
//! The first final answer is forwarded; the other connection is closed at once, so that its replica stops working on the
//! request. A hedged send is a repeat: it counts against the retry budget and against the attempts of the route.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::admission::Progress;
use super::attempts::{Attempt, Attempts};
use super::choose_replica::{Choice, choose};
use super::context::RequestContext;
use super::dispatch::send;
use super::outcomes::SendOutcome;
use super::refusal::Refusal;
use crate::configuration::RouteKind;
use crate::permits;
use crate::protocol::ReplicaIncarnation;
use crate::replicas::RouteSpeed;
use crate::state::GatewayState;

/// The answers of the request's route, if the speed of replicas is learnt from it.
pub fn route_speed(state: &GatewayState, context: &RequestContext) -> Option<Rc<RouteSpeed>> {
    match context.prompt() {
        Some(_) => None,
        None => state.route_speeds.of(&context.route().name),
    }
}

/// Whether a request of this kind may be hedged at all.
pub fn is_hedgeable(context: &RequestContext) -> bool {
    context.route().kind == RouteKind::Safe && context.route().max_attempts > 1
}

/// How a send ended.
type EndedSend = (Choice, Instant, Result<SendOutcome, Skipped>);

/// Why the second send did not take place.
enum Skipped {
    /// The replica's rate limit left no room.
    NoPermit,
    /// The retry budget is spent.
    BudgetSpent,
}

/// When a request is hedged.
pub struct HedgePlan {
    speed: Rc<RouteSpeed>,
    delay: Duration,
}

impl HedgePlan {
    /// The plan for the next send of a request, of which `possible_runs` earlier ones may have run; nothing if it is not
    /// hedged.
    pub fn new(attempts: &Attempts, possible_runs: u32) -> Option<Self> {
        let context = &attempts.context;
        let is_allowed = is_hedgeable(context) && !attempts.has_hedged;
        if !is_allowed || possible_runs + 2 > context.route().max_attempts {
            return None;
        }
        let speed = route_speed(&attempts.state, context)?;
        let delay = speed.usual()?.hedge_delay();
        (delay < context.time_left()).then_some(Self { speed, delay })
    }
}

/// Sends the request to the chosen replica and, if that takes long, to another one. Returns the answer that is forwarded,
/// or nothing if the request may be sent again.
pub async fn send_hedged(
    attempts: &mut Attempts,
    first: Choice,
    plan: HedgePlan,
) -> Result<Option<Attempt>, Refusal> {
    let HedgePlan { speed, delay } = plan;
    let state = Rc::clone(&attempts.state);
    let context = Rc::clone(&attempts.context);
    let first_life = first.replica.incarnation.clone();
    let mut sends: FuturesUnordered<Pin<Box<dyn Future<Output = EndedSend>>>> =
        FuturesUnordered::new();
    sends.push(Box::pin(send_first(state, context, first)));
    let timer = tokio::time::sleep(delay);
    tokio::pin!(timer);
    let mut is_due = false;
    let mut hedge: Option<ReplicaIncarnation> = None;
    let mut given_up: Option<Refusal> = None;
    loop {
        tokio::select! {
            biased;
            ended = sends.next() => {
                let Some((choice, sent_at, result)) = ended else {
                    return match given_up {
                        // Another send may have run since the request was given up.
                        Some(refusal) => Err(attempts.refusal_without_replica(refusal)),
                        None => Ok(None),
                    };
                };
                let Ok(outcome) = result else {
                    hedge = None;
                    continue;
                };
                let ended_life = choice.replica.incarnation.clone();
                attempts.has_other_send = !sends.is_empty();
                let handled = attempts.handle_outcome(choice, sent_at, outcome);
                attempts.has_other_send = false;
                match handled {
                    Ok(Some(attempt)) => {
                        if let Some(hedge) = hedge {
                            note_winner(attempts, &attempt, &first_life, &hedge, !sends.is_empty());
                        }
                        return Ok(Some(attempt));
                    }
                    Ok(None) => {}
                    Err(refusal) => given_up = Some(refusal),
                }
                // A request whose first send has ended is repeated, not hedged.
                is_due |= ended_life == first_life;
            }
            () = &mut timer, if !is_due => {
                is_due = true;
                if !speed.may_hedge() {
                    continue;
                }
                let tried = attempts.tried_and(&first_life);
                if let Ok(second) = choose(&attempts.state, &attempts.context, &tried, Progress::New) {
                    attempts.has_hedged = true;
                    hedge = Some(second.replica.incarnation.clone());
                    let state = Rc::clone(&attempts.state);
                    let context = Rc::clone(&attempts.context);
                    let speed = Rc::clone(&speed);
                    let first_life = first_life.clone();
                    sends.push(Box::pin(send_second(state, context, second, speed, first_life)));
                }
            }
        }
    }
}

async fn send_first(
    state: Rc<GatewayState>,
    context: Rc<RequestContext>,
    choice: Choice,
) -> EndedSend {
    let sent_at = Instant::now();
    let outcome = send(&state, &context, &choice, None, true).await;
    (choice, sent_at, Ok(outcome))
}

async fn send_second(
    state: Rc<GatewayState>,
    context: Rc<RequestContext>,
    choice: Choice,
    speed: Rc<RouteSpeed>,
    first: ReplicaIncarnation,
) -> EndedSend {
    let skipped_at = Instant::now();
    if permits::acquire(&state, &choice.replica).await.is_err() {
        return (choice, skipped_at, Err(Skipped::NoPermit));
    }
    if !state.retry_budgets.try_spend(context.service()) {
        return (choice, skipped_at, Err(Skipped::BudgetSpent));
    }
    speed.spend_hedge();
    state.status.metrics.repeated.inc();
    state.status.metrics.speed.hedges_sent.inc();
    log_event!(
        gateway::REQUEST_HEDGED,
        "request={} replica={} first={} elapsed={:?}",
        context.id,
        choice.replica.id(),
        first.id,
        context.arrived_at.elapsed()
    );
    let sent_at = Instant::now();
    // The first send may have run too, so there is no attempt left to move it.
    let outcome = send(&state, &context, &choice, None, false).await;
    (choice, sent_at, Ok(outcome))
}

/// Records which of the two replicas answered first.
fn note_winner(
    attempts: &mut Attempts,
    winner: &Attempt,
    first: &ReplicaIncarnation,
    hedge: &ReplicaIncarnation,
    is_other_open: bool,
) {
    let Some(choice) = winner.responder.choice() else {
        return;
    };
    let is_hedge = choice.replica.incarnation == *hedge;
    let loser = if is_hedge { first } else { hedge };
    if is_hedge {
        attempts.state.status.metrics.speed.hedges_won.inc();
    }
    if is_other_open {
        attempts.count_closed_send(loser);
    }
    log_event!(
        gateway::HEDGE_ENDED,
        "request={} replica={} hedge_won={is_hedge} other={} closed={is_other_open} elapsed={:?}",
        attempts.context.id,
        choice.replica.id(),
        loser.id,
        attempts.context.arrived_at.elapsed()
    );
}
