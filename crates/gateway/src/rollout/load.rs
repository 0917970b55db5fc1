//! Brings one replica to the wanted weights: repeats the order until the replica has accepted it, then waits until the
//! weights are loaded.

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

/// Timeout of an order's answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a replica's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between two reports of a replica that is loading.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);

/// Time after which a load counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);

/// Number of unanswered orders after which the gateway backs off from a replica.
pub(super) const MAX_UNANSWERED_ORDERS: u32 = 12;

/// Like [`MAX_UNANSWERED_ORDERS`], for trials of suspected weights, which any other replica can take as well. Two
/// replicas that do not answer delay a trial by 1.6 s instead of 9.6 s, which is longer than older weights may serve.
pub(super) const MAX_UNANSWERED_TRIALS: u32 = 2;

/// Number of orders after which the gateway backs off from a replica, whatever it answers.
const MAX_ORDERS: u32 = 12;

/// Time that an order takes to show in reports; until then a report that is not busy does not mean that the load has
/// ended.
const REPORT_LAG: Duration = Duration::from_millis(900);

/// Why a replica did not load the weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadFailure {
    /// The replica could not be reached, did not accept the order or did not load.
    ReplicaFailed,
    /// The replica refused the version because it was not named.
    NotNamed,
    /// This gateway may not give orders any more.
    MayNotOrder,
}

/// Orders one replica to load the wanted weights and waits until it has them. Gives up after `max_unanswered` orders
/// without an answer.
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

/// Records a suspected version as wanted after a replica has accepted an order for it: replicas refuse versions that
/// were not named.
pub fn record_if_suspected(state: &GatewayState, taken: &ModelVersion) {
    let since = state.suspected_weights.borrow().since(taken);
    if let Some(since) = since {
        record_wanted_weights(state, taken, since);
    }
}

/// Announces the state of a load to the other gateways, which send no requests to a replica that is loading. `outcome`
/// is `None` until the load has ended.
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

/// Repeats the order until the replica has accepted it.
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
        // The token must stay valid until the order is sent, which may first require a new connection.
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
        // Timers stop while the machine is suspended, so the token may have expired while the connection was
        // established.
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
                if !handle_conflict(state, replica, wanted).await {
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

/// Handles a conflict: the replica is busy, or another gateway has given it an order since.
async fn handle_conflict(
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

/// Fetches the number of orders that a replica has accepted; returns false if it sends no report.
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

/// Waits until the replica reports the wanted weights.
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
        log::debug!(
            "could not fetch the report of {:?}: {error}",
            replica.incarnation
        );
    };
    let (status, body) = answer.inspect_err(failed).ok()?;
    if !status.is_success() {
        log::debug!(
            "report request to {:?} failed with status {status}",
            replica.incarnation
        );
        return None;
    }
    match state.platform.read_report(&body) {
        Ok(report) if is_from_incarnation(&report, replica) => Some(report),
        Ok(report) => {
            log::debug!(
                "report is from incarnation born={:?}, expected {:?}",
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

/// Whether a report may be from this incarnation of the replica. Another incarnation has accepted other orders and may
/// have other weights.
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
