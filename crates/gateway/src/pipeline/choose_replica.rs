//! Filter: chooses the replica for one attempt, and where it gets cached prompt work from.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::load::ReplicaLoad;
use driftspring_decisions::placement::{Candidate, PlacementKey, place};
use driftspring_decisions::replica_speed::SecondChance;
use driftspring_decisions::retry_after::retry_after_pause;

use super::admission::{Admitted, Progress, admit};
use super::context::RequestContext;
use super::hedge::{is_hedgeable, route_speed};
use super::interference_costs::{ChosenInterference, InterferenceCosts};
use super::prompt_sources::{PromptSources, Supply};
use super::refusal::{Reason, Refusal, Step};
use crate::cache::Prefix;
use crate::notices::{Pause, window_start};
use crate::protocol::ReplicaIncarnation;
use crate::replicas::{MAX_COMPARED, Replica, ServiceReplicas};
use crate::state::GatewayState;

/// Minimum number of shared tokens for a prompt to be worth saving to a KV store; fewer are recomputed quickly.
const MIN_SHARED_TOKENS_TO_SAVE: u64 = 512;

/// Minimum ratio of a prompt's shared tokens to its own for it to be saved: the own part is copied too, and evicts what
/// others need.
const MIN_SHARED_TO_OWN_RATIO: u64 = 1;

/// Time after which answers computed with older weights are worth less.
const OUTDATED_PENALTY_DELAY: Duration = Duration::from_millis(1400);

/// When a caller should retry if brittle replicas have no room, before jitter.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(300);

/// Minimum number of eligible replicas among the few that are compared; with fewer, all replicas are considered.
const MIN_ELIGIBLE_COMPARED: usize = MAX_COMPARED / 4;

/// A replica chosen for one attempt.
#[derive(Debug)]
pub struct Choice {
    /// The replica.
    pub replica: Rc<Replica>,
    /// Version of the weights that it is believed to have.
    pub weights_version: Option<u64>,
    /// Scope in which cached prompt work is stored and looked up.
    pub cache_scope: Option<String>,
    /// Where to fetch cached prompt work from.
    pub fetch_from: Option<SocketAddr>,
    /// Where to save cached prompt work to.
    pub save_to: Option<SocketAddr>,
    /// Shared prefixes of the prompt, under the replica's weights.
    pub prefixes: Vec<Prefix>,
    /// Tokens of the prompt that it probably has cached.
    pub cached_tokens: u64,
    /// Tokens of the prompt that it probably has to prefill.
    pub tokens_to_prefill: u64,
    /// Whether it is the home of the prompt's shared parts (the replica that their placement key maps to).
    pub is_home: bool,
    /// Rank in the replica's queue; 0 goes first.
    pub rank: u8,
    /// Number of replicas among which it was chosen.
    pub candidates: usize,
    /// Interference there, and at the home.
    pub interference: ChosenInterference,
}

