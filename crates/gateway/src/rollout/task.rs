//! Task that brings all replicas to the wanted weights while this gateway holds the order lease.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use rand::Rng;

use super::lease::{LeaseAction, LeaseTimes};
use super::load::{LoadFailure, MAX_UNANSWERED_ORDERS, MAX_UNANSWERED_TRIALS, bring_up_to_date};
use super::plan::{PlannedReplica, next_loads};
use crate::protocol::{
    ModelVersion, ObjectContent, ObjectKind, ReplicaEntry, ReplicaIncarnation, WriteAnswer,
};
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::store;

/// Name of the lease's object in the store.
pub const LEASE_NAME: &str = "weights";

/// Interval at which the task checks for work unless it is woken earlier.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Backoff from a replica after a failed order; it doubles with each further failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff: a replica that is back has to load within the few seconds for which its weights may still serve.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum random delay that keeps gateways from asking for the lease at the same time.
const MAX_JITTER_MS: u64 = 250;

/// Additional delay per rank in the group before a gateway asks for the lease, so that it usually learns first that a
/// gateway of a higher rank holds it. Hundreds of gateways learn of new weights at once: without this delay 295
/// machines made 293 writes to the store for one lease.
const DELAY_PER_RANK: Duration = Duration::from_millis(25);

/// Returns the times of the lease, given the minimum time between orders of two holders.
pub fn lease_times(handover_gap: Duration) -> LeaseTimes {
    LeaseTimes {
        term: Duration::from_millis(1800),
        handover_gap: handover_gap + Duration::from_millis(200),
        renewal_interval: Duration::from_millis(800),
        takeover_delay: Duration::from_millis(350),
    }
}

/// State of the loads of all replicas.
#[derive(Debug, Default)]
struct RolloutProgress {
    by_replica: RefCell<HashMap<ReplicaIncarnation, ReplicaProgress>>,
    /// Models of which a suspected version is being tried.
    models_in_trial: RefCell<HashSet<String>>,
}

impl RolloutProgress {
    /// Returns the state of the loads of an incarnation of a replica.
    fn get(&self, incarnation: &ReplicaIncarnation) -> ReplicaProgress {
        let by_replica = self.by_replica.borrow();
        by_replica.get(incarnation).copied().unwrap_or_default()
    }

    /// Records that a replica is ordered to load; returns false if it already was.
    fn start(&self, incarnation: &ReplicaIncarnation) -> bool {
        let mut by_replica = self.by_replica.borrow_mut();
        let is_loading = &mut by_replica
            .entry(incarnation.clone())
            .or_default()
            .is_loading;
        !std::mem::replace(is_loading, true)
    }

    /// Records that a load has ended.
    fn finish(&self, incarnation: &ReplicaIncarnation, outcome: Result<(), LoadFailure>) {
        let mut by_replica = self.by_replica.borrow_mut();
        let own = by_replica.entry(incarnation.clone()).or_default();
        own.record_outcome(outcome, Instant::now());
    }
}

/// State of the loads of one replica.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaProgress {
    is_loading: bool,
    backoff_until: Option<Instant>,
    consecutive_failures: u32,
}

impl ReplicaProgress {
    /// Time until the replica may get the next order.
    fn remaining_backoff(&self, now: Instant) -> Duration {
        self.backoff_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Updates the state after a load has ended.
    fn record_outcome(&mut self, outcome: Result<(), LoadFailure>, now: Instant) {
        self.is_loading = false;
        if !matches!(
            outcome,
            Err(LoadFailure::ReplicaFailed | LoadFailure::NotNamed)
        ) {
            self.consecutive_failures = 0;
            self.backoff_until = None;
            return;
        }
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }
}

/// Brings outdated replicas up to date until the gateway stops.
pub async fn run(state: Rc<GatewayState>) {
    let progress = Rc::new(RolloutProgress::default());
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = state.rollout_wanted.notified() => {}
        }
        if state.status.is_stopping() {
            return release_lease(&state).await;
        }
        if !may_order_loads(&state) {
            // A survey examines every replica, of which there may be thousands. Most members of a large group leave it
            // to the few that may order loads.
            state.lease.borrow_mut().on_idle();
            continue;
        }
        let survey = survey(&state);
        store::note_shown_weights(&state, &survey.shown);
        let trials = find_trials(&state, &progress);
        // The lease is needed until a running trial ends.
        let is_trying = !progress.models_in_trial.borrow().is_empty();
        if survey.outdated.is_empty() && trials.is_empty() && !is_trying {
            state.lease.borrow_mut().on_idle();
            continue;
        }
        if try_hold_lease(&state).await.is_none() {
            continue;
        }
        for (service, wanted) in survey.outdated {
            start_loads(&state, &progress, &service, &wanted);
        }
        for (replica, suspected) in trials {
            start_trial(&state, &progress, replica, suspected);
        }
    }
}

