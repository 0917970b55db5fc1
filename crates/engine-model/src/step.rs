//! One step of the engine: what it computes, planned when the step begins.

use std::time::Duration;

use crate::options::EngineOptions;
use crate::request::SequenceId;
use crate::sequence::Sequence;
use crate::time::ModelTime;

/// A part of a prompt computed within one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PrefillChunk {
    pub(crate) id: SequenceId,
    pub(crate) tokens: u32,
}

/// What one step computes.
#[derive(Debug)]
pub(crate) struct Step {
    /// Requests that produce one token each.
    pub(crate) decoding: Vec<SequenceId>,
    /// Parts of prompts; a prompt's last part also produces its first token.
    pub(crate) prefill: Vec<PrefillChunk>,
    /// When the step ends.
    pub(crate) ends_at: ModelTime,
}

impl Step {
    /// Plans the step that begins at `now`: every request that decodes, and parts of prompts up to the
    /// chunk limit, higher priorities first. Nothing where no request runs.
    pub(crate) fn plan(
        options: &EngineOptions,
        running: &[Sequence],
        now: ModelTime,
    ) -> Option<Self> {
        if running.is_empty() {
            return None;
        }
        let decoding = running
            .iter()
            .filter(|sequence| sequence.is_decoding())
            .map(Sequence::id)
            .collect::<Vec<_>>();
        let prefill = plan_prefill(options.prefill_chunk_tokens, running);
        let prefill_tokens = prefill.iter().map(|chunk| chunk.tokens).sum();
        let duration: Duration = options.step_duration(decoding.len(), prefill_tokens);
        Some(Self {
            decoding,
            prefill,
            ends_at: now + duration,
        })
    }
}

fn plan_prefill(chunk_tokens: u32, running: &[Sequence]) -> Vec<PrefillChunk> {
    let mut waiting = running
        .iter()
        .filter(|sequence| !sequence.is_decoding())
        .collect::<Vec<_>>();
    waiting.sort_by_key(|sequence| std::cmp::Reverse(sequence.request.priority));
    let mut budget = chunk_tokens.max(1);
    let mut chunks = Vec::new();
    for sequence in waiting {
        if budget == 0 {
            break;
        }
        let tokens = sequence.missing_tokens().min(budget);
        budget -= tokens;
        chunks.push(PrefillChunk {
            id: sequence.id(),
            tokens,
        });
    }
    chunks
}
