//! Filter: chooses the replica for one attempt, and what it may start from.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::context::RequestContext;
use super::refusal::{Reason, Refusal, Step};
use crate::replicas::{Candidate, Replica, place};
use crate::state::GatewayState;

/// How much sooner than allowed no request is sent to older weights, for its way and its wait there.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1500);

/// Shared tokens from which a prompt is worth copying to a store; fewer are read again in no time.
const WORTH_KEEPING: u32 = 512;

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
        .map(|replica| view(state, replica))
        .collect();
    let key = context.placement_key();
    let (position, home) =
        place(&views, key, state.draw()).ok_or_else(|| no_replica("none is listed"))?;
    let replica = Rc::clone(&candidates[position]);
    let store = match key {
        Some(_) => state.kv_store(&context.configuration),
        None => None,
    };
    let store = store.map(|store| store.address);
    let weights_version = version_of(context, &replica);
    let cache_scope = cache_scope(context, weights_version);
    let save_to = store.filter(|store| wants_copy(state, context, *store, cache_scope.as_deref()));
    Ok(Choice {
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
    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    let Some(scope) = scope.filter(|_| tokens >= WORTH_KEEPING) else {
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
    let mut staying: Vec<Rc<Replica>> = listed
        .iter()
        .filter(|replica| !replica.entry().is_draining && !tried.contains(&replica.id))
        .cloned()
        .collect();
    if staying.is_empty() {
        return Err(no_replica("all are leaving, tried or unknown"));
    }
    staying.retain(|replica| has_usable_weights(state, context, replica));
    if staying.is_empty() {
        return Err(no_replica("none has weights that may be used"));
    }
    let now = Instant::now();
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
    let Some(prompt) = context.prompt() else {
        return true;
    };
    let Some(version) = replica.version_of(&prompt.model) else {
        return true;
    };
    let weights = state.weights.borrow();
    let outdated_for = weights.outdated_for(&prompt.model, version, Instant::now());
    let deadline = state.settings.times.weights_deadline;
    outdated_for.is_none_or(|age| age + WEIGHTS_MARGIN < deadline)
}

fn view(state: &GatewayState, replica: &Replica) -> Candidate {
    Candidate {
        id_hash: xxh3_64(replica.id.as_bytes()),
        open_requests: replica.open_requests(),
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
