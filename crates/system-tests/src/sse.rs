//! The caller's own reader of event streams, on purpose not shared with the router's.

use driftspring_types::{NotRunReason, RequestId};
use serde::Deserialize;

/// The data of the event that marks an answer as whole.
const TERMINAL_MARKER: &str = "[DONE]";

/// Splits a stream of bytes into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Takes in the next bytes and returns the data of every event that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event);
            events.extend(text.lines().filter_map(|line| {
                let data = line.strip_prefix("data:")?;
                Some(data.trim().to_owned())
            }));
        }
        events
    }
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// A token.
    Token {
        sequence: Option<u64>,
        request_id: Option<RequestId>,
        text: String,
    },
    /// The last chunk, which has no token.
    Finish,
    /// The terminal marker.
    Marker,
    /// An explicit error.
    Error(ErrorDetail),
    /// Nothing that can be read.
    Unreadable,
}

/// What an error says about the request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct ErrorDetail {
    /// Whether it is certain that no engine ran any part of the request.
    #[serde(default)]
    pub(crate) not_run: bool,
    /// Why it was not run.
    #[serde(default)]
    pub(crate) code: Option<NotRunReason>,
}

#[derive(Debug, Deserialize)]
struct WireEvent {
    #[serde(default)]
    error: Option<ErrorDetail>,
    #[serde(default)]
    choices: Vec<WireChoice>,
    #[serde(default)]
    sequence: Option<u64>,
    #[serde(default)]
    request_id: Option<RequestId>,
}

#[derive(Debug, Deserialize)]
struct WireChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Reads the data of one event.
pub(crate) fn parse_event(data: &str) -> StreamEvent {
    if data == TERMINAL_MARKER {
        return StreamEvent::Marker;
    }
    let Ok(event) = serde_json::from_str::<WireEvent>(data) else {
        return StreamEvent::Unreadable;
    };
    if let Some(error) = event.error {
        return StreamEvent::Error(error);
    }
    let Some(choice) = event.choices.into_iter().next() else {
        return StreamEvent::Unreadable;
    };
    if choice.finish_reason.is_some() {
        return StreamEvent::Finish;
    }
    StreamEvent::Token {
        sequence: event.sequence,
        request_id: event.request_id,
        text: choice.text.unwrap_or_default(),
    }
}

/// The body of an answer that is not streamed.
#[derive(Debug, Deserialize)]
pub(crate) struct WholeAnswer {
    #[serde(default)]
    pub(crate) request_id: Option<RequestId>,
    #[serde(default)]
    choices: Vec<WireChoice>,
}

impl WholeAnswer {
    /// The answer's text.
    pub(crate) fn text(&self) -> Option<&str> {
        self.choices.first()?.text.as_deref()
    }
}

/// The body of an error answer.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorAnswer {
    pub(crate) error: ErrorDetail,
}
