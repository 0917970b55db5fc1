//! Books what the model did: answers, run log, cache events; and forgets what is no longer wanted.

use std::time::{Duration, Instant};

use driftspring_engine_model::{EndReason, EngineOutput, ModelTime, OutputKind, SequenceId};

use super::{EngineCore, unix_ms};
use crate::engine::answer::{Answer, AnswerEnd};
use crate::engine::run_log::RunEnd;

impl EngineCore {
    /// Books one output; `event_loss_percent` of the cache events are lost.
    pub(super) fn book(&mut self, output: EngineOutput, event_loss_percent: u8) {
        match output.kind {
            OutputKind::Started { id, cached_tokens } => self.book_start(id, cached_tokens),
            OutputKind::Token { id, index } => self.book_token(id, index),
            OutputKind::Ended { id, reason } => self.book_end(id, reason),
            OutputKind::Cache(change) => {
                self.events
                    .push(change, self.incarnation, event_loss_percent);
            }
        }
    }

    fn book_start(&mut self, id: SequenceId, cached_tokens: u32) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.run.cached_tokens = cached_tokens;
        open.run.started_ms = unix_ms();
        open.run_log_index = Some(self.run_log.len());
        self.run_log.push(open.run.clone());
        open.answer
            .update(|progress| progress.cached_tokens = Some(cached_tokens));
    }

    fn book_token(&mut self, id: SequenceId, index: u32) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        if let Some(run) = open.run_log_index {
            self.run_log[run].tokens = index + 1;
        }
        open.answer.update(|progress| progress.produced = index + 1);
    }

    fn book_end(&mut self, id: SequenceId, reason: EndReason) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let (run_end, answer_end) = match reason {
            EndReason::Length => (RunEnd::Completed, AnswerEnd::Whole),
            EndReason::Cancelled | EndReason::Reset => (RunEnd::Cancelled, AnswerEnd::Broken),
        };
        if let Some(run) = open.run_log_index {
            self.run_log[run].ended = run_end;
        }
        open.answer
            .update(|progress| progress.end = Some(answer_end));
    }

    /// Cancels what nobody has read for `grace`, and forgets finished answers after `retention`.
    pub(crate) fn sweep(&mut self, now: ModelTime, grace: Duration, retention: Duration) {
        let idle_for = |answer: &Answer, limit: Duration| {
            let idle_since = answer.idle_since();
            idle_since.is_some_and(|since: Instant| since.elapsed() >= limit)
        };
        let abandoned: Vec<SequenceId> = self
            .open
            .iter()
            .filter(|(_, request)| idle_for(&request.answer, grace))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in abandoned {
            self.model.cancel(now, sequence);
        }
        self.answers
            .retain(|_, answer| answer.progress().end.is_none() || !idle_for(answer, retention));
    }
}
