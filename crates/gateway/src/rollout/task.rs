//! Brings every replica to the wanted weights, while this daemon holds the lease.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use rand::Rng;

use super::lease::{LeaseAction, LeaseTimes};
use super::plan::{PlannedReplica, next_loads};
use crate::peers::message::Loading;
use crate::protocol::{
    LoadMethod, ModelVersion, ObjectContent, ObjectKind, OrderAnswer, ReplicaReport, WeightsOrder,
    WriteAnswer,
};
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::store;
use crate::upstream::{self, CallError};

/// The name of the lease's object.
pub const LEASE_NAME: &str = "weights";

/// How often the task looks for work where nothing wakes it.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long an order's answer is waited for.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a replica's description is waited for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// The time between two descriptions of a replica that loads.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);

/// How long a replica may load before it counts as failed.
const LONGEST_LOAD: Duration = Duration::from_secs(6);

/// How long a replica is left alone after an order that failed; each further one in a row twice as long.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(250);

/// The longest such pause: a replica that is back has to load within the seconds in which its weights may serve.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Orders without an answer after which a replica is left alone for a while.
const MAX_LOST_ORDERS: u32 = 12;

/// The longest random wait that sets daemons apart.
const LONGEST_JITTER_MS: u64 = 250;

/// The times of the lease under the settings.
pub fn lease_times(distance: Duration) -> LeaseTimes {
    LeaseTimes {
        term: Duration::from_millis(1800),
        distance: distance + Duration::from_millis(200),
        renewal: Duration::from_millis(800),
        deference: Duration::from_millis(350),
    }
}

/// What the task keeps of each replica.
#[derive(Debug, Default)]
struct Progress {
    by_replica: RefCell<HashMap<String, ReplicaProgress>>,
}

/// Why a replica has not got the weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadFailure {
    /// It could not be reached, did not take the order or did not load.
    AtReplica,
    /// This daemon may not give orders any more.
    MayNotOrder,
}

/// What is known of one replica's orders.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaProgress {
    is_driven: bool,
    paused_until: Option<Instant>,
    failures_in_row: u32,
}

impl ReplicaProgress {
    /// Takes in that loading has ended.
    fn note_end(&mut self, end: Result<(), LoadFailure>, now: Instant) {
        self.is_driven = false;
        if end != Err(LoadFailure::AtReplica) {
            self.failures_in_row = 0;
            self.paused_until = None;
            return;
        }
        let pause = PAUSE_AFTER_FAILURE.saturating_mul(1 << self.failures_in_row.min(8));
        self.failures_in_row += 1;
        self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
    }
}

/// Looks for outdated replicas for ever, and brings them up to date.
pub async fn run(state: Rc<GatewayState>) {
    let progress = Rc::new(Progress::default());
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
            () = state.rollout_wanted.notified() => {}
        }
        if state.status.is_stopping() {
            return give_back(&state).await;
        }
        let outdated = outdated_by_model(&state);
        if outdated.is_empty() {
            state.lease.borrow_mut().rest();
            continue;
        }
        if hold_lease(&state).await.is_none() {
            continue;
        }
        for (service, wanted) in outdated {
            start_loads(&state, &progress, &service, &wanted);
        }
    }
}

/// Gives the lease back before a planned stop, so that another daemon need not wait for its end.
async fn give_back(state: &Rc<GatewayState>) {
    let given_back = state.lease.borrow_mut().give_back();
    if let Some((record, revision)) = given_back {
        let content = ObjectContent::Lease(record);
        let answer = store::write(
            state,
            ObjectKind::Leases,
            LEASE_NAME,
            &content,
            Some(revision),
        )
        .await;
        log_event!(
            gateway::ORDER_LEASE_LOST,
            "lease={LEASE_NAME} given_back={answer:?}"
        );
    }
}

/// Services with outdated replicas, and the weights that these should have.
fn outdated_by_model(state: &GatewayState) -> Vec<(String, ModelVersion)> {
    let mut found: Vec<(String, ModelVersion)> = Vec::new();
    let weights = state.weights.borrow();
    for replica in state.registry.all() {
        let entry = replica.entry();
        for model in &entry.models {
            let Some(wanted) = weights.newest(&model.model) else {
                continue;
            };
            let is_known = found
                .iter()
                .any(|(service, known)| *service == entry.service && known.model == model.model);
            if model.version < wanted && !entry.is_draining && !is_known {
                let weights = ModelVersion {
                    model: model.model.clone(),
                    version: wanted,
                };
                found.push((entry.service.clone(), weights));
            }
        }
    }
    found
}

