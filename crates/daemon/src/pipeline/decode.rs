//! Filter: reads and checks the caller's request.

use std::time::Instant;

use anyhow::anyhow;
use driftspring_external::engine::Endpoint;
use driftspring_settings::RequestSettings;
use driftspring_types::{NotRunReason, Peer, RequestId, Step, StepError};
use ntex::http::{HeaderMap, StatusCode};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;

use super::body::RequestBody;
use super::headers::{self, CallerHeaders};
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use crate::state::DaemonState;

/// Memory set aside for a body before any of it has come, whatever length it announces.
const MAX_RESERVED_BYTES: usize = 256 * 1024;

/// A request as its caller sent it, read and checked.
#[derive(Debug)]
pub struct DecodedRequest {
    /// Names this attempt.
    pub id: RequestId,
    /// The kind of completion.
    pub endpoint: Endpoint,
    /// What the headers ask for.
    pub headers: CallerHeaders,
    /// The checked body.
    pub body: RequestBody,
    /// When the answer is of no more use.
    pub deadline: Instant,
}

/// Reads the whole request, within the limits of its size and time.
pub async fn decode(
    daemon: &DaemonState,
    endpoint: Endpoint,
    request: &HttpRequest,
    payload: Payload,
    id: RequestId,
) -> Result<DecodedRequest, Refusal> {
    let settings = &daemon.settings.request;
    let arrived_at = Instant::now();
    // Read before anything is refused: a caller that is still sending its body when the connection
    // closes sees a broken connection instead of the answer.
    let raw = read_body(settings, request.headers(), payload).await?;
    let headers = CallerHeaders::read(request.headers())?;
    let patience = headers.deadline.unwrap_or(settings.default_deadline);
    let deadline = arrived_at + patience;
    let body = RequestBody::parse(endpoint, raw)?;
    Ok(DecodedRequest {
        id,
        endpoint,
        headers,
        body,
        deadline,
    })
}

async fn read_body(
    settings: &RequestSettings,
    map: &HeaderMap,
    payload: Payload,
) -> Result<Bytes, Refusal> {
    let announced = headers::text(map, "content-length").and_then(|text| text.parse().ok());
    let announced: usize = announced.unwrap_or(0);
    if announced > settings.max_body_bytes {
        return Err(too_large(settings.max_body_bytes));
    }
    let reading = collect_body(settings.max_body_bytes, announced, payload);
    ntex::time::timeout(settings.read_timeout, reading)
        .await
        .unwrap_or_else(|()| Err(too_slow(settings)))
}

async fn collect_body(
    max_bytes: usize,
    announced: usize,
    mut payload: Payload,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::with_capacity(announced.min(MAX_RESERVED_BYTES));
    while let Some(piece) = payload.recv().await {
        let piece = piece.map_err(|error| {
            let message = format!("the body ended early: {error}");
            Refusal::bad_request(Step::Decode, "body", message)
        })?;
        if body.len() + piece.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

fn too_large(max_bytes: usize) -> Refusal {
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::bad_request(Step::Decode, "body", message).with_status(StatusCode::PAYLOAD_TOO_LARGE)
}

fn too_slow(settings: &RequestSettings) -> Refusal {
    let cause = anyhow!("the body did not come within {:?}", settings.read_timeout);
    let error = StepError::not_run(Step::Decode, Peer::Caller, cause);
    let mut refusal = Refusal::not_run(NotRunReason::BadRequest, DEFAULT_RETRY_AFTER, error)
        .with_status(StatusCode::REQUEST_TIMEOUT);
    refusal.field = Some("body".to_owned());
    refusal
}
