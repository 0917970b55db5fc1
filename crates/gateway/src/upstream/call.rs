//! Short calls to the store and to replicas, apart from callers' requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;

use super::answer::Answer;
use super::connection::Connection;
use super::connector::ConnectError;
use super::pool::Pool;
use crate::protocol::Call;

/// Largest accepted answer to a call, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why the answer to a call is not read to its end.
pub(super) const NO_ROOM: &str = "the answers to other calls take all the room";

/// Why a call is not sent although its connection was established.
const NO_LONGER_ALLOWED: &str = "the call is no longer allowed";

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call may have been executed.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// No complete answer was received in time. The call may have been executed.
    #[error("no answer in {0:?}")]
    TimedOut(Duration),
}

/// The complete answer to a call.
#[derive(Debug)]
pub struct CallAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What a peer does about a call on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// It answers.
    Answer,
    /// It refuses or ends the connection.
    End,
    /// It does neither in the given time.
    Silence,
}

/// Makes a call on a new connection to see whether the peer answers at all; any answer counts.
pub async fn reaction(peer: SocketAddr, call: &Call, timeout: Duration) -> Reaction {
    let reacting = async {
        let Ok(request) = build_call(peer, call) else {
            return Reaction::End;
        };
        let connection = match Connection::open(peer).await {
            Ok(connection) => connection,
            Err(ConnectError::TimedOut { .. }) => return Reaction::Silence,
            Err(ConnectError::Failed { .. }) => return Reaction::End,
        };
        match exchange_on(connection, request, &Pool::new(peer)).await {
            Ok(_) => Reaction::Answer,
            Err(_) => Reaction::End,
        }
    };
    let reaction = tokio::time::timeout(timeout, reacting).await;
    reaction.unwrap_or(Reaction::Silence)
}

/// Makes a call and waits for its complete answer.
///
/// # Errors
///
/// The error says whether the call may have been executed.
pub async fn call(
    pool: &Rc<Pool>,
    call: &Call,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let answer = call_with_headers(pool, call, timeout).await?;
    Ok((answer.status, answer.body))
}

/// Like [`call`], but asks `may_be_sent` once the connection is established, which may take a while, and sends
/// nothing if it says no.
///
/// # Errors
///
/// See [`call`].
pub async fn call_if(
    pool: &Rc<Pool>,
    call: &Call,
    timeout: Duration,
    may_be_sent: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), CallError> {
    let exchange = exchange(pool, call, may_be_sent);
    let answer = tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| CallError::TimedOut(timeout))??;
    Ok((answer.status, answer.body))
}

/// Like [`call`], but returns the headers of the answer as well.
///
/// # Errors
///
/// See [`call`].
pub async fn call_with_headers(
    pool: &Rc<Pool>,
    call: &Call,
    timeout: Duration,
) -> Result<CallAnswer, CallError> {
    tokio::time::timeout(timeout, exchange(pool, call, || true))
        .await
        .map_err(|_| CallError::TimedOut(timeout))?
}

async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    may_be_sent: impl Fn() -> bool,
) -> Result<CallAnswer, CallError> {
    let request =
        build_call(pool.peer(), call).map_err(|error| CallError::NotSent(error.to_string()))?;
    let connection = pool.take().await;
    let connection = connection.map_err(|error| CallError::NotSent(error.to_string()))?;
    if !may_be_sent() {
        return Err(CallError::NotSent(NO_LONGER_ALLOWED.to_owned()));
    }
    exchange_on(connection, request, pool).await
}

async fn exchange_on(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    pool: &Rc<Pool>,
) -> Result<CallAnswer, CallError> {
    let response = connection.send(request).await;
    let response = response.map_err(|failure| CallError::NoAnswer(failure.to_string()))?;
    let mut answer = Answer::new(response, connection, Rc::clone(pool));
    let body = answer.collect(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| CallError::NoAnswer(error.to_string()))?;
    Ok(CallAnswer {
        status: answer.status(),
        headers: answer.take_headers(),
        body,
    })
}

/// The HTTP request of a call to `peer`.
pub(super) fn build_call(
    peer: SocketAddr,
    call: &Call,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .header(HOST, peer.to_string());
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    if let Some(content_type) = call.content_type {
        request = request.header(CONTENT_TYPE, HeaderValue::from_static(content_type));
    }
    request.body(Full::new(call.body.clone()))
}
