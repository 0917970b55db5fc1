//! Brings one replica to the wanted weights: orders until it has taken the order, and waits until it has loaded.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use crate::peers::message::LoadStatus;
use crate::protocol::{
    LoadMethod, ModelVersion, OrderAnswer, ReplicaReport, UnreadableReason, WeightsOrder,
};
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::store::{Rejected, record_wanted_weights};
use crate::upstream::{self, CallError};

/// How long an order's answer is waited for.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a replica's description is waited for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// The time between two descriptions of a replica that loads.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);

/// How long a replica may load before it counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);

/// Orders without an answer after which a replica is left alone for a while.
pub(super) const MAX_UNANSWERED_ORDERS: u32 = 12;

/// The same where any other replica can be asked as well, so that two silent ones hold suspected weights up for 1.6 s and not
/// for 9.6 s, which is longer than older weights may serve.
pub(super) const MAX_UNANSWERED_TRIALS: u32 = 2;

/// Orders after which a replica is left alone for a while, whatever it answers.
const MAX_ORDERS: u32 = 12;

/// A report that is not busy tells nothing before an order has had time to show.
const REPORT_LAG: Duration = Duration::from_millis(900);

/// Why a replica has not got the weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadFailure {
    /// It could not be reached, did not take the order or did not load.
    ReplicaFailed,
    /// It refused the version, as one that was not named.
    NotNamed,
    /// This daemon may not give orders any more.
    MayNotOrder,
}

/// Orders one replica to load and waits until it has the weights; gives up after `max_unanswered` orders without an answer.
pub(super) async fn bring_up_to_date(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: ModelVersion,
    max_unanswered: u32,
) -> Result<(), LoadFailure> {
    replica.set_loading(Some(Instant::now()));
    report_status(state, replica, &wanted, None);
    let outcome = order_and_wait(state, replica, &wanted, max_unanswered).await;
    replica.set_loading(None);
    report_status(state, replica, &wanted, Some(outcome));
    outcome
}

async fn order_and_wait(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
    max_unanswered: u32,
) -> Result<(), LoadFailure> {
    order_until_taken(state, replica, wanted, max_unanswered).await?;
    record_if_suspected(state, wanted);
    match wait_until_loaded(state, replica, wanted).await {
        true => Ok(()),
        false => Err(LoadFailure::ReplicaFailed),
    }
}

/// Takes a version for named that a replica has taken an order for: it refuses those that were not.
pub fn record_if_suspected(state: &GatewayState, taken: &ModelVersion) {
    let since = state.suspected_weights.borrow().since(taken);
    if let Some(since) = since {
        record_wanted_weights(state, taken, since);
    }
}

/// Tells the other daemons, so that they send no requests to a replica that is loading; `outcome` is how it went, once it has
/// ended.
fn report_status(
    state: &GatewayState,
    replica: &Replica,
    wanted: &ModelVersion,
    outcome: Option<Result<(), LoadFailure>>,
) {
    state.peers.report_load_status(LoadStatus {
        replica: replica.id().to_owned(),
        born: replica.incarnation.born,
        model: wanted.model.clone(),
        version: wanted.version,
        is_done: outcome.is_some_and(|outcome| outcome.is_ok()),
        has_failed: outcome.is_some_and(|outcome| outcome.is_err()),
        is_refused: outcome == Some(Err(LoadFailure::NotNamed)),
    });
}

/// Gives the order until the replica has taken it.
async fn order_until_taken(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
    max_unanswered: u32,
) -> Result<(), LoadFailure> {
    if replica.order_sequence().is_none() && !fetch_order_sequence(state, replica).await {
        return Err(LoadFailure::ReplicaFailed);
    }
    let mut unanswered = 0;
    for _ in 0..MAX_ORDERS {
        // It must not run out before the order has been sent: a connection may have to come up first.
        let Some(token) = state.lease.borrow().token_at(state.now() + ORDER_TIMEOUT) else {
            return Err(LoadFailure::MayNotOrder);
        };
        if state.status.is_stopping() {
            return Err(LoadFailure::MayNotOrder);
        }
        let order = WeightsOrder {
            replica: replica.id().to_owned(),
            weights: wanted.clone(),
            method: LoadMethod::Retain,
            holder: state.settings.name.clone(),
            token,
            expected_sequence: replica.order_sequence(),
        };
        let call = state.platform.order(&order);
        // Timers stand still with the machine, so the token may have run out while the connection came up.
        let holds_token = || state.lease.borrow().token_at(state.now()) == Some(token);
        let answer = upstream::call_if(&replica.pool, &call, ORDER_TIMEOUT, holds_token).await;
        let answer = answer.map(|(status, _)| state.platform.read_order(status));
        log_order(replica, &order, &answer);
        match answer {
            Ok(OrderAnswer::Accepted) => {
                replica.count_order();
                return Ok(());
            }
            Ok(OrderAnswer::Holds) => {
                record_loaded(replica, wanted);
                return Ok(());
            }
            Ok(OrderAnswer::Conflict) => {
                if !resolve_conflict(state, replica, wanted).await {
                    return Err(LoadFailure::ReplicaFailed);
                }
            }
            Ok(OrderAnswer::Fenced) => {
                state.lease.borrow_mut().on_fenced();
                return Err(LoadFailure::MayNotOrder);
            }
            Ok(OrderAnswer::NotNamed) => return Err(LoadFailure::NotNamed),
            Ok(OrderAnswer::Misdirected | OrderAnswer::Refused) => {
                return Err(LoadFailure::ReplicaFailed);
            }
            Err(CallError::NotSent(_)) if !holds_token() => return Err(LoadFailure::MayNotOrder),
            Err(CallError::NotSent(_)) => return Err(LoadFailure::ReplicaFailed),
            Err(CallError::NoAnswer(_) | CallError::TimedOut(_)) => unanswered += 1,
        }
        if unanswered >= max_unanswered {
            break;
        }
    }
    Err(LoadFailure::ReplicaFailed)
}

