//! Filter: reads the whole body, since it may have to be sent more than once.

use bytes::{Bytes, BytesMut};
use driftspring_clock::Instant;
use futures_util::StreamExt;
use ntex::web::types::Payload;

use super::check_size::limit_for;
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::CallerLimits;
use crate::held_bytes::Charge;
use crate::state::GatewayState;

/// Returns the body if it has arrived by the deadline and is within the limits under which the request was accepted, or
/// within newer ones.
pub async fn read_body(
    state: &GatewayState,
    payload: Payload,
    limits: &CallerLimits,
    deadline: Instant,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    let reading = tokio::time::timeout(left, read_whole(state, payload, limits, charge));
    let late = |_| {
        let detail = format!("{} bytes in the request's time", charge.bytes());
        Refusal::new(Step::Body, Reason::BodyTooSlow, detail)
    };
    reading.await.map_err(late)?
}

async fn read_whole(
    state: &GatewayState,
    mut payload: Payload,
    limits: &CallerLimits,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    let mut limit = limits.max_body_bytes;
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|error| {
            let detail = error.to_string();
            Refusal::new(Step::Body, Reason::BrokenBody, detail)
        })?;
        let length = body.len() + piece.len();
        if length > limit {
            let newest = limit_for(state, Step::Body, length, |newest| newest.max_body_bytes);
            limit = newest.await?.map_or(limit, |newest| newest.max(limit));
        }
        if length > limit {
            let detail = format!("over {limit} bytes");
            return Err(Refusal::new(Step::Body, Reason::BodyTooLarge, detail));
        }
        charge.add(piece.len()).await;
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
