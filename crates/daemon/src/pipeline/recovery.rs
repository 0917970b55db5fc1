//! How an answer goes on after its stream broke, stalled or had a gap.
//!
//! First the stream is taken up again at its engine, which runs nothing twice. Else another engine goes
//! on after the tokens delivered, where the request may be repeated.

use driftspring_external::engine::EngineError;
use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_telemetry::metrics::ExtraAttempt;
use driftspring_types::EngineId;

use super::answer::{Answer, answer_is_over};
use super::attempt::{Attempt, RESUME_PAUSE, ResumePatience};
use super::dispatch::dispatch;
use super::feedback;
use super::refusal::Refusal;

impl Answer {
    /// Makes the answer go on after a failure, or gives it up.
    pub(super) async fn recover(&mut self, error: EngineError) -> Result<(), Refusal> {
        let engine = self.attempt.as_ref().map(Attempt::engine_id).cloned();
        let Some(engine) = engine else {
            return Err(self.unknown(&error));
        };
        log_event!(
            pipeline::STREAM_BROKEN,
            "request={} engine={engine} delivered={} cause=\"{error}\"",
            self.context.id,
            self.delivered.len()
        );
        if !self.mechanisms().resume_streams {
            return Err(self.unknown(&error));
        }
        if self.resume(&error).await {
            return Ok(());
        }
        if !self.context.repeatable {
            return Err(self.unknown(&error));
        }
        self.continue_elsewhere(&engine, error).await
    }

    /// Takes the stream up again at its engine; false where it can't be.
    async fn resume(&mut self, error: &EngineError) -> bool {
        let no_progress = self.resumed_at == Some(self.gate.next());
        let resumed = if self.context.repeatable {
            !no_progress && self.resume_once(error).await
        } else {
            if no_progress {
                ntex::time::sleep(RESUME_PAUSE).await;
            }
            self.try_resume_patiently().await.is_ok()
        };
        if resumed {
            self.resumed_at = Some(self.gate.next());
            self.count(ExtraAttempt::Resume);
            log_event!(
                pipeline::STREAM_RESUMED,
                "request={} from={}",
                self.context.id,
                self.gate.next()
            );
        }
        resumed
    }

    /// One attempt, unless the engine has just shown that it does not answer.
    async fn resume_once(&mut self, error: &EngineError) -> bool {
        let has_stalled = matches!(error, EngineError::TimedOut(_));
        !has_stalled && self.try_resume().await.is_ok()
    }

    async fn try_resume(&mut self) -> Result<(), EngineError> {
        let patience = ResumePatience::new(&self.worker.daemon, &self.context);
        let from = self.gate.next();
        match &mut self.attempt {
            Some(attempt) => attempt.resume(from, patience.one_call).await,
            None => Err(answer_is_over()),
        }
    }

    /// Attempts over a while, for an answer that no other engine may continue.
    async fn try_resume_patiently(&mut self) -> Result<(), EngineError> {
        let patience = ResumePatience::new(&self.worker.daemon, &self.context);
        let from = self.gate.next();
        match &mut self.attempt {
            Some(attempt) => attempt.resume_patiently(from, patience).await,
            None => Err(answer_is_over()),
        }
    }

    /// Lets another engine go on after the tokens delivered.
    async fn continue_elsewhere(
        &mut self,
        engine: &EngineId,
        error: EngineError,
    ) -> Result<(), Refusal> {
        // Dropping the attempt cancels what the engine may still be doing.
        if let Some(attempt) = self.attempt.take() {
            feedback::failed_to_answer(&self.worker.daemon, attempt.engine(), &error);
        }
        self.tried.note(engine, error);
        let attempt = dispatch(
            &self.worker.daemon,
            &self.client,
            &self.context,
            &mut self.tried,
            &self.delivered,
        )
        .await?;
        if !self.delivered.is_empty() {
            self.is_continued = true;
            self.count(ExtraAttempt::Continuation);
            log_event!(
                pipeline::ANSWER_CONTINUED,
                "request={} engine={} delivered={}",
                self.context.id,
                attempt.engine_id(),
                self.delivered.len()
            );
        }
        self.attempt = Some(attempt);
        Ok(())
    }

    fn count(&self, kind: ExtraAttempt) {
        self.worker.daemon.metrics.extra_attempts.increment(kind);
    }
}
