//! Filter: chooses the replica for one attempt, and what it may start from.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::context::RequestContext;
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::KvStore;
use crate::replicas::{Candidate, Replica, SharedPrompt, place, reading_time};
use crate::state::GatewayState;

/// Shared tokens from which a prompt is worth copying to a store; fewer are read again in no time.
const WORTH_KEEPING: u64 = 512;

/// A prompt is copied only if its own part has at most the shared tokens divided by this: the own part goes
/// along, and drives out what others need.
const MOST_OWN: u64 = 1;

/// How much a fetch counts against its time on an idle link, since others use the link too.
const FETCH_WEIGHT: f64 = 3.0;

/// How much reading shared parts again counts against its time: it keeps others waiting, and is paid for.
const READING_WEIGHT: f64 = 2.0;

/// After this time answers with older weights are worth less.
const WORTH_LESS_AFTER: Duration = Duration::from_millis(1400);

/// A replica for one attempt.
#[derive(Debug)]
pub struct Choice {
    /// The replica.
    pub replica: Rc<Replica>,
    /// The version of the weights that it is believed to have.
    pub weights_version: Option<u64>,
    /// The name under which cached prompt work is kept and found.
    pub cache_scope: Option<String>,
    /// Where to take cached prompt work from.
    pub fetch_from: Option<SocketAddr>,
    /// Where to copy cached prompt work to.
    pub save_to: Option<SocketAddr>,
    /// Tokens of the prompt that it probably has to read.
    pub tokens_to_read: u64,
    /// Whether the prompt's shared parts belong there.
    pub is_home: bool,
    /// Replicas among which it was chosen.
    pub candidates: usize,
}

/// Chooses among the replicas that were not `tried`.
pub fn choose(
    state: &GatewayState,
    context: &RequestContext,
    tried: &[String],
) -> Result<Choice, Refusal> {
    let candidates = eligible(state, context, tried)?;
    let views: Vec<Candidate> = candidates
        .iter()
        .map(|replica| view(state, context, replica))
        .collect();
    let store = match context.shared_tokens() {
        0 => None,
        _ => state.kv_store(&context.configuration),
    };
    let shared = shared_prompt(state, context, store.as_ref(), &candidates);
    let (position, home) =
        place(&views, shared, state.draw()).ok_or_else(|| no_replica("none is listed"))?;
    let replica = Rc::clone(&candidates[position]);
    let store = store.map(|store| store.address);
    let weights_version = version_of(context, &replica);
    let cache_scope = cache_scope(context, weights_version);
    let save_to = store.filter(|store| wants_copy(state, context, *store, cache_scope.as_deref()));
    Ok(Choice {
        tokens_to_read: tokens_to_read(context, store, position == home),
        weights_version,
        cache_scope,
        fetch_from: store,
        save_to,
        is_home: position == home,
        candidates: candidates.len(),
        replica,
    })
}

/// Whether the shared parts of the prompt are worth copying to the store, and not known to be there.
fn wants_copy(
    state: &GatewayState,
    context: &RequestContext,
    store: SocketAddr,
    scope: Option<&str>,
) -> bool {
    let shared = context.shared_parts();
    let shared_tokens = context.shared_tokens();
    let own_tokens = tokens_to_read(context, Some(store), true);
    let is_worth_it = shared_tokens >= WORTH_KEEPING && own_tokens <= shared_tokens / MOST_OWN;
    let Some(scope) = scope.filter(|_| is_worth_it) else {
        return false;
    };
    state
        .cached
        .wants_copy(store, scope, shared, Instant::now())
}

/// The replicas that may serve: listed, not leaving, with weights that may still be used; of these, if
/// there are any, those that can be reached and aren't loading.
fn eligible(
    state: &GatewayState,
    context: &RequestContext,
    tried: &[String],
) -> Result<Vec<Rc<Replica>>, Refusal> {
    let listed = state.registry.of_service(&context.service);
    let now = Instant::now();
    let is_staying = |replica: &&Rc<Replica>| {
        !replica.entry().is_draining && !replica.has_lapsed(now) && !tried.contains(&replica.id)
    };
    let mut staying: Vec<Rc<Replica>> = listed.iter().filter(is_staying).cloned().collect();
    if staying.is_empty() {
        return Err(no_replica("all are leaving, tried or unknown"));
    }
    staying.retain(|replica| has_usable_weights(state, context, replica));
    if staying.is_empty() {
        return Err(no_replica("none has weights that may be used"));
    }
    let is_well = |replica: &&Rc<Replica>| {
        !replica.health.is_suspect(now) && replica.loading_since().is_none()
    };
    let well: Vec<Rc<Replica>> = staying.iter().filter(is_well).cloned().collect();
    match well.is_empty() {
        true => Ok(staying),
        false => Ok(well),
    }
}

