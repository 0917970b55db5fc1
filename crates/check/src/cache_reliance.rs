//! No request relies on cached work of an ended life of an engine, of another tenant or of other
//! weights.
//!
//! Two checks: what a daemon relied on when it dispatched must be what the engine was when it began
//! the run; and cached tokens that an engine reports must be text that the same tenant had run there
//! before under the same weights.

use std::collections::{BTreeMap, HashMap};

use driftspring_history::{History, Invocation};
use driftspring_types::{EngineId, Incarnation, ModelName, RequestId, TenantId, WeightsVersion};

use crate::requests::{LocatedRun, RequestHistory, requests, runs};
use crate::settings::CheckSettings;
use crate::violation::{Promise, Violation, first};

/// Prompt tokens in one cached block.
const BLOCK_TOKENS: usize = 64;

/// Checks the promise.
pub fn check(history: &History, settings: &CheckSettings) -> Result<(), Violation> {
    let requests = requests(history);
    let outdated = requests
        .values()
        .flat_map(|request| request.runs.iter().map(move |run| (request, run)))
        .filter_map(|(request, run)| outdated_dispatch(request, run));
    let unexplained = unexplained_cached_tokens(history, &requests, settings);
    first(outdated.chain(unexplained))
}

/// A run each of whose dispatches relied on cached work of another life or of other weights than
/// those in which the engine ran it.
fn outdated_dispatch(request: &RequestHistory<'_>, run: &LocatedRun<'_>) -> Option<Violation> {
    let mut dispatches = request
        .dispatches
        .iter()
        .filter(|dispatch| dispatch.value.engine == *run.engine)
        .peekable();
    let relied_on = dispatches.peek()?.value;
    let explained = dispatches.any(|dispatch| {
        let same_cache = dispatch.value.incarnation == run.run.incarnation
            && dispatch.value.weights_version == run.run.weights_version;
        dispatch.value.expected_cached_tokens == 0 || same_cache
    });
    if explained {
        return None;
    }
    Some(Violation::new(
        Promise::CacheReliance,
        run.index,
        format!(
            "request {} relied on {} cached tokens of engine {} in life {} with weights {}, and ran in life {} \
             with weights {}",
            run.run.request_id,
            relied_on.expected_cached_tokens,
            run.engine,
            relied_on.incarnation,
            relied_on.weights_version,
            run.run.incarnation,
            run.run.weights_version,
        ),
    ))
}

/// Whose cached work a run may use.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Scope {
    tenant: TenantId,
    model: ModelName,
    weights_version: WeightsVersion,
    /// The engine's life, unless cached work may have moved between engines.
    life: Option<(EngineId, Incarnation)>,
}

impl Scope {
    fn of(invocation: &Invocation, run: &LocatedRun<'_>, settings: &CheckSettings) -> Self {
        let life = (run.engine.clone(), run.run.incarnation);
        Self {
            tenant: invocation.tenant.clone(),
            model: invocation.model.clone(),
            weights_version: run.run.weights_version,
            life: (!settings.kept_cache).then_some(life),
        }
    }
}

/// Runs with more cached tokens than any earlier run in the same scope can explain.
fn unexplained_cached_tokens(
    history: &History,
    requests: &BTreeMap<RequestId, RequestHistory<'_>>,
    settings: &CheckSettings,
) -> Vec<Violation> {
    let mut by_start: Vec<_> = runs(history).collect();
    by_start.sort_by_key(|run| run.run.started_ms);
    let known: Vec<_> = by_start
        .into_iter()
        .filter_map(|run| {
            let invocation = requests.get(&run.run.request_id)?.invoked?.value;
            Some((run, invocation, Scope::of(invocation, &run, settings)))
        })
        .collect();
    // Runs that begin in the same millisecond may explain each other: the log does not order them.
    let mut seen: HashMap<&Scope, HashMap<u64, u64>> = HashMap::new();
    for (run, invocation, scope) in &known {
        let blocks = seen.entry(scope).or_default();
        for block in &invocation.prefix_blocks {
            blocks.entry(*block).or_insert(run.run.started_ms);
        }
    }
    known
        .iter()
        .filter_map(|(run, invocation, scope)| {
            let first_seen = &seen[scope];
            let explained = invocation
                .prefix_blocks
                .iter()
                .take_while(|block| first_seen_elsewhere(**block, first_seen, run, &known, scope))
                .count();
            unexplained(run, invocation, explained)
        })
        .collect()
}

/// Whether another run in `scope` that began no later than `run` has the block.
fn first_seen_elsewhere(
    block: u64,
    first_seen: &HashMap<u64, u64>,
    run: &LocatedRun<'_>,
    known: &[(LocatedRun<'_>, &Invocation, Scope)],
    scope: &Scope,
) -> bool {
    let Some(started_ms) = first_seen.get(&block) else {
        return false;
    };
    if *started_ms < run.run.started_ms {
        return true;
    }
    known.iter().any(|(other, invocation, other_scope)| {
        other.index != run.index
            && other.run.started_ms == run.run.started_ms
            && other_scope == scope
            && invocation.prefix_blocks.contains(&block)
    })
}

fn unexplained(
    run: &LocatedRun<'_>,
    invocation: &Invocation,
    explained_blocks: usize,
) -> Option<Violation> {
    if invocation.prefix_blocks.is_empty() {
        return None;
    }
    // Beyond the caller's own prompt lie tokens of a continued answer, which no event records.
    let cached_blocks = run.run.cached_tokens as usize / BLOCK_TOKENS;
    let cached_blocks = cached_blocks.min(invocation.prefix_blocks.len());
    (cached_blocks > explained_blocks).then(|| {
        Violation::new(
            Promise::CacheReliance,
            run.index,
            format!(
                "request {} of tenant {} had {} cached tokens at engine {}, but only {} tokens of its prompt had \
                 run before in its own scope",
                run.run.request_id,
                invocation.tenant,
                run.run.cached_tokens,
                run.engine,
                explained_blocks * BLOCK_TOKENS,
            ),
        )
    })
}