/// After a conflict: the replica is doing something else, or was ordered by another daemon before.
async fn resolve_conflict(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
) -> bool {
    tokio::time::sleep(REPORT_INTERVAL).await;
    let Some(report) = fetch_report(state, replica).await else {
        return false;
    };
    apply_report(replica, &report);
    if report.is_busy {
        return wait_until_loaded(state, replica, wanted).await;
    }
    true
}

/// Learns how many orders a replica has taken; false where it does not say.
async fn fetch_order_sequence(state: &Rc<GatewayState>, replica: &Rc<Replica>) -> bool {
    let Some(report) = fetch_report(state, replica).await else {
        return false;
    };
    apply_report(replica, &report);
    true
}

fn apply_report(replica: &Replica, report: &ReplicaReport) {
    replica.set_order_sequence(report.order_sequence);
    replica.record_models(&report.models);
}

/// Waits until the replica reports the weights.
async fn wait_until_loaded(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
) -> bool {
    let started_at = Instant::now();
    let mut missed_reports = 0;
    while started_at.elapsed() < LOAD_TIMEOUT {
        if replica.version_of(&wanted.model) >= Some(wanted.version) {
            return true;
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
        match fetch_report(state, replica).await {
            Some(report) => {
                missed_reports = 0;
                replica.record_models(&report.models);
                let has_ended = !report.is_busy && started_at.elapsed() > REPORT_LAG;
                if replica.version_of(&wanted.model) >= Some(wanted.version) {
                    record_loaded(replica, wanted);
                } else if has_ended {
                    return false;
                }
            }
            None => {
                missed_reports += 1;
                if missed_reports > 3 || !state.registry.is_current(&replica.incarnation) {
                    return false;
                }
            }
        }
    }
    false
}

async fn fetch_report(state: &Rc<GatewayState>, replica: &Rc<Replica>) -> Option<ReplicaReport> {
    let call = state.platform.report();
    let answer = upstream::call(&replica.pool, &call, REPORT_TIMEOUT).await;
    let failed = |error: &upstream::CallError| {
        log::debug!("no report of {:?}: {error}", replica.incarnation);
    };
    let (status, body) = answer.inspect_err(failed).ok()?;
    if !status.is_success() {
        log::debug!("{:?} answered {status} for a report", replica.incarnation);
        return None;
    }
    match state.platform.read_report(&body) {
        Ok(report) if is_from_incarnation(&report, replica) => Some(report),
        Ok(report) => {
            log::debug!(
                "report of {:?}, not of {:?}",
                report.born,
                replica.incarnation
            );
            None
        }
        Err(error) => {
            let reason = UnreadableReason::Fields;
            state.reject(Rejected::Report, replica.id(), reason, error);
            None
        }
    }
}

/// Whether a report is not that of another life, which has taken other orders and may have other weights.
fn is_from_incarnation(report: &ReplicaReport, replica: &Replica) -> bool {
    report.born.is_none() || report.born == replica.incarnation.born
}

fn record_loaded(replica: &Replica, wanted: &ModelVersion) {
    replica.record_version(&wanted.model, wanted.version);
    log_event!(
        gateway::WEIGHTS_LOADED,
        "replica={} model={} version={} after={:?}",
        replica.id(),
        wanted.model,
        wanted.version,
        replica.loading_since().map(|since| since.elapsed())
    );
}

fn log_order(replica: &Replica, order: &WeightsOrder, answer: &Result<OrderAnswer, CallError>) {
    match answer {
        Ok(answer) => log_event!(
            gateway::ORDER_ANSWERED,
            "replica={} version={} token={} sequence={:?} answer={answer:?}",
            replica.id(),
            order.weights.version,
            order.token,
            order.expected_sequence
        ),
        Err(error) => log_event!(
            gateway::ORDER_LOST,
            "replica={} version={} token={} sequence={:?} error={:?}",
            replica.id(),
            order.weights.version,
            order.token,
            order.expected_sequence,
            error.to_string()
        ),
    }
}