/// Chooses among the replicas that were not `tried`, if the request will begin at one of them before its caller gives
/// it up.
pub fn choose(
    state: &GatewayState,
    context: &RequestContext,
    tried: &[ReplicaIncarnation],
    progress: Progress,
) -> Result<Choice, Refusal> {
    let listed = state.registry.of_service(context.service());
    let key = context.placement_key();
    let costs = InterferenceCosts::new(state, context, listed.len());
    let admitted = match listed.len() > MAX_COMPARED {
        true => admit_to_compared(state, context, key, tried, progress, &listed, &costs),
        false => None,
    };
    let admitted = match admitted {
        Some(admitted) => admitted,
        None => {
            let eligible_for = |rank| eligible(state, context, &listed, tried, rank);
            admit(state, context, progress, eligible_for)?
        }
    };
    let Admitted {
        mut candidates,
        rank,
    } = admitted;
    let speed = route_speed(state, context);
    if speed.is_some() {
        retain_below_limit(&mut candidates);
    }
    let usual = speed.and_then(|speed| speed.usual());
    let service_time = usual.map_or(Duration::ZERO, |usual| usual.typical);
    let store = key
        .and_then(|key| context.configuration().kv_store(key.0))
        .cloned();
    let mut sources = PromptSources::new(state, context, store.clone());
    let supplies: Vec<Supply> = candidates
        .iter()
        .map(|replica| sources.supply(replica))
        .collect();
    let views: Vec<Candidate> = candidates
        .iter()
        .zip(&supplies)
        .map(|(replica, supply)| {
            to_candidate(state, context, replica, supply, &costs, service_time)
        })
        .collect();
    let (position, home) =
        place(&views, key, state.draw()).ok_or_else(|| no_replica("none is listed"))?;
    let replica = Rc::clone(&candidates[position]);
    let interference_at = |position: usize| {
        let view: &Candidate = &views[position];
        (view.interference_cost_ms, view.load)
    };
    let other_home = (position != home).then(|| {
        let (cost_ms, load) = interference_at(home);
        (&*candidates[home], cost_ms, load)
    });
    let interference = ChosenInterference::new(interference_at(position), other_home);
    let supply = supplies[position];
    let store = store.map(|store| store.address);
    let weights_version = context.version_of(&replica);
    let cache_scope = context.cache_scope(weights_version);
    let save_to = store.filter(|store| should_save(state, context, *store, cache_scope.as_deref()));
    Ok(Choice {
        tokens_to_prefill: tokens_to_prefill(context, &supply),
        prefixes: sources.prefixes(&replica),
        weights_version,
        cache_scope,
        cached_tokens: supply.cached_tokens,
        fetch_from: supply.source.map(|source| source.address).or(store),
        save_to,
        is_home: position == home,
        rank,
        candidates: candidates.len(),
        interference,
        replica,
    })
}

/// Whether the shared parts of the prompt are worth saving to the store, and not known to be there.
fn should_save(
    state: &GatewayState,
    context: &RequestContext,
    store: SocketAddr,
    scope: Option<&str>,
) -> bool {
    let shared = context.shared_parts();
    let shared_tokens = context.shared_tokens();
    let own_tokens = context.input_tokens().saturating_sub(shared_tokens);
    let is_worth_it = shared_tokens >= MIN_SHARED_TOKENS_TO_SAVE
        && own_tokens <= shared_tokens / MIN_SHARED_TO_OWN_RATIO;
    let Some(scope) = scope.filter(|_| is_worth_it) else {
        return false;
    };
    state
        .cached
        .try_start_copy(store, scope, shared, Instant::now())
}

/// Admits the request to a few replicas out of many: those that can win the placement. Returns nothing if too few of
/// them are eligible or the request would begin late there; then all replicas have to be considered.
fn admit_to_compared(
    state: &GatewayState,
    context: &RequestContext,
    key: Option<PlacementKey>,
    tried: &[ReplicaIncarnation],
    progress: Progress,
    listed: &ServiceReplicas,
    costs: &InterferenceCosts,
) -> Option<Admitted> {
    let compared = match costs.separates() {
        true => {
            let prefers = |id_hash: u64| costs.prefers(id_hash);
            listed.select_with_preferred(key, state.draw(), &prefers)
        }
        false => listed.select_for_comparison(key, state.draw()),
    };
    let eligible_for = |rank| eligible(state, context, &compared, tried, rank);
    let admitted = admit(state, context, progress, eligible_for).ok()?;
    let has_enough = admitted.candidates.len() >= MIN_ELIGIBLE_COMPARED;
    (has_enough && admitted.rank == context.priority()).then_some(admitted)
}

