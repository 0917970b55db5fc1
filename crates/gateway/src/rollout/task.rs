//! Brings every replica to the wanted weights, while this daemon holds the lease.

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

/// The name of the lease's object.
pub const LEASE_NAME: &str = "weights";

/// How often the task looks for work where nothing wakes it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a replica is left alone after an order that failed; each further one in a row twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// The longest such pause: a replica that is back has to load within the seconds in which its weights may serve.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The longest random wait that sets daemons apart.
const MAX_JITTER_MS: u64 = 250;

/// How much longer each next in rank of a group waits before it asks for the lease: by then it mostly knows that one
/// before it has it. Hundreds of daemons hear of new weights at once (295 machines: 293 writes to the store for one
/// lease without it).
const DELAY_PER_RANK: Duration = Duration::from_millis(25);

/// The times of the lease under the settings.
pub fn lease_times(handover_gap: Duration) -> LeaseTimes {
    LeaseTimes {
        term: Duration::from_millis(1800),
        handover_gap: handover_gap + Duration::from_millis(200),
        renewal_interval: Duration::from_millis(800),
        takeover_delay: Duration::from_millis(350),
    }
}

/// What the task keeps of each replica.
#[derive(Debug, Default)]
struct RolloutProgress {
    by_replica: RefCell<HashMap<ReplicaIncarnation, ReplicaProgress>>,
    /// Models of which a suspected version is tried just now.
    models_in_trial: RefCell<HashSet<String>>,
}

impl RolloutProgress {
    /// What is known of this life.
    fn get(&self, incarnation: &ReplicaIncarnation) -> ReplicaProgress {
        let by_replica = self.by_replica.borrow();
        by_replica.get(incarnation).copied().unwrap_or_default()
    }

    /// Takes in that a life is ordered to load; false where it was already.
    fn start(&self, incarnation: &ReplicaIncarnation) -> bool {
        let mut by_replica = self.by_replica.borrow_mut();
        let is_loading = &mut by_replica
            .entry(incarnation.clone())
            .or_default()
            .is_loading;
        !std::mem::replace(is_loading, true)
    }

    /// Takes in that loading has ended.
    fn finish(&self, incarnation: &ReplicaIncarnation, outcome: Result<(), LoadFailure>) {
        let mut by_replica = self.by_replica.borrow_mut();
        let own = by_replica.entry(incarnation.clone()).or_default();
        own.record_outcome(outcome, Instant::now());
    }
}

/// What is known of one replica's orders.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaProgress {
    is_loading: bool,
    backoff_until: Option<Instant>,
    consecutive_failures: u32,
}

impl ReplicaProgress {
    /// How long it is left alone yet.
    fn remaining_backoff(&self, now: Instant) -> Duration {
        self.backoff_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes in that loading has ended.
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

/// Looks for outdated replicas for ever, and brings them up to date.
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
            // A survey looks at every replica, of which there may be thousands: members of large groups leave it to the few that
            // may order loads.
            state.lease.borrow_mut().on_idle();
            continue;
        }
        let survey = survey(&state);
        store::note_shown_weights(&state, &survey.shown);
        let trials = find_trials(&state, &progress);
        // A trial that is under way needs the lease until its end.
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

/// Whether this daemon holds the lease, or is one of those that may call the store on their own account.
fn may_order_loads(state: &GatewayState) -> bool {
    let holds = state.lease.borrow().token_at(state.now()).is_some();
    holds || state.peers.may_read.get()
}

/// Gives the lease back before a planned stop, so that another daemon need not wait for its end.
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

/// What the entries of replicas say of their weights.
#[derive(Debug, Default)]
struct Survey {
    /// Services with outdated replicas, and the weights that these should have.
    outdated: Vec<(String, ModelVersion)>,
    /// Models of which a replica has a newer version than is known, and the lowest such version.
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

/// The replicas of services that the configuration names; entries of other writers may name any.
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

/// One step towards the lease; the token once this daemon holds it.
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

/// Suspected weights that can be tried now, each with the replica that is ordered to load them. Where all replicas have them there
/// is nothing to order, and the lease is not kept for it.
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

/// Orders a replica to load suspected weights, which tells whether they were named.
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
        // Such a refusal says nothing against the replica.
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

/// The replica that is ordered to load suspected weights: the one of older weights with the fewest orders that failed, then the
/// fewest open requests, of those that can be reached and load nothing. One that has the version itself would prove nothing, since its entry may be what is wrong.
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
    // One that leaves orders unanswered gets few requests: it would come first each time.
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
    // However long requests wait: else all replicas could load at once just when they are overloaded.
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
