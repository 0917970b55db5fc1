//! Filter: reads the whole body, since it may have to be sent more than once.

use bytes::{Bytes, BytesMut};
use driftspring_clock::Instant;
use ntex::http::error::PayloadError;

use super::check_size::{RequestTimes, limit_for};
use super::refusal::{Reason, Refusal, Step};
use super::request_body::RequestBody;
use crate::configuration::CallerLimits;
use crate::held_bytes::Charge;
use crate::state::GatewayState;

/// Returns the body if it has arrived by the deadline and is within the limits under which the request was accepted, or
/// within newer ones.
pub async fn read_body(
    state: &GatewayState,
    body: &mut RequestBody,
    limits: &CallerLimits,
    times: RequestTimes,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let left = times.deadline.saturating_duration_since(Instant::now());
    let reading = tokio::time::timeout(left, read_whole(state, body, limits, times, charge));
    let late = |_| {
        let detail = format!("{} bytes in the request's time", charge.bytes());
        Refusal::new(Step::Body, Reason::BodyTooSlow, detail)
    };
    reading.await.map_err(late)?
}

async fn read_whole(
    state: &GatewayState,
    arriving: &mut RequestBody,
    limits: &CallerLimits,
    times: RequestTimes,
    charge: &Charge,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    let broken =
        |error: PayloadError| Refusal::new(Step::Body, Reason::BrokenBody, error.to_string());
    // A body whose announced length is too large is refused before it is read.
    let announced = arriving.announced().unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    let mut limit = limits.max_body_bytes;
    check_length(state, times, announced, &mut limit).await?;
    while let Some(piece) = arriving.next().await.map_err(broken)? {
        check_length(state, times, body.len() + piece.len(), &mut limit).await?;
        charge.add(piece.len()).await;
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

/// Checks the length of a body against `limit`, which a newer configuration may have raised.
async fn check_length(
    state: &GatewayState,
    times: RequestTimes,
    length: usize,
    limit: &mut usize,
) -> Result<(), Refusal> {
    if length > *limit {
        let newest = limit_for(state, times, Step::Body, length, |newest| {
            newest.max_body_bytes
        });
        *limit = newest.await?.map_or(*limit, |newest| newest.max(*limit));
    }
    match length > *limit {
        true => {
            let detail = format!("over {limit} bytes");
            Err(Refusal::new(Step::Body, Reason::BodyTooLarge, detail))
        }
        false => Ok(()),
    }
}
