//! Filter: reads the whole body, since it may have to be sent more than once.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ntex::web::types::Payload;

use super::refusal::{Reason, Refusal, Step};
use crate::configuration::CallerLimits;

/// Returns the body if it is within the limits.
pub async fn read_body(mut payload: Payload, limits: &CallerLimits) -> Result<Bytes, Refusal> {
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
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
