//! The answer to one request: each token once and in order, over all engines that gave parts of it.
//!
//! How it goes on after a failure is in [`super::recovery`].

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::anyhow;
use driftspring_external::engine::{
    AnswerChunk, AnswerHead, AnswerItem, EngineClient, EngineError, Finish,
};
use driftspring_settings::MechanismSettings;
use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_types::{EngineId, Outcome, Peer, Step, StepError};

use super::attempt::Attempt;
use super::context::RequestContext;
use super::deadline_body::DeadlineWatch;
use super::delivered::DeliveredTokens;
use super::dispatch::{deadline_passed, dispatch};
use super::refusal::Refusal;
use super::sequence::{SequenceGate, SequenceStep};
use super::tried_engines::TriedEngines;
use super::usage::AnswerUsage;
use super::worker::WorkerState;
use crate::state::RecentAnswer;

/// An answer on its way to its caller.
pub struct Answer {
    pub(super) worker: Rc<WorkerState>,
    pub(super) context: Rc<RequestContext>,
    pub(super) client: EngineClient,
    pub(super) attempt: Option<Attempt>,
    pub(super) tried: TriedEngines,
    pub(super) gate: SequenceGate,
    pub(super) delivered: DeliveredTokens,
    /// The first chunk, awaited before the response begins.
    first: Option<AnswerChunk>,
    /// How far the answer was when it was last resumed; a second time without progress is of no use.
    pub(super) resumed_at: Option<u64>,
    source: AnswerSource,
    /// Whether more than one engine gave tokens.
    pub(super) is_continued: bool,
}

/// Who began the answer.
#[derive(Debug, Clone)]
pub struct AnswerSource {
    /// The engine.
    pub engine: EngineId,
    /// What it said about itself.
    pub head: AnswerHead,
}

impl Answer {
    /// Opens the request at an engine and awaits its first token, so that failures before it can
    /// still be told by an HTTP status.
    pub async fn open(
        worker: Rc<WorkerState>,
        context: Rc<RequestContext>,
    ) -> Result<Self, Refusal> {
        let client = worker.engines().await?.clone();
        let mut tried = TriedEngines::default();
        let delivered = DeliveredTokens::default();
        let attempt = dispatch(&worker.daemon, &client, &context, &mut tried, &delivered).await?;
        let match_answers = worker.daemon.settings.mechanisms.match_answers;
        let mut answer = Self {
            source: AnswerSource::of(&attempt),
            gate: SequenceGate::new(context.id, match_answers),
            worker,
            context,
            client,
            attempt: Some(attempt),
            tried,
            delivered,
            first: None,
            resumed_at: None,
            is_continued: false,
        };
        let first = answer.receive().await?;
        if let Some(attempt) = &answer.attempt {
            answer.source = AnswerSource::of(attempt);
        }
        answer.first = Some(first);
        Ok(answer)
    }

    /// The request.
    pub fn context(&self) -> &RequestContext {
        &self.context
    }

    /// What ends overdue responses of this thread.
    pub fn deadlines(&self) -> &Rc<DeadlineWatch> {
        &self.worker.deadlines
    }

    /// Who began the answer.
    pub fn source(&self) -> &AnswerSource {
        &self.source
    }

    /// The tokens given out.
    pub fn delivered(&self) -> &DeliveredTokens {
        &self.delivered
    }

    /// The mechanisms that are on; all of them but in experiments.
    pub fn mechanisms(&self) -> &MechanismSettings {
        &self.worker.daemon.settings.mechanisms
    }

    /// The token counts of the answer that ended in `finish`.
    pub fn usage(&self, finish: &Finish) -> AnswerUsage {
        let reported = finish.usage.map_or(0, |usage| usage.cached_tokens);
        let cached_tokens = self.source.head.cached_tokens.unwrap_or(reported);
        let prompt_tokens = self.context.fingerprint.prompt_tokens;
        AnswerUsage::new(prompt_tokens, self.delivered.len() as u32, cached_tokens)
    }

    /// The next chunk; the one with a finish is the last.
    pub async fn next(&mut self) -> Result<AnswerChunk, Refusal> {
        match self.first.take() {
            Some(chunk) => Ok(chunk),
            None => self.receive().await,
        }
    }

    /// The next chunk, where it has come already and is in order.
    pub fn next_ready(&mut self) -> Option<AnswerChunk> {
        loop {
            let item = self.attempt.as_mut()?.next_buffered();
            // What is not a plain next chunk is met again by `receive`, as an error or a wait.
            let Ok(Some(AnswerItem::Chunk(chunk))) = item else {
                return None;
            };
            match self.accept(chunk) {
                Ok(Some(chunk)) => return Some(chunk),
                Ok(None) => {}
                Err(_) => return None,
            }
        }
    }

