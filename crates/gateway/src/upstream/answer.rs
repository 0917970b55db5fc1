//! An answer that is being read. Dropping it before its end closes its connection at once, which tells the
//! replica that nobody waits for the rest.

use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::connection::{Connection, describe_with_causes};
use super::pool::Pool;

/// An answer broke off before its end, or its framing is invalid.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub struct AnswerError(pub String);

/// An answer of a peer.
#[derive(Debug)]
pub struct Answer {
    head: Parts,
    body: Incoming,
    connection: Option<Connection>,
    pool: Rc<Pool>,
}

impl Answer {
    /// The answer whose head was received on `connection`.
    pub fn new(response: Response<Incoming>, mut connection: Connection, pool: Rc<Pool>) -> Self {
        let (head, body) = response.into_parts();
        connection.note_keep_alive(&head.headers);
        Self {
            head,
            body,
            connection: Some(connection),
            pool,
        }
    }

    /// The status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// The headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// The headers, for removal of those that are not forwarded.
    pub fn headers_mut(&mut self) -> &mut HeaderMap {
        &mut self.head.headers
    }

    /// Takes the headers out of the answer.
    pub fn take_headers(&mut self) -> HeaderMap {
        std::mem::take(&mut self.head.headers)
    }

    /// The length of the body, if the head gives it.
    pub fn content_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// The next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// The answer broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AnswerError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Err(AnswerError(describe_with_causes(&error)));
                }
                None => {
                    self.keep_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// The answer broke off, or is longer than `limit`.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, AnswerError> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                self.connection = None;
                return Err(AnswerError(format!("body is longer than {limit} bytes")));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(Bytes::from(whole))
    }

    /// Closes the connection at once, which tells the replica that nobody waits for the rest.
    pub fn close(&mut self) {
        self.connection = None;
    }

    fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }
}
