//! The engines that a request was sent to in vain, and what follows from their failures.

use anyhow::anyhow;
use driftspring_external::engine::{EngineError, RefusalKind};
use driftspring_types::{EngineId, NotRunReason, Peer, RetrySafety, Step, StepError};

use super::context::RequestContext;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal, refusal_of};

/// Attempts at one engine whose refusals only corrected what was known of it.
const MAX_CORRECTIONS: u32 = 3;
/// Attempts at one engine that did not answer, where there is no other.
const MAX_ATTEMPTS_AT_ONE: u32 = 2;

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
    pub fn allows(&self, engine: &EngineId) -> bool {
        self.of(engine)
            .is_none_or(|tried| tried.corrected && tried.count < MAX_CORRECTIONS)
    }

    /// Whether `engine` is worth another attempt where there is no other engine.
    pub fn allows_again(&self, engine: &EngineId) -> bool {
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

fn no_engine(context: &RequestContext) -> Refusal {
    let cause = anyhow!(
        "no engine serves model `{}` with weights version {}",
        context.route.model,
        context.weights_version
    );
    Refusal::no_engine(StepError::not_run(Step::ChooseEngine, Peer::Local, cause))
}
