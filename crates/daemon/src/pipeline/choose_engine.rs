//! Filter: chooses the engine.

use std::sync::Arc;

use driftspring_directory::{EngineResidency, Overlap};
use driftspring_types::{ConfigView, EngineHealth, EngineId, EngineIntent};

use super::breaker;
use super::context::RequestContext;
use super::engine_table::UNKNOWN_WEIGHTS;
use super::refusal::Refusal;
use super::tried_engines::TriedEngines;
use crate::state::{DaemonState, EngineEntry};

/// An engine chosen for a request.
#[derive(Debug, Clone)]
pub struct EngineChoice {
    /// The engine.
    pub engine: Arc<EngineEntry>,
    /// What its present life has cached; nothing before its first report, and for requests that
    /// start cold.
    pub residency: Option<Arc<EngineResidency>>,
    /// What it probably has of the prompt.
    pub overlap: Overlap,
}

/// Chooses an engine that can serve the request and was not tried in vain.
pub fn choose_engine(
    daemon: &DaemonState,
    context: &RequestContext,
    tried: &TriedEngines,
) -> Result<EngineChoice, Refusal> {
    let table = daemon.engines.load();
    let config = daemon.config.load();
    let heed_leaving = daemon.settings.mechanisms.heed_leaving;
    let able: Vec<_> = table
        .iter()
        .filter(|engine| serves(engine, context))
        .filter(|engine| !heed_leaving || takes_new_work(engine, &config))
        .collect();
    let now_ms = daemon.uptime_ms();
    let candidates = breaker::passed(&able, context, now_ms);
    if candidates.is_empty() && !able.is_empty() && tried.is_empty() {
        return Err(breaker::all_open(&able, context, now_ms));
    }
    let choose = |allows: fn(&TriedEngines, &EngineId) -> bool| {
        choose_among(daemon, context, &candidates, |engine| allows(tried, engine))
    };
    let fresh = choose(TriedEngines::allows);
    let chosen = fresh.or_else(|| choose(TriedEngines::allows_again));
    let choice = chosen.ok_or_else(|| tried.refusal(context))?;
    // Where another thread has just begun the probe of the same engine, two requests probe it.
    choice.engine.counters.breaker.try_pass(now_ms);
    Ok(choice)
}

/// Whether the engine has the model and weights of the request, as far as is known.
fn serves(engine: &EngineEntry, context: &RequestContext) -> bool {
    let record = &engine.record;
    let weights = record.weights_version;
    record.model == context.route.model
        && (weights == context.weights_version || weights == UNKNOWN_WEIGHTS)
        && record.health != EngineHealth::Unreachable
}

/// Whether the engine is neither leaving nor drained nor loading.
fn takes_new_work(engine: &EngineEntry, config: &ConfigView) -> bool {
    let drained = config
        .engines
        .get(&engine.record.id)
        .is_some_and(|directive| directive.intent == EngineIntent::Drain);
    engine.record.health == EngineHealth::Serving && !drained
}

/// Chooses by the policy of the settings among the candidates that `allowed` lets pass.
fn choose_among(
    daemon: &DaemonState,
    context: &RequestContext,
    candidates: &[&Arc<EngineEntry>],
    allowed: impl Fn(&EngineId) -> bool,
) -> Option<EngineChoice> {
    let engines: Vec<&Arc<EngineEntry>> = candidates
        .iter()
        .copied()
        .filter(|engine| allowed(&engine.record.id))
        .collect();
    let model = &context.route.model;
    let fingerprint = &context.fingerprint;
    let uses_cache = context.route.use_cache;
    let now = daemon.uptime();
    let routing = &daemon.routing;
    let decision = routing.choose(model, fingerprint, uses_cache, &engines, now)?;
    let engine = Arc::clone(engines[decision.index]);
    let residency = uses_cache
        .then(|| routing.residency_of(&engine.record))
        .flatten();
    Some(EngineChoice {
        engine,
        residency,
        overlap: decision.overlap,
    })
}
