//! Records what callers sent and received, for `driftspring-check`.

use std::path::Path;

use anyhow::Context;
use driftspring_history::{
    Answer, Ending, Event, Invocation, Recorder, RunLogEntry, Token, expected_tokens,
    prefix_blocks, prompt_hash,
};

use crate::caller::{Call, CallEnding, CallRecord};
use crate::embedded::EmbeddedSystem;
use crate::load::LoadObserver;

/// The name under which all callers of a run are recorded.
const CLIENT: &str = "bench";

/// Writes invocations and answers to a file.
pub(super) struct HistoryObserver {
    recorder: Recorder,
}

impl HistoryObserver {
    /// Records to `path`.
    pub(super) fn to_file(path: &Path) -> anyhow::Result<Self> {
        Ok(Self {
            recorder: Recorder::to_file(path)?,
        })
    }

    /// Adds what the engines of an embedded system ran.
    pub(super) fn add_run_logs(&self, system: &EmbeddedSystem) -> anyhow::Result<()> {
        for engine in &system.engines {
            for run in engine.state.run_log() {
                let run = serde_json::to_value(run)?;
                let run: RunLogEntry = serde_json::from_value(run).context("a run log's line")?;
                self.recorder.record(Event::EngineRun {
                    engine: engine.id.clone(),
                    run,
                });
            }
        }
        Ok(())
    }
}

impl LoadObserver for HistoryObserver {
    fn sent(&self, call: &Call) {
        let prompt = call.prompt.as_bytes();
        self.recorder.record(Event::Invoked(Invocation {
            client: CLIENT.to_owned(),
            request_id: call.request_id,
            daemon: None,
            tenant: call.tenant.clone(),
            model: call.model.clone(),
            idempotency_key: None,
            repeatable: true,
            prompt_hash: prompt_hash(prompt),
            prefix_blocks: prefix_blocks(prompt),
            expected_tokens: Some(expected_tokens(prompt, call.max_tokens as usize)),
        }));
    }

    fn token(&self, call: &Call, sequence: u64, text: &str) {
        self.recorder.record(Event::TokenReceived(Token {
            request_id: call.request_id,
            sequence: Some(sequence),
            named_request_id: None,
            text: text.to_owned(),
        }));
    }

    fn ended(&self, record: &CallRecord) {
        let (status, ending) = match &record.ending {
            CallEnding::Whole => (Some(200), Ending::Whole),
            CallEnding::Refused {
                status, not_run, ..
            } => (Some(*status), refusal_ending(*not_run)),
            CallEnding::Broken(_) => (None, broken_ending(record)),
        };
        self.recorder.record(Event::Answered(Answer {
            request_id: record.request_id,
            status,
            ending,
            text: None,
            named_request_id: None,
        }));
    }
}

fn refusal_ending(not_run: bool) -> Ending {
    if not_run {
        Ending::NotRun { reason: None }
    } else {
        Ending::Unknown
    }
}

/// A stream that ended by an explicit error has an unknown outcome; one without is silent.
fn broken_ending(record: &CallRecord) -> Ending {
    if record.had_error_event {
        Ending::Unknown
    } else {
        Ending::Silent
    }
}
