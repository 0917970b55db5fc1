//! An engine's cache events, read line by line.

use ntex::client::ClientResponse;
use ntex::util::{BytesMut, stream_recv};

use super::error::EngineError;
use super::messages::CacheEvent;

/// The longest line that is read, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// The open answer of `GET /events`.
pub struct CacheEventStream {
    response: ClientResponse,
    buffer: BytesMut,
}

impl CacheEventStream {
    pub(super) fn new(response: ClientResponse) -> Self {
        Self {
            response,
            buffer: BytesMut::new(),
        }
    }

    /// The next event; nothing at the end of the stream. Losing this future loses no bytes.
    pub async fn next(&mut self) -> Result<Option<CacheEvent>, EngineError> {
        loop {
            if let Some(line) = self.take_line() {
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let event = serde_json::from_slice(&line)
                    .map_err(|error| EngineError::Malformed(error.to_string()))?;
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(EngineError::Malformed("a line is too long".to_owned()));
            }
            match stream_recv(&mut self.response).await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(error)) => return Err(EngineError::Broken(error.to_string())),
                None => return Ok(None),
            }
        }
    }

    fn take_line(&mut self) -> Option<ntex::util::Bytes> {
        let newline = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.split_to(newline + 1))
    }
}