/// Whether this gateway holds the lease or is one of the few that may call the store themselves.
fn may_order_loads(state: &GatewayState) -> bool {
    let holds = state.lease.borrow().token_at(state.now()).is_some();
    holds || state.peers.may_read.get()
}

/// Releases the lease before a planned stop, so that another gateway does not have to wait for its expiry.
async fn release_lease(state: &Rc<GatewayState>) {
    let given_back = state.lease.borrow_mut().release();
    if let Some((record, position)) = given_back {
        let content = ObjectContent::Lease(record);
        let answer = store::write(
            state,
            ObjectKind::Leases,
            LEASE_NAME,
            &content,
            Some(position),
        )
        .await;
        log_event!(
            gateway::ORDER_LEASE_LOST,
            "lease={LEASE_NAME} given_back={answer:?}"
        );
    }
}

/// Weights of the replicas according to their entries.
#[derive(Debug, Default)]
struct Survey {
    /// Services with outdated replicas, and the weights that these should load.
    outdated: Vec<(String, ModelVersion)>,
    /// Models of which a replica has a newer version than the wanted one, with the lowest such version.
    shown: HashMap<String, u64>,
}

fn survey(state: &GatewayState) -> Survey {
    let mut found = Survey::default();
    let weights = state.weights.borrow();
    for replica in configured_replicas(state) {
        let entry = replica.entry();
        for model in &entry.models {
            let Some(wanted) = weights.newest(&model.model) else {
                continue;
            };
            if model.version > wanted {
                let lowest = found.shown.entry(model.model.clone());
                let lowest = lowest.or_insert(model.version);
                *lowest = model.version.min(*lowest);
            }
            let is_known = found
                .outdated
                .iter()
                .any(|(service, known)| *service == entry.service && known.model == model.model);
            if model.version < wanted && !replica.is_leaving() && !is_known {
                let weights = ModelVersion {
                    model: model.model.clone(),
                    version: wanted,
                };
                found.outdated.push((entry.service.clone(), weights));
            }
        }
    }
    found
}

/// Returns the replicas of configured services; entries of other writers may name any service.
fn configured_replicas(state: &GatewayState) -> Vec<Rc<Replica>> {
    let configuration = state.configuration.load();
    let is_of_service = |entry: &ReplicaEntry| {
        let configuration = configuration.as_ref();
        configuration.is_some_and(|known| known.service(&entry.service).is_some())
    };
    let mut replicas = state.registry.all();
    replicas.retain(|replica| is_of_service(&replica.entry()));
    replicas
}

