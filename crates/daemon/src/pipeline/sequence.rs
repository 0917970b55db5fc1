//! Puts the events of one answer in order: each token once, none left out, none of another request.

use driftspring_external::engine::AnswerChunk;
use driftspring_types::RequestId;

/// What is to be done with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceStep {
    /// It is the next one.
    Next,
    /// It was delivered before.
    Repeated,
    /// It belongs to another request.
    Foreign,
    /// Events before it are missing.
    Gap,
}

/// Knows which event comes next.
#[derive(Debug)]
pub struct SequenceGate {
    request_id: RequestId,
    next: u64,
    /// Whether the request that an event names is looked at; off in experiments only.
    match_request: bool,
}

impl SequenceGate {
    /// The gate of an answer of which nothing was delivered.
    pub fn new(request_id: RequestId, match_request: bool) -> Self {
        Self {
            request_id,
            next: 0,
            match_request,
        }
    }

    /// The sequence number that comes next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Decides on `chunk`, and moves on where it is the next one.
    pub fn step(&mut self, chunk: &AnswerChunk) -> SequenceStep {
        if self.match_request && chunk.request_id != Some(self.request_id) {
            return SequenceStep::Foreign;
        }
        if chunk.sequence < self.next {
            return SequenceStep::Repeated;
        }
        if chunk.sequence > self.next {
            return SequenceStep::Gap;
        }
        self.next += 1;
        SequenceStep::Next
    }
}