    /// Counts the tokens and ends the work at the engine.
    pub fn end(&mut self, outcome: &Outcome) {
        let tokens = self.delivered.len() as u64;
        let metrics = &self.worker.daemon.metrics;
        metrics.tokens_relayed.inc_by(tokens);
        if let Some(cached_tokens) = self.source.head.cached_tokens {
            let prompt_tokens = self.context.fingerprint.prompt_tokens;
            metrics.count_prompt(u64::from(prompt_tokens), u64::from(cached_tokens));
            if let Some(engine) = self.worker.daemon.engines.load().get(&self.source.engine) {
                engine.counters.answered(prompt_tokens, cached_tokens);
            }
        }
        self.keep_for_operators(outcome);
        let attempt = self.attempt.take();
        if let (Some(attempt), Outcome::Completed) = (attempt, outcome) {
            attempt.complete();
        }
    }

    fn keep_for_operators(&self, outcome: &Outcome) {
        let head = &self.source.head;
        self.worker.daemon.recent_answers.record(RecentAnswer {
            request: self.context.id,
            route: Arc::clone(&self.context.route),
            weights_version: self.context.weights_version,
            engine: self.source.engine.clone(),
            incarnation: head.incarnation,
            last_engine: self.attempt.as_ref().map(Attempt::engine_id).cloned(),
            prompt_tokens: self.context.fingerprint.prompt_tokens,
            cached_tokens: head.cached_tokens,
            tokens: self.delivered.len() as u64,
            outcome: outcome.clone(),
            ended_at: Instant::now(),
        });
    }

    async fn receive(&mut self) -> Result<AnswerChunk, Refusal> {
        loop {
            let patience = self.patience()?;
            let Some(attempt) = &mut self.attempt else {
                return Err(self.unknown(&answer_is_over()));
            };
            let checked = match attempt.next(patience).await {
                Ok(AnswerItem::Chunk(chunk)) => self.accept(chunk),
                Ok(AnswerItem::Done) => {
                    Err(EngineError::Malformed("ended without a finish".to_owned()))
                }
                Err(error) => Err(error),
            };
            match checked {
                Ok(Some(chunk)) => return Ok(chunk),
                Ok(None) => {}
                Err(error) => self.recover(error).await?,
            }
        }
    }

    /// Takes a chunk that is the next one; nothing for one that is dropped.
    fn accept(&mut self, chunk: AnswerChunk) -> Result<Option<AnswerChunk>, EngineError> {
        let step = if self.mechanisms().resume_streams {
            self.gate.step(&chunk)
        } else {
            SequenceStep::Next
        };
        match step {
            SequenceStep::Next => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.answering();
                }
                Ok(Some(self.deliver(chunk)))
            }
            SequenceStep::Repeated | SequenceStep::Foreign => {
                self.worker.daemon.metrics.dropped_events.inc();
                log_event!(
                    pipeline::EVENT_DROPPED,
                    "request={} sequence={} step={step:?}",
                    self.context.id,
                    chunk.sequence
                );
                Ok(None)
            }
            SequenceStep::Gap => Err(EngineError::Malformed(format!(
                "token {} came where {} was next",
                chunk.sequence,
                self.gate.next()
            ))),
        }
    }

    /// Notes what is given out; the counts of an answer by several engines are put right.
    fn deliver(&mut self, mut chunk: AnswerChunk) -> AnswerChunk {
        match &chunk.finish {
            None => self.delivered.push(&chunk.text),
            Some(finish) if self.is_continued => {
                chunk.raw = self.usage(finish).written_into(&chunk.raw);
            }
            Some(_) => {}
        }
        chunk
    }

    /// How long the next item may take.
    fn patience(&self) -> Result<Duration, Refusal> {
        let time_left = self.context.time_left();
        if time_left.is_zero() {
            return Err(deadline_passed(true));
        }
        let settings = &self.worker.daemon.settings.request;
        let patience = match &self.attempt {
            Some(attempt) if !attempt.has_answered() => {
                let due = attempt.opened_at() + settings.first_token_timeout;
                due.saturating_duration_since(Instant::now())
            }
            _ => settings.token_timeout,
        };
        Ok(patience.min(time_left))
    }

    pub(super) fn unknown(&self, error: &EngineError) -> Refusal {
        let peer = match &self.attempt {
            Some(attempt) => Peer::Engine(attempt.engine_id().clone()),
            None => Peer::Local,
        };
        let cause = anyhow!(error.clone());
        Refusal::unknown(StepError::may_have_run(Step::Relay, peer, cause))
    }
}

pub(super) fn answer_is_over() -> EngineError {
    EngineError::Broken("the answer is over".to_owned())
}

impl AnswerSource {
    fn of(attempt: &Attempt) -> Self {
        Self {
            engine: attempt.engine_id().clone(),
            head: *attempt.head(),
        }
    }
}