/// Takes the next step to acquire or renew the lease; returns the token if this gateway holds it.
async fn try_hold_lease(state: &Rc<GatewayState>) -> Option<u64> {
    let jitter = Duration::from_millis(rand::rng().random_range(0..MAX_JITTER_MS));
    let jitter = jitter + DELAY_PER_RANK * state.peers.rank();
    let action = {
        let mut lease = state.lease.borrow_mut();
        lease.next_action(state.now(), jitter)
    };
    match action {
        LeaseAction::Hold(token) => Some(token),
        LeaseAction::Wait(_) => None,
        LeaseAction::Write { record, expected } => {
            let started_at = state.now();
            let content = ObjectContent::Lease(record.clone());
            let answer =
                store::write(state, ObjectKind::Leases, LEASE_NAME, &content, expected).await;
            let mut lease = state.lease.borrow_mut();
            let had_token = lease.token_at(started_at);
            if !matches!(answer, WriteAnswer::Accepted(_)) {
                log_event!(
                    gateway::ORDER_LEASE_NOT_ACQUIRED,
                    "lease={LEASE_NAME} token={} renewal={} expected={expected:?} answer={answer:?}",
                    record.token,
                    record.renewal
                );
            }
            lease.on_write(record, started_at, state.now(), answer);
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
    progress: &Rc<RolloutProgress>,
    service: &str,
    wanted: &ModelVersion,
) {
    let now = Instant::now();
    let replicas = state.registry.of_service(service);
    let staying = replicas.iter().filter(|replica| !replica.is_leaving());
    let planned: Vec<PlannedReplica> = staying
        .map(|replica| planned_replica(state, progress, replica, wanted, now))
        .collect();
    for id in next_loads(&planned) {
        let Some(replica) = state.registry.get(&id) else {
            continue;
        };
        progress.start(&replica.incarnation);
        let (state, progress, wanted) = (Rc::clone(state), Rc::clone(progress), wanted.clone());
        ntex::rt::spawn(async move {
            let outcome = bring_up_to_date(&state, &replica, wanted, MAX_UNANSWERED_ORDERS).await;
            progress.finish(&replica.incarnation, outcome);
            state.rollout_wanted.notify_one();
        });
    }
}

/// Returns the suspected weights that can be tried now, each with the replica to try them on. If all replicas already
/// have them, there is nothing to order, and the lease is not held for them.
fn find_trials(
    state: &GatewayState,
    progress: &RolloutProgress,
) -> Vec<(Rc<Replica>, ModelVersion)> {
    let due = state.suspected_weights.borrow().due(Instant::now());
    let models_in_trial = progress.models_in_trial.borrow();
    let untried = due
        .into_iter()
        .map(|suspicion| suspicion.weights)
        .filter(|suspected| !models_in_trial.contains(&suspected.model));
    let with_replica = |suspected: ModelVersion| {
        let replica = choose_trial_replica(state, progress, &suspected)?;
        Some((replica, suspected))
    };
    untried.filter_map(with_replica).collect()
}

/// Orders a replica to load suspected weights, which shows whether they were named.
fn start_trial(
    state: &Rc<GatewayState>,
    progress: &Rc<RolloutProgress>,
    replica: Rc<Replica>,
    suspected: ModelVersion,
) {
    if !progress.start(&replica.incarnation) {
        return;
    }
    progress
        .models_in_trial
        .borrow_mut()
        .insert(suspected.model.clone());
    let (state, progress) = (Rc::clone(state), Rc::clone(progress));
    ntex::rt::spawn(async move {
        let outcome =
            bring_up_to_date(&state, &replica, suspected.clone(), MAX_UNANSWERED_TRIALS).await;
        let is_refused = outcome == Err(LoadFailure::NotNamed);
        if is_refused {
            record_refusal(&state, &replica, &suspected);
        }
        progress
            .models_in_trial
            .borrow_mut()
            .remove(&suspected.model);
        // A refusal of a version that was not named does not count as a failure of the replica.
        let outcome = if is_refused { Ok(()) } else { outcome };
        progress.finish(&replica.incarnation, outcome);
        state.rollout_wanted.notify_one();
    });
}

fn record_refusal(state: &GatewayState, replica: &Replica, refused: &ModelVersion) {
    let mut suspected = state.suspected_weights.borrow_mut();
    suspected.note_refused(refused, Instant::now());
    log_event!(
        gateway::WEIGHTS_REFUSED,
        "replica={} model={} version={}",
        replica.id(),
        refused.model,
        refused.version
    );
}

/// Chooses the replica to try suspected weights on: among replicas with older weights that can be reached and are not
/// loading, the one with the fewest failed orders, then the fewest open requests. A replica that already reports the
/// version would prove nothing, since its entry may be wrong.
fn choose_trial_replica(
    state: &GatewayState,
    progress: &RolloutProgress,
    suspected: &ModelVersion,
) -> Option<Rc<Replica>> {
    let now = Instant::now();
    let may_be_ordered = |replica: &Rc<Replica>| {
        let own = progress.get(&replica.incarnation);
        let is_older = replica
            .version_of(&suspected.model)
            .is_some_and(|version| version < suspected.version);
        let is_backing_off = !own.remaining_backoff(now).is_zero();
        let is_free = !own.is_loading && !is_backing_off && replica.loading_since().is_none();
        is_older && is_free && !replica.is_leaving() && !replica.health.is_unreachable(now)
    };
    // A replica that does not answer orders gets few requests, so open requests alone would choose it each time.
    let failures = |replica: &Rc<Replica>| progress.get(&replica.incarnation).consecutive_failures;
    let replicas = configured_replicas(state).into_iter();
    replicas
        .filter(may_be_ordered)
        .min_by_key(|replica| (failures(replica), replica.open_requests()))
}

fn planned_replica(
    state: &GatewayState,
    progress: &RolloutProgress,
    replica: &Replica,
    wanted: &ModelVersion,
    now: Instant,
) -> PlannedReplica {
    let own = progress.get(&replica.incarnation);
    let version = replica.version_of(&wanted.model);
    let deadline = state.times.get().weights_deadline;
    let weights = state.weights.borrow();
    // The time that requests wait is not taken into account: otherwise all replicas could load at once just when they
    // are overloaded.
    let may_serve =
        |version| weights.may_serve(&wanted.model, version, now, deadline, Duration::ZERO);
    PlannedReplica {
        has_expired_weights: version.is_some_and(|version| !may_serve(version)),
        id: replica.id().to_owned(),
        zone: replica.entry().zone.clone(),
        outdated_version: version.filter(|version| *version < wanted.version),
        is_loading: own.is_loading,
        is_unreachable: own.consecutive_failures > 0 || replica.health.is_unreachable(now),
        open_requests: replica.open_requests(),
        remaining_backoff: own.remaining_backoff(now),
    }
}