/// One step towards the lease; the token once this daemon holds it.
async fn hold_lease(state: &Rc<GatewayState>) -> Option<u64> {
    let jitter = Duration::from_millis(rand::rng().random_range(0..LONGEST_JITTER_MS));
    let action = {
        let mut lease = state.lease.borrow_mut();
        lease.next(state.now(), jitter)
    };
    match action {
        LeaseAction::Hold(token) => Some(token),
        LeaseAction::Wait(_) => None,
        LeaseAction::Write { record, expected } => {
            let began = state.now();
            let content = ObjectContent::Lease(record.clone());
            let answer =
                store::write(state, ObjectKind::Leases, LEASE_NAME, &content, expected).await;
            let mut lease = state.lease.borrow_mut();
            let had_token = lease.token_at(began);
            if !matches!(answer, WriteAnswer::Accepted(_)) {
                log_event!(
                    gateway::ORDER_LEASE_NOT_ACQUIRED,
                    "lease={LEASE_NAME} token={} renewal={} expected={expected:?} answer={answer:?}",
                    record.token,
                    record.renewal
                );
            }
            lease.on_write(record, began, state.now(), answer);
            let token = lease.token_at(state.now());
            if let Some(token) = token.filter(|_| had_token.is_none()) {
                log_event!(
                    gateway::ORDER_LEASE_ACQUIRED,
                    "lease={LEASE_NAME} token={token}"
                );
            }
            token
        }
    }
}

fn start_loads(
    state: &Rc<GatewayState>,
    progress: &Rc<Progress>,
    service: &str,
    wanted: &ModelVersion,
) {
    let now = Instant::now();
    let replicas = state.registry.of_service(service);
    let staying = replicas
        .iter()
        .filter(|replica| !replica.entry().is_draining);
    let planned: Vec<PlannedReplica> = staying
        .map(|replica| planned(state, progress, replica, wanted, now))
        .collect();
    for id in next_loads(&planned) {
        let Some(replica) = state.registry.get(&id) else {
            continue;
        };
        progress
            .by_replica
            .borrow_mut()
            .entry(id)
            .or_default()
            .is_driven = true;
        let (state, progress, wanted) = (Rc::clone(state), Rc::clone(progress), wanted.clone());
        ntex::rt::spawn(async move {
            let end = drive(&state, &replica, wanted).await;
            let mut by_replica = progress.by_replica.borrow_mut();
            let own = by_replica.entry(replica.id.clone()).or_default();
            own.note_end(end, Instant::now());
            state.rollout_wanted.notify_one();
        });
    }
}

fn planned(
    state: &GatewayState,
    progress: &Progress,
    replica: &Replica,
    wanted: &ModelVersion,
    now: Instant,
) -> PlannedReplica {
    let by_replica = progress.by_replica.borrow();
    let own = by_replica.get(&replica.id).copied().unwrap_or_default();
    let version = replica.version_of(&wanted.model);
    let deadline = state.times.get().weights_deadline;
    let weights = state.weights.borrow();
    // However long requests wait: else all replicas could load at once just when they are overloaded.
    let may_serve =
        |version| weights.may_serve(&wanted.model, version, now, deadline, Duration::ZERO);
    PlannedReplica {
        is_out_of_use: version.is_some_and(|version| !may_serve(version)),
        id: replica.id.clone(),
        zone: replica.entry().zone.clone(),
        outdated_version: version.filter(|version| *version < wanted.version),
        is_loading: own.is_driven,
        is_unreachable: own.failures_in_row > 0 || replica.health.is_unreachable(now),
        open_requests: replica.open_requests(),
        pause: own
            .paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
    }
}

/// Orders one replica to load and waits until it has the weights.
async fn drive(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: ModelVersion,
) -> Result<(), LoadFailure> {
    replica.set_loading(Some(Instant::now()));
    tell(state, replica, &wanted, false, false);
    let end = load(state, replica, &wanted).await;
    replica.set_loading(None);
    tell(state, replica, &wanted, end.is_ok(), end.is_err());
    end
}

async fn load(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
) -> Result<(), LoadFailure> {
    order_until_taken(state, replica, wanted).await?;
    match wait_until_loaded(state, replica, wanted).await {
        true => Ok(()),
        false => Err(LoadFailure::AtReplica),
    }
}

/// Tells the other daemons, so that they send no requests to a replica that is loading.
fn tell(
    state: &GatewayState,
    replica: &Replica,
    wanted: &ModelVersion,
    is_done: bool,
    has_failed: bool,
) {
    state.peers.tell_loading(Loading {
        replica: replica.id.clone(),
        model: wanted.model.clone(),
        version: wanted.version,
        is_done,
        has_failed,
        pass_on: false,
    });
}

