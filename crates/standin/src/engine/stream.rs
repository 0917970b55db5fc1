//! An answer as server-sent events, from any position on.

use std::sync::Arc;

use driftspring_engine_model::token_text;
use ntex::util::Bytes;
use uuid::Uuid;

use super::answer::{Answer, AnswerEnd, AnswerStart, Reader};
use super::chunks::{STREAM_END, last_event, token_event};
use crate::faults::FaultSwitches;
use crate::streaming::{PartSource, StreamBroken};

/// What a foreign event answers.
const FOREIGN_PROMPT: &[u8] = b"the prompt of another request";

/// Where a stream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    Tokens,
    EndMarker,
    Over,
}

/// The source of one stream's events.
pub(crate) struct AnswerStream {
    reader: Reader,
    faults: Arc<FaultSwitches>,
    next_sequence: u64,
    tokens_sent: u32,
    cut_after_tokens: Option<u32>,
    position: Position,
}

impl AnswerStream {
    /// The events of an answer from the token `from` on.
    pub(crate) fn new(reader: Reader, faults: Arc<FaultSwitches>, from: u64) -> Self {
        Self {
            cut_after_tokens: faults.take_cut_after_tokens(),
            next_sequence: from.max(reader.answer.start.first_sequence),
            reader,
            faults,
            tokens_sent: 0,
            position: Position::Tokens,
        }
    }

    /// The next token's event, or the last chunk.
    async fn next_event(&mut self) -> Result<Vec<u8>, StreamBroken> {
        let answer = Arc::clone(&self.reader.answer);
        let wanted = self.next_sequence;
        let reached = answer
            .wait_for(|progress| {
                let produced = answer.start.first_sequence + u64::from(progress.produced);
                produced > wanted || progress.end.is_some()
            })
            .await;
        if answer.next_sequence() > wanted {
            self.next_sequence += 1;
            self.tokens_sent += 1;
            return Ok(self.token_events(&answer, wanted));
        }
        match reached.end {
            Some(AnswerEnd::Whole) => {
                self.position = Position::EndMarker;
                Ok(last_event(&answer))
            }
            _ => Err(StreamBroken),
        }
    }

    /// The event of one token, with the extra events that the switches ask for.
    fn token_events(&self, answer: &Answer, sequence: u64) -> Vec<u8> {
        let event = token_event(answer, sequence, &answer.token(sequence));
        let mut events = Vec::new();
        if self.faults.take_crossing() {
            events.extend(foreign_event(answer, sequence));
        }
        events.extend_from_slice(&event);
        if self.faults.take_duplicate() {
            events.extend_from_slice(&event);
        }
        events
    }
}

impl PartSource for AnswerStream {
    async fn next_part(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        if self.cut_after_tokens == Some(self.tokens_sent) {
            return Err(StreamBroken);
        }
        match self.position {
            Position::Tokens => Ok(Some(Bytes::from(self.next_event().await?))),
            Position::EndMarker => {
                self.position = Position::Over;
                Ok(Some(Bytes::from_static(STREAM_END)))
            }
            Position::Over => Ok(None),
        }
    }
}

/// An event of another request at the same position.
fn foreign_event(answer: &Answer, sequence: u64) -> Vec<u8> {
    let foreign = Answer::new(AnswerStart {
        request_id: Uuid::new_v4(),
        api: answer.start.api,
        model: answer.start.model.clone(),
        prompt: Arc::from(FOREIGN_PROMPT),
        first_sequence: 0,
        prompt_tokens: 0,
        created: answer.start.created,
    });
    token_event(&foreign, sequence, &token_text(FOREIGN_PROMPT, sequence))
}
