//! Filter: chooses the engine.

use std::sync::Arc;

use anyhow::anyhow;
use driftspring_directory::{EngineResidency, Overlap};
use driftspring_external::engine::{EngineError, RefusalKind};
use driftspring_types::{
    ConfigView, EngineHealth, EngineId, EngineIntent, NotRunReason, Peer, RetrySafety, Step,
    StepError,
};

use super::breaker;
use super::context::RequestContext;
use super::engine_table::UNKNOWN_WEIGHTS;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal, refusal_of};
use crate::state::{DaemonState, EngineCandidate, EngineEntry};

/// Attempts at one engine whose refusals only corrected what was known of it.
const MAX_CORRECTIONS: u32 = 3;
/// Attempts at one engine that did not answer, where there is no other.
const MAX_ATTEMPTS_AT_ONE: u32 = 2;

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

/// The engines that a request was sent to in vain.
#[derive(Debug, Default)]
pub struct TriedEngines {
    attempts: Vec<FailedAttempts>,
    may_have_run: bool,
    last_error: Option<(EngineId, EngineError)>,
}

/// The failures of one request at one engine.
#[derive(Debug)]
struct FailedAttempts {
    engine: EngineId,
    count: u32,
    /// Whether the last refusal corrected what was known, so that the next attempt may succeed.
    corrected: bool,
    /// Whether the engine refused on its own account.
    refused: bool,
}

impl TriedEngines {
    /// Notes a failed attempt.
    pub fn note(&mut self, engine: &EngineId, error: EngineError) {
        self.may_have_run |= error.safety() == RetrySafety::MayHaveRun;
        let (corrected, refused) = match &error {
            EngineError::Refused(refusal) => (corrects(refusal.kind), true),
            _ => (false, false),
        };
        match self
            .attempts
            .iter_mut()
            .find(|tried| tried.engine == *engine)
        {
            Some(tried) => {
                tried.count += 1;
                tried.corrected = corrected;
                tried.refused = refused;
            }
            None => self.attempts.push(FailedAttempts {
                engine: engine.clone(),
                count: 1,
                corrected,
                refused,
            }),
        }
        self.last_error = Some((engine.clone(), error));
    }

    /// Whether no attempt has failed yet.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether an engine may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether `engine` was not tried, or its last refusal only corrected what was known.
    fn allows(&self, engine: &EngineId) -> bool {
        self.of(engine)
            .is_none_or(|tried| tried.corrected && tried.count < MAX_CORRECTIONS)
    }

    /// Whether `engine` is worth another attempt where there is no other engine.
    fn allows_again(&self, engine: &EngineId) -> bool {
        self.of(engine)
            .is_some_and(|tried| !tried.refused && tried.count < MAX_ATTEMPTS_AT_ONE)
    }

    fn of(&self, engine: &EngineId) -> Option<&FailedAttempts> {
        self.attempts.iter().find(|tried| tried.engine == *engine)
    }

    /// The final answer once no engine is left to try.
    pub fn refusal(&self, context: &RequestContext) -> Refusal {
        let Some((engine, error)) = &self.last_error else {
            return no_engine(context);
        };
        let retry_after = match error {
            EngineError::Refused(refusal) => refusal.retry_after,
            _ => None,
        };
        let safety = if self.may_have_run {
            RetrySafety::MayHaveRun
        } else {
            RetrySafety::NotRun
        };
        let error = StepError {
            step: Step::Dispatch,
            peer: Peer::Engine(engine.clone()),
            safety,
            cause: anyhow!(error.clone()),
        };
        let retry_after = retry_after
            .filter(|time| !time.is_zero())
            .unwrap_or(DEFAULT_RETRY_AFTER);
        refusal_of(error, NotRunReason::EnginesRefused, retry_after)
    }
}

fn corrects(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::IncarnationMismatch | RefusalKind::WeightsMismatch
    )
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
    let mut engines: Vec<EngineCandidate> = candidates
        .iter()
        .filter(|engine| allowed(&engine.record.id))
        .map(|engine| candidate(daemon, context, engine))
        .collect();
    let model = &context.route.model;
    let fingerprint = &context.fingerprint;
    let now = daemon.uptime();
    let decision = daemon.routing.choose(model, fingerprint, &engines, now)?;
    let chosen = engines.swap_remove(decision.index);
    Some(EngineChoice {
        engine: chosen.engine,
        residency: chosen.residency,
        overlap: decision.overlap,
    })
}

fn candidate(
    daemon: &DaemonState,
    context: &RequestContext,
    engine: &Arc<EngineEntry>,
) -> EngineCandidate {
    let uses_cache = context.route.use_cache;
    let residency = uses_cache
        .then(|| daemon.routing.residency_of(&engine.record))
        .flatten();
    EngineCandidate {
        engine: Arc::clone(engine),
        residency,
    }
}

fn no_engine(context: &RequestContext) -> Refusal {
    let cause = anyhow!(
        "no engine serves model `{}` with weights version {}",
        context.route.model,
        context.weights_version
    );
    Refusal::no_engine(StepError::not_run(Step::ChooseEngine, Peer::Local, cause))
}
