//! An incremental parser of server-sent events.
//!
//! Bytes come in any pieces; an event goes out once its blank line has come. Each event keeps its
//! raw bytes, so that a relay can pass it on as it came.

use ntex::util::{Bytes, BytesMut};

/// The largest event that is read, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a server-sent event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct SseTooLong;

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    /// Bytes at the start of `buffer` that are known to hold no end of an event.
    scanned: usize,
}

impl SseParser {
    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event with its closing blank line, where there is one.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, SseTooLong> {
        if let Some(end) = end_of_event(&self.buffer, self.scanned) {
            self.scanned = 0;
            return Ok(Some(self.buffer.split_to(end)));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(SseTooLong);
        }
        // The last bytes may be the start of a blank line.
        self.scanned = self.buffer.len().saturating_sub(3);
        Ok(None)
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Where the first event of `buffer` ends, its blank line included; the search starts at `from`.
fn end_of_event(buffer: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
    while let Some(offset) = buffer[position..].iter().position(|byte| *byte == b'\n') {
        let newline = position + offset;
        match &buffer[newline + 1..] {
            [b'\n', ..] => return Some(newline + 2),
            [b'\r', b'\n', ..] => return Some(newline + 3),
            _ => position = newline + 1,
        }
    }
    None
}

/// The `data` of an event; nothing for an event without any, such as a comment.
pub(super) fn event_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
