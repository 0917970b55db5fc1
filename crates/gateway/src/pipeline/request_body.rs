//! The body of a caller's request, and what becomes of the rest of it if the request is refused.

use std::time::Duration;

use http::header::CONTENT_LENGTH;
use ntex::http::error::PayloadError;
use ntex::util::{Bytes, stream_recv};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;

use crate::callers::socket::CallerSocket;

/// Maximum number of bytes that are read of a refused request's body in order to keep its connection.
const MAX_DRAINED_BYTES: u64 = 64 * 1024;

/// How long the refusal waits for them.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(5);

/// The body of a request, as far as it has been read.
pub struct RequestBody {
    payload: Payload,
    /// The whole length, if the head gives it.
    announced: Option<u64>,
    read: u64,
    is_at_end: bool,
}

impl RequestBody {
    /// The body of a request whose head has arrived.
    pub fn new(request: &HttpRequest, payload: Payload) -> Self {
        let length = request.headers().get(CONTENT_LENGTH);
        let announced = length.and_then(|length| length.to_str().ok()?.parse().ok());
        Self {
            payload,
            announced,
            read: 0,
            is_at_end: false,
        }
    }

    /// The whole length in bytes, if the head gives it.
    pub fn announced(&self) -> Option<u64> {
        self.announced
    }

    /// The next piece, or `None` at the end.
    ///
    /// # Errors
    ///
    /// The body broke off, or is malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, PayloadError> {
        if self.is_at_end {
            return Ok(None);
        }
        match stream_recv(&mut self.payload).await {
            Some(piece) => {
                let piece = piece?;
                self.read += piece.len() as u64;
                Ok(Some(piece))
            }
            None => {
                self.is_at_end = true;
                Ok(None)
            }
        }
    }

    /// Reads the rest if it is short and has arrived. Returns whether the body has ended, so that the connection can carry
    /// another request.
    pub async fn drain(&mut self) -> bool {
        let last = self.read + MAX_DRAINED_BYTES;
        if self.announced.is_some_and(|length| length > last) {
            return false;
        }
        let drained = async {
            while self.read <= last {
                match self.next().await {
                    Ok(Some(_)) => {}
                    Ok(None) => return true,
                    Err(_) => return false,
                }
            }
            false
        };
        tokio::time::timeout(DRAIN_TIMEOUT, drained)
            .await
            .unwrap_or(false)
    }
}

/// Records that the connection of `request` ends with a part of the body unread.
pub fn note_unread(request: &HttpRequest) {
    if let Some(socket) = request.io().and_then(CallerSocket::of) {
        socket.note_unread_body();
    }
}
