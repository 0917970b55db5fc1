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
use super::load::{LoadFailure, MAX_LOST_ORDERS, MAX_LOST_TRIALS, bring_up_to_date};
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
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a replica is left alone after an order that failed; each further one in a row twice as long.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(250);

/// The longest such pause: a replica that is back has to load within the seconds in which its weights may serve.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// The longest random wait that sets daemons apart.
const LONGEST_JITTER_MS: u64 = 250;

/// How much longer each next in rank of a group waits before it asks for the lease: by then it mostly knows that one
/// before it has it. Hundreds of daemons hear of new weights at once (295 machines: 293 writes to the store for one
/// lease without it).
const PAUSE_PER_RANK: Duration = Duration::from_millis(25);

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
    by_replica: RefCell<HashMap<ReplicaIncarnation, ReplicaProgress>>,
    /// Models of which a suspected version is tried just now.
    tried: RefCell<HashSet<String>>,
}

impl Progress {
    /// What is known of this life.
    fn of(&self, life: &ReplicaIncarnation) -> ReplicaProgress {
        let by_replica = self.by_replica.borrow();
        by_replica.get(life).copied().unwrap_or_default()
    }

    /// Takes in that a life is ordered to load; false where it was already.
    fn begin(&self, life: &ReplicaIncarnation) -> bool {
        let mut by_replica = self.by_replica.borrow_mut();
        let is_driven = &mut by_replica.entry(life.clone()).or_default().is_driven;
        !std::mem::replace(is_driven, true)
    }

    /// Takes in that loading has ended.
    fn end(&self, life: &ReplicaIncarnation, end: Result<(), LoadFailure>) {
        let mut by_replica = self.by_replica.borrow_mut();
        let own = by_replica.entry(life.clone()).or_default();
        own.note_end(end, Instant::now());
    }
}

/// What is known of one replica's orders.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaProgress {
    is_driven: bool,
    paused_until: Option<Instant>,
    failures_in_row: u32,
}

