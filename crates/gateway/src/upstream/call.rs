//! Short calls to the store and to replicas, beside callers' requests.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;

use super::answer::Answer;
use super::pool::Pool;
use crate::protocol::Call;

/// The longest answer to a call, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a call is not sent though its connection has come up.
const NO_LONGER_ALLOWED: &str = "it may not be sent any more";

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// It was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// It may have been carried out.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// No whole answer came in time; the call may have been carried out.
    #[error("no answer in {0:?}")]
    TimedOut(Duration),
}

/// The whole answer to a call.
#[derive(Debug)]
pub struct CallAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Makes a call and waits for its whole answer.
///
/// # Errors
///
/// Says whether the call may have been carried out.
pub async fn call(
    pool: &Rc<Pool>,
    call: &Call,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let answer = call_with_headers(pool, call, timeout).await?;
    Ok((answer.status, answer.body))
}

/// The same, unless `may_be_sent` says otherwise once the connection is there: one may take a while to come up.
///
/// # Errors
///
/// As of [`call`].
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

/// The same as [`call`], with the headers of the answer.
///
/// # Errors
///
/// As of [`call`].
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
    let request = build(pool, call).map_err(|error| CallError::NotSent(error.to_string()))?;
    let connection = pool.take().await;
    let mut connection = connection.map_err(|error| CallError::NotSent(error.to_string()))?;
    if !may_be_sent() {
        return Err(CallError::NotSent(NO_LONGER_ALLOWED.to_owned()));
    }
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

fn build(pool: &Pool, call: &Call) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .header(HOST, pool.peer().to_string());
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    if let Some(content_type) = call.content_type {
        request = request.header(CONTENT_TYPE, HeaderValue::from_static(content_type));
    }
    request.body(Full::new(call.body.clone()))
}
