//! Splits a stream of bytes into complete server-sent events.
//!
//! An event ends with an empty line. A replica may stop partway through an event, so bytes are forwarded only once
//! their event is complete.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is longer than [`MAX_EVENT_BYTES`]; so many bytes of it have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is too long: {0} bytes")]
pub struct EventTooLong(pub usize);

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a partial event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the buffered partial event.
    pub fn discard_partial_event(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes and returns all events that are complete by now; empty if there is none.
    ///
    /// # Errors
    ///
    /// An event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer, searched) else {
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong(self.buffer.len())),
                false => Ok(Bytes::new()),
            };
        };
        let events = self.buffer.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }
}

/// End of the last complete event, found in the bytes after `searched` only.
fn last_event_end(buffer: &[u8], searched: usize) -> Option<usize> {
    let tail = &buffer[searched..];
    let after_line_feeds = find_last(tail, b"\n\n").map(|at| at + 2);
    let after_returns = find_last(tail, b"\r\n\r\n").map(|at| at + 4);
    let end = after_line_feeds.max(after_returns)?;
    Some(searched + end)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// Id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines
        .into_iter()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}

/// Finds the ends of events in a stream of bytes without keeping them.
#[derive(Debug, Default)]
pub struct EventEnds {
    is_after_line: bool,
}

impl EventEnds {
    /// Whether an event ends in the next bytes.
    pub fn is_in(&mut self, bytes: &[u8]) -> bool {
        let mut has_end = false;
        for byte in bytes {
            match byte {
                b'\n' => {
                    has_end |= self.is_after_line;
                    self.is_after_line = true;
                }
                b'\r' => {}
                _ => self.is_after_line = false,
            }
        }
        has_end
    }
}
