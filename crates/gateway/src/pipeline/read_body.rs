//! Filter: reads the whole body, since it may have to be sent more than once.

use bytes::{Bytes, BytesMut};
use driftspring_clock::Instant;
use futures_util::StreamExt;
use ntex::web::types::Payload;

use super::refusal::{Reason, Refusal, Step};
use crate::configuration::CallerLimits;
use crate::held_bytes::Charge;

/// Returns the body if it is within the limits and has arrived by `deadline`.
pub async fn read_body(
    payload: Payload,
    limits: &CallerLimits,
    deadline: Instant,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    let reading = tokio::time::timeout(left, read_whole(payload, limits, charge));
    let late = |_| {
        let detail = format!("{} bytes in the request's time", charge.bytes());
        Refusal::new(Step::Body, Reason::BodyTooSlow, detail)
    };
    reading.await.map_err(late)?
}

async fn read_whole(
    mut payload: Payload,
    limits: &CallerLimits,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|error| {
            let detail = error.to_string();
            Refusal::new(Step::Body, Reason::BrokenBody, detail)
        })?;
        if body.len() + piece.len() > limits.max_body_bytes {
            let detail = format!("over {} bytes", limits.max_body_bytes);
            return Err(Refusal::new(Step::Body, Reason::BodyTooLarge, detail));
        }
        charge.add(piece.len()).await;
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
