//! Filter: reads the whole body, since it may have to be sent more than once.

use bytes::{Bytes, BytesMut};
use driftspring_clock::Instant;
use ntex::http::error::PayloadError;

use super::refusal::{Reason, Refusal, Step};
use super::request_body::RequestBody;
use crate::configuration::CallerLimits;
use crate::held_bytes::Charge;

/// Returns the body if it is within the limits and has arrived by the deadline.
pub async fn read_body(
    body: &mut RequestBody,
    limits: &CallerLimits,
    deadline: Instant,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let limit = limits.max_body_bytes;
    if body.announced().is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let reading = tokio::time::timeout(left, read_whole(body, limits, charge));
    let late = |_| {
        let detail = format!("{} bytes in the request's time", charge.bytes());
        Refusal::new(Step::Body, Reason::BodyTooSlow, detail)
    };
    reading.await.map_err(late)?
}

async fn read_whole(
    arriving: &mut RequestBody,
    limits: &CallerLimits,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    let broken =
        |error: PayloadError| Refusal::new(Step::Body, Reason::BrokenBody, error.to_string());
    while let Some(piece) = arriving.next().await.map_err(broken)? {
        if body.len() + piece.len() > limits.max_body_bytes {
            return Err(too_large(limits.max_body_bytes));
        }
        charge.add(piece.len()).await;
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

fn too_large(limit: usize) -> Refusal {
    let detail = format!("over {limit} bytes");
    Refusal::new(Step::Body, Reason::BodyTooLarge, detail)
}