impl ReplicaProgress {
    /// How long it is left alone yet.
    fn pause(&self, now: Instant) -> Duration {
        self.paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes in that loading has ended.
    fn note_end(&mut self, end: Result<(), LoadFailure>, now: Instant) {
        self.is_driven = false;
        if !matches!(end, Err(LoadFailure::AtReplica | LoadFailure::NotNamed)) {
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
        if !may_lead_loads(&state) {
            // A survey looks at every replica, of which there may be thousands: members of large groups leave it to the few that
            // may order loads.
            state.lease.borrow_mut().rest();
            continue;
        }
        let survey = survey(&state);
        store::note_shown_weights(&state, &survey.shown);
        let trials = possible_trials(&state, &progress);
        // A trial that is under way needs the lease until its end.
        let is_trying = !progress.tried.borrow().is_empty();
        if survey.outdated.is_empty() && trials.is_empty() && !is_trying {
            state.lease.borrow_mut().rest();
            continue;
        }
        if hold_lease(&state).await.is_none() {
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
fn may_lead_loads(state: &GatewayState) -> bool {
    let holds = state.lease.borrow().token_at(state.now()).is_some();
    holds || state.peers.may_read.get()
}

/// Gives the lease back before a planned stop, so that another daemon need not wait for its end.
async fn give_back(state: &Rc<GatewayState>) {
    let given_back = state.lease.borrow_mut().give_back();
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
async fn hold_lease(state: &Rc<GatewayState>) -> Option<u64> {
    let jitter = Duration::from_millis(rand::rng().random_range(0..LONGEST_JITTER_MS));
    let jitter = jitter + PAUSE_PER_RANK * state.peers.rank();
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
    let staying = replicas.iter().filter(|replica| !replica.is_leaving());
    let planned: Vec<PlannedReplica> = staying
        .map(|replica| planned(state, progress, replica, wanted, now))
        .collect();
    for id in next_loads(&planned) {
        let Some(replica) = state.registry.get(&id) else {
            continue;
        };
        progress.begin(&replica.incarnation);
        let (state, progress, wanted) = (Rc::clone(state), Rc::clone(progress), wanted.clone());
        ntex::rt::spawn(async move {
            let end = bring_up_to_date(&state, &replica, wanted, MAX_LOST_ORDERS).await;
            progress.end(&replica.incarnation, end);
            state.rollout_wanted.notify_one();
        });
    }
}

/// Suspected weights that can be tried now, each with the replica that is ordered to load them. Where all replicas have them there
/// is nothing to order, and the lease is not kept for it.
fn possible_trials(state: &GatewayState, progress: &Progress) -> Vec<(Rc<Replica>, ModelVersion)> {
    let due = state.suspected_weights.borrow().due(Instant::now());
    let tried = progress.tried.borrow();
    let untried = due
        .into_iter()
        .map(|suspicion| suspicion.weights)
        .filter(|suspected| !tried.contains(&suspected.model));
    let with_replica = |suspected: ModelVersion| {
        let replica = replica_for_trial(state, progress, &suspected)?;
        Some((replica, suspected))
    };
    untried.filter_map(with_replica).collect()
}

/// Orders a replica to load suspected weights, which tells whether they were named.
fn start_trial(
    state: &Rc<GatewayState>,
    progress: &Rc<Progress>,
    replica: Rc<Replica>,
    suspected: ModelVersion,
) {
    if !progress.begin(&replica.incarnation) {
        return;
    }
    progress.tried.borrow_mut().insert(suspected.model.clone());
    let (state, progress) = (Rc::clone(state), Rc::clone(progress));
    ntex::rt::spawn(async move {
        let end = bring_up_to_date(&state, &replica, suspected.clone(), MAX_LOST_TRIALS).await;
        let is_refused = end == Err(LoadFailure::NotNamed);
        if is_refused {
            note_refused(&state, &replica, &suspected);
        }
        progress.tried.borrow_mut().remove(&suspected.model);
        // Such a refusal says nothing against the replica.
        let end = if is_refused { Ok(()) } else { end };
        progress.end(&replica.incarnation, end);
        state.rollout_wanted.notify_one();
    });
}

fn note_refused(state: &GatewayState, replica: &Replica, refused: &ModelVersion) {
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
fn replica_for_trial(
    state: &GatewayState,
    progress: &Progress,
    suspected: &ModelVersion,
) -> Option<Rc<Replica>> {
    let now = Instant::now();
    let may_be_ordered = |replica: &Rc<Replica>| {
        let own = progress.of(&replica.incarnation);
        let is_older = replica
            .version_of(&suspected.model)
            .is_some_and(|version| version < suspected.version);
        let is_paused = !own.pause(now).is_zero();
        let is_free = !own.is_driven && !is_paused && replica.loading_since().is_none();
        is_older && is_free && !replica.is_leaving() && !replica.health.is_unreachable(now)
    };
    // One that leaves orders unanswered gets few requests: it would come first each time.
    let failures = |replica: &Rc<Replica>| progress.of(&replica.incarnation).failures_in_row;
    let replicas = configured_replicas(state).into_iter();
    replicas
        .filter(may_be_ordered)
        .min_by_key(|replica| (failures(replica), replica.open_requests()))
}

fn planned(
    state: &GatewayState,
    progress: &Progress,
    replica: &Replica,
    wanted: &ModelVersion,
    now: Instant,
) -> PlannedReplica {
    let own = progress.of(&replica.incarnation);
    let version = replica.version_of(&wanted.model);
    let deadline = state.times.get().weights_deadline;
    let weights = state.weights.borrow();
    // However long requests wait: else all replicas could load at once just when they are overloaded.
    let may_serve =
        |version| weights.may_serve(&wanted.model, version, now, deadline, Duration::ZERO);
    PlannedReplica {
        is_out_of_use: version.is_some_and(|version| !may_serve(version)),
        id: replica.id().to_owned(),
        zone: replica.entry().zone.clone(),
        outdated_version: version.filter(|version| *version < wanted.version),
        is_loading: own.is_driven,
        is_unreachable: own.failures_in_row > 0 || replica.health.is_unreachable(now),
        open_requests: replica.open_requests(),
        pause: own.pause(now),
    }
}