fn has_usable_weights(state: &GatewayState, context: &RequestContext, replica: &Replica) -> bool {
    let deadline = state.times.get().weights_deadline;
    let Some(prompt) = context.prompt() else {
        return true;
    };
    replica.version_of(&prompt.model).is_none_or(|version| {
        let weights = state.weights.borrow();
        weights.may_serve(&prompt.model, version, Instant::now(), deadline)
    })
}

/// Whether an answer with the replica's weights is worth less.
fn is_worth_less(state: &GatewayState, context: &RequestContext, replica: &Replica) -> bool {
    outdated_for(state, context, replica).is_some_and(|age| age >= WORTH_LESS_AFTER)
}

/// For how long newer weights than the replica's have been wanted.
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

/// What the shared parts cost where they are not kept: the way from the store, if they are known to be
/// there under the newest weights, else reading them, which is also paid for.
fn shared_prompt(
    state: &GatewayState,
    context: &RequestContext,
    store: Option<&KvStore>,
    candidates: &[Rc<Replica>],
) -> Option<SharedPrompt> {
    let key = context.placement_key()?;
    let tokens = context.shared_tokens();
    let reading = reading_time(tokens).mul_f64(READING_WEIGHT);
    let version = candidates
        .iter()
        .filter_map(|replica| version_of(context, replica))
        .max();
    let scope = cache_scope(context, version)?;
    let is_kept = |store: &&KvStore| {
        let parts = context.shared_parts();
        state
            .cached
            .keeps(store.address, &scope, parts, Instant::now())
    };
    let fetching = store
        .filter(is_kept)
        .map(|store| fetching_time(context, store, tokens));
    let miss = fetching.map_or(reading, |fetching| fetching.min(reading));
    Some(SharedPrompt { key, miss })
}

/// The time in which so many tokens come from the store.
fn fetching_time(context: &RequestContext, store: &KvStore, tokens: u64) -> Duration {
    let service = context.configuration.service(&context.service);
    let bytes_per_token = service
        .and_then(|service| service.engine.as_ref())
        .map_or(0, |engine| engine.bytes_per_token);
    let bits = (tokens * bytes_per_token * 8) as f64;
    let bits_per_second = store.link_megabits.max(1.0) * 1e6;
    Duration::from_secs_f64(FETCH_WEIGHT * bits / bits_per_second)
}

/// Tokens that the replica has to read: all but those that its home keeps, or that come from the store.
fn tokens_to_read(context: &RequestContext, store: Option<SocketAddr>, is_home: bool) -> u64 {
    let all = u64::from(context.prompt().map_or(0, |prompt| prompt.input_tokens));
    match is_home || store.is_some() {
        true => all.saturating_sub(context.shared_tokens()),
        false => all,
    }
}

fn view(state: &GatewayState, context: &RequestContext, replica: &Replica) -> Candidate {
    Candidate {
        id_hash: xxh3_64(replica.id.as_bytes()),
        open_requests: replica.open_requests(),
        reading: replica.reading(Instant::now()),
        is_outdated: is_worth_less(state, context, replica),
        failure_share: replica.health.failure_share(),
        is_near: replica.entry().zone == state.settings.zone,
    }
}

fn version_of(context: &RequestContext, replica: &Replica) -> Option<u64> {
    replica.version_of(&context.prompt()?.model)
}

/// Cached prompt work is kept apart by tenant, where that is isolated, and by the version of the weights
/// that made it.
fn cache_scope(context: &RequestContext, weights_version: Option<u64>) -> Option<String> {
    context.prompt()?;
    let version = weights_version.unwrap_or(0);
    Some(format!("{version}/{}", context.wall()))
}

fn no_replica(detail: &str) -> Refusal {
    Refusal::new(Step::Choose, Reason::NoReplica, detail)
}