/// Replicas that may serve the request: listed, not leaving, not tried, with weights that may still be used, and not
/// paused. Among these, reachable ones that are not loading weights are preferred, if there are any.
fn eligible(
    state: &GatewayState,
    context: &RequestContext,
    listed: &[Rc<Replica>],
    tried: &[ReplicaIncarnation],
    rank: u8,
) -> Result<Vec<Rc<Replica>>, Refusal> {
    let now = Instant::now();
    let binding = context.binding.get();
    let left: Vec<&Rc<Replica>> = listed
        .iter()
        .filter(|replica| replica.is_eligible(now) && binding.allows(replica.software()))
        .collect();
    if left.is_empty() && context.is_bound() {
        let detail = format!("none is left for a stream that is {binding:?}");
        return Err(Refusal::new(Step::Choose, Reason::VersionGone, detail));
    }
    let is_untried = |replica: &&&Rc<Replica>| !tried.contains(&replica.incarnation);
    let staying = left.iter().filter(is_untried);
    let mut staying: Vec<Rc<Replica>> = staying.map(|replica| Rc::clone(replica)).collect();
    if staying.is_empty() {
        return Err(match earliest_pause_end(left.into_iter(), now) {
            Some((replica, pause)) => all_paused(state, replica, &pause, now),
            None => no_replica("all are leaving, tried or unknown"),
        });
    }
    staying.retain(|replica| has_usable_weights(state, context, replica, rank));
    if staying.is_empty() {
        return Err(no_replica("none has weights that may be used"));
    }
    retain_unpaused(state, &mut staying, now)?;
    retain_with_room(state, context.service(), &mut staying, now)?;
    let is_available = |replica: &&Rc<Replica>| {
        !replica.health.is_suspect(now)
            && !replica.health.is_silent(now)
            && replica.loading_since().is_none()
    };
    let available: Vec<Rc<Replica>> = staying.iter().filter(is_available).cloned().collect();
    match available.is_empty() {
        true => Ok(staying),
        false => Ok(available),
    }
}

/// Keeps the replicas that accept requests now, according to their own notices.
fn retain_unpaused(
    state: &GatewayState,
    replicas: &mut Vec<Rc<Replica>>,
    now: Instant,
) -> Result<(), Refusal> {
    if let Some((replica, pause)) = earliest_pause_end(replicas.iter(), now) {
        return Err(all_paused(state, replica, &pause, now));
    }
    replicas.retain(|replica| match replica.notices.pause(now) {
        Some(pause) => {
            replica.notices.log_passed_over(replica.id(), &pause, now);
            false
        }
        None => true,
    });
    Ok(())
}

/// Keeps the replicas that have room for one more request of this gateway, which brittle ones may not have.
fn retain_with_room(
    state: &GatewayState,
    service: &str,
    replicas: &mut Vec<Rc<Replica>>,
    now: Instant,
) -> Result<(), Refusal> {
    if state.brittle_services.is_any() {
        let gateways = state.peers.directory().count;
        let assumed = state.brittle_services.assumed(service, now);
        for replica in replicas.iter() {
            let start = || window_start(state, replica);
            let brittleness = &replica.notices.brittleness;
            if let Some(tolerated) = assumed {
                brittleness.assume_returned(tolerated, start);
            }
            brittleness.adjust(gateways, start);
        }
    }
    replicas.retain(|replica| replica.has_room(now));
    match replicas.is_empty() {
        true => {
            let detail = "no replica has room, and they crash if they refuse requests";
            Err(paused(state, NO_ROOM_PAUSE, detail.to_owned()))
        }
        false => Ok(()),
    }
}

/// The replica whose pause ends first, if all have asked for a pause.
fn earliest_pause_end<'a>(
    replicas: impl Iterator<Item = &'a Rc<Replica>>,
    now: Instant,
) -> Option<(&'a Replica, Pause)> {
    let mut earliest: Option<(&Replica, Pause)> = None;
    for replica in replicas {
        let pause = replica.notices.pause(now)?;
        if earliest.is_none_or(|(_, known)| pause.until < known.until) {
            earliest = Some((replica, pause));
        }
    }
    earliest
}