/// Gives the order until the replica has taken it.
async fn order_until_taken(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
) -> Result<(), LoadFailure> {
    if replica.order_sequence().is_none() && !learn_state(state, replica).await {
        return Err(LoadFailure::AtReplica);
    }
    for _ in 0..MAX_LOST_ORDERS {
        // It must not run out before the order has been sent: a connection may have to come up first.
        let Some(token) = state.lease.borrow().token_at(state.now() + ORDER_TIMEOUT) else {
            return Err(LoadFailure::MayNotOrder);
        };
        if state.status.is_stopping() {
            return Err(LoadFailure::MayNotOrder);
        }
        let order = WeightsOrder {
            replica: replica.id.clone(),
            weights: wanted.clone(),
            method: LoadMethod::Retain,
            holder: state.settings.name.clone(),
            token,
            expected_sequence: replica.order_sequence(),
        };
        let call = state.platform.order(&order);
        let answer = upstream::call(&replica.pool, &call, ORDER_TIMEOUT).await;
        let answer = answer.map(|(status, _)| state.platform.read_order(status));
        log_order(replica, &order, &answer);
        match answer {
            Ok(OrderAnswer::Accepted) => {
                replica.count_order();
                return Ok(());
            }
            Ok(OrderAnswer::Holds) => {
                note_loaded(replica, wanted);
                return Ok(());
            }
            Ok(OrderAnswer::Conflict) => {
                if !learn_sequence(state, replica, wanted).await {
                    return Err(LoadFailure::AtReplica);
                }
            }
            Ok(OrderAnswer::Fenced) => {
                state.lease.borrow_mut().on_fenced();
                return Err(LoadFailure::MayNotOrder);
            }
            Ok(OrderAnswer::Misdirected | OrderAnswer::Refused) => {
                return Err(LoadFailure::AtReplica);
            }
            Err(CallError::NotSent(_)) => return Err(LoadFailure::AtReplica),
            Err(CallError::Lost(_) | CallError::TimedOut(_)) => {}
        }
    }
    Err(LoadFailure::AtReplica)
}

/// After a conflict: the replica is doing something else, or was ordered by another daemon before.
async fn learn_sequence(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
) -> bool {
    tokio::time::sleep(REPORT_INTERVAL).await;
    let Some(report) = report(state, replica).await else {
        return false;
    };
    take_report(replica, &report);
    if report.is_busy {
        return wait_until_loaded(state, replica, wanted).await;
    }
    true
}

/// Learns how many orders a replica has taken; false where it does not say.
async fn learn_state(state: &Rc<GatewayState>, replica: &Rc<Replica>) -> bool {
    let Some(report) = report(state, replica).await else {
        return false;
    };
    take_report(replica, &report);
    true
}

fn take_report(replica: &Replica, report: &ReplicaReport) {
    replica.set_order_sequence(report.order_sequence);
    replica.take_models(&report.models);
}

/// Waits until the replica reports the weights.
async fn wait_until_loaded(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    wanted: &ModelVersion,
) -> bool {
    let began = Instant::now();
    let mut silent = 0;
    while began.elapsed() < LONGEST_LOAD {
        if replica.version_of(&wanted.model) >= Some(wanted.version) {
            return true;
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
        match report(state, replica).await {
            Some(report) => {
                silent = 0;
                replica.take_models(&report.models);
                let has_ended = !report.is_busy && began.elapsed() > REPORT_LAG;
                if replica.version_of(&wanted.model) >= Some(wanted.version) {
                    note_loaded(replica, wanted);
                } else if has_ended {
                    return false;
                }
            }
            None => {
                silent += 1;
                if silent > 3 || state.registry.get(&replica.id).is_none() {
                    return false;
                }
            }
        }
    }
    false
}

/// A report that is not busy tells nothing before an order has had time to show.
const REPORT_LAG: Duration = Duration::from_millis(900);

async fn report(state: &Rc<GatewayState>, replica: &Rc<Replica>) -> Option<ReplicaReport> {
    let call = state.platform.report();
    let answer = upstream::call(&replica.pool, &call, REPORT_TIMEOUT).await;
    let (status, body) = answer.ok()?;
    if !status.is_success() {
        return None;
    }
    state.platform.read_report(&body).ok()
}

fn note_loaded(replica: &Replica, wanted: &ModelVersion) {
    replica.note_version(&wanted.model, wanted.version);
    log_event!(
        gateway::WEIGHTS_LOADED,
        "replica={} model={} version={} after={:?}",
        replica.id,
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
            replica.id,
            order.weights.version,
            order.token,
            order.expected_sequence
        ),
        Err(error) => log_event!(
            gateway::ORDER_LOST,
            "replica={} version={} token={} sequence={:?} error={:?}",
            replica.id,
            order.weights.version,
            order.token,
            order.expected_sequence,
            error.to_string()
        ),
    }
}
