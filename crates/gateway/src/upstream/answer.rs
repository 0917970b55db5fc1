//! An answer that is being read. Dropping it before its end closes its connection at once, which tells the
//! replica that nobody waits for the rest.

use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::call::NO_ROOM;
use super::call_bytes::CallBytes;
use super::connection::{Connection, describe_with_causes};
use super::endless::EndlessError;
use super::framing::Element;
use super::pool::Pool;
use super::whole_body::WholeBody;

/// Why an answer is not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// It broke off before its end, or its framing is invalid.
    #[error("the answer broke off: {0}")]
    BrokeOff(String),
    /// It is none, since an element has no end.
    #[error("no answer: {0}")]
    Endless(#[from] EndlessError),
    /// Its head announces more than is accepted: so many bytes.
    #[error("its body of {0} bytes is too long")]
    TooLong(u64),
}

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
                    let connection = self.connection.take();
                    let endless = connection.and_then(|connection| connection.meter().endless());
                    return Err(match endless {
                        Some(endless) => AnswerError::Endless(endless),
                        None => AnswerError::BrokeOff(describe_with_causes(&error)),
                    });
                }
                None => {
                    self.keep_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body of the answer to a call, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// The answer broke off, is longer than `limit`, or there is no room for it.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, AnswerError> {
        let mut whole = WholeBody::new(limit);
        let mut held = CallBytes::default();
        while let Some(piece) = self.next().await? {
            if !held.add(piece.len()) {
                self.connection = None;
                return Err(AnswerError::BrokeOff(NO_ROOM.to_owned()));
            }
            let pushed = whole.push(piece);
            pushed.map_err(|length| self.end_too_long(length))?;
        }
        Ok(whole.into_bytes())
    }

    /// A part that is whole by itself has been read, as an event of a stream.
    pub fn note_progress(&self) {
        if let Some(connection) = &self.connection {
            connection.meter().note_progress();
        }
    }

    /// Closes the connection, since this element of the body has had so many bytes and no end.
    pub fn end_endless(&mut self, element: Element, bytes: u64) -> AnswerError {
        let connection = self.connection.take();
        let error = connection.map(|connection| connection.meter().end_body(element, bytes));
        match error {
            Some(error) => AnswerError::Endless(error),
            None => AnswerError::BrokeOff(format!("its {element} has no end")),
        }
    }

    /// Closes the connection, since the body is longer than is accepted: it has `bytes` bytes, or more. It is one without end
    /// unless its length was announced.
    pub fn end_too_long(&mut self, bytes: u64) -> AnswerError {
        if self.content_length().is_none() {
            return self.end_endless(Element::Body, bytes);
        }
        self.close();
        AnswerError::TooLong(bytes)
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
