//! Reading server-sent events of completions.

use serde::Deserialize;

const DATA_PREFIX: &str = "data: ";
const END_MARKER: &str = "[DONE]";
const EVENT_END: &[u8] = b"\n\n";

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamEvent {
    /// A token.
    Token { sequence: u64, text: String },
    /// The last chunk.
    Finish,
    /// The marker after it.
    EndMarker,
    /// An error, or something that is no chunk.
    Error(String),
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    sequence: u64,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

/// Puts events together from the parts of a body.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Takes in a part; returns the events that it completes.
    pub(super) fn push(&mut self, part: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(part);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_end(&self.buffer[start..]) {
            events.push(parse_event(&self.buffer[start..start + length]));
            start += length + EVENT_END.len();
        }
        self.buffer.drain(..start);
        events
    }
}

fn find_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)
}

fn parse_event(event: &[u8]) -> StreamEvent {
    let text = String::from_utf8_lossy(event);
    let Some(data) = text.strip_prefix(DATA_PREFIX) else {
        return StreamEvent::Error(text.into_owned());
    };
    if data == END_MARKER {
        return StreamEvent::EndMarker;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return StreamEvent::Error(data.to_owned());
    };
    match chunk.choices.into_iter().next() {
        Some(choice) if choice.finish_reason.is_some() => StreamEvent::Finish,
        Some(choice) => StreamEvent::Token {
            sequence: chunk.sequence,
            text: choice.text,
        },
        None => StreamEvent::Error(data.to_owned()),
    }
}