/// Refusal if all replicas are paused; `replica` is the first that accepts requests again.
fn all_paused(state: &GatewayState, replica: &Replica, pause: &Pause, now: Instant) -> Refusal {
    replica.notices.log_passed_over(replica.id(), pause, now);
    let time = pause.until.saturating_duration_since(now);
    let detail = format!(
        "all asked for a pause, the first back is replica={} said={} ends_in={time:?}",
        replica.id(),
        pause.cause
    );
    paused(state, time, detail)
}

/// Refusal of a request that no replica accepts for `time`.
pub fn paused(state: &GatewayState, time: Duration, detail: String) -> Refusal {
    Refusal {
        retry_after: Some(retry_after_pause(time, state.draw())),
        ..Refusal::new(Step::Choose, Reason::Paused, detail)
    }
}

/// Whether the replica's weights may still be used when the request is expected to begin there.
fn has_usable_weights(
    state: &GatewayState,
    context: &RequestContext,
    replica: &Replica,
    rank: u8,
) -> bool {
    let deadline = state.times.get().weights_deadline;
    let Some(prompt) = context.prompt() else {
        return true;
    };
    // An entry without weights was not written by a replica that runs models.
    if replica.entry().models.is_empty() {
        return false;
    }
    let now = Instant::now();
    let expected_wait = replica.queue_waits.expected_wait(rank, now);
    replica.version_of(&prompt.model).is_none_or(|version| {
        let weights = state.weights.borrow();
        weights.may_serve(&prompt.model, version, now, deadline, expected_wait)
    })
}

/// Whether an answer computed with the replica's weights is worth less.
fn is_penalized_as_outdated(
    state: &GatewayState,
    context: &RequestContext,
    replica: &Replica,
) -> bool {
    outdated_for(state, context, replica).is_some_and(|age| age >= OUTDATED_PENALTY_DELAY)
}

/// How long newer weights than the replica's have been wanted.
fn outdated_for(
    state: &GatewayState,
    context: &RequestContext,
    replica: &Replica,
) -> Option<Duration> {
    let prompt = context.prompt()?;
    let version = replica.version_of(&prompt.model)?;
    let weights = state.weights.borrow();
    weights.outdated_for(&prompt.model, version, Instant::now())
}

/// Tokens that the replica has to prefill: all that it neither has cached nor fetches.
fn tokens_to_prefill(context: &RequestContext, supply: &Supply) -> u64 {
    let fetched = supply.source.map_or(0, |source| source.tokens);
    let known = supply.cached_tokens.max(fetched);
    context.input_tokens().saturating_sub(known)
}

/// Passes over replicas at their learnt concurrency limit while others have room. If none has, all remain.
fn retain_below_limit(candidates: &mut Vec<Rc<Replica>>) {
    let has_room = |replica: &Rc<Replica>| replica.open_requests() < replica.speed.limit();
    if candidates.iter().any(has_room) {
        candidates.retain(has_room);
    }
}

/// The replica as the placement compares it.
fn to_candidate(
    state: &GatewayState,
    context: &RequestContext,
    replica: &Replica,
    supply: &Supply,
    costs: &InterferenceCosts,
    service_time: Duration,
) -> Candidate {
    let now = Instant::now();
    let chance = match is_hedgeable(context) {
        true => SecondChance::Hedged,
        false => SecondChance::Without,
    };
    // What requests without a prompt take says nothing about those with one.
    let slowdown = match context.prompt() {
        Some(_) => 1.0,
        None => replica.speed.slowdown(chance, now),
    };
    let load = ReplicaLoad {
        slowdown,
        ..replica.load(now)
    };
    Candidate {
        id_hash: replica.id_hash,
        load,
        has_outdated_weights: is_penalized_as_outdated(state, context, replica),
        failure_rate: replica.health.failure_rate(),
        is_in_own_zone: replica.entry().zone == state.settings.zone,
        fetch_time: supply.fetch_cost,
        recompute_time: supply.prefill_cost,
        interference_cost_ms: costs.at(replica.id_hash, &load),
        service_time,
    }
}

fn no_replica(detail: &str) -> Refusal {
    Refusal::new(Step::Choose, Reason::NoReplica, detail)
}
