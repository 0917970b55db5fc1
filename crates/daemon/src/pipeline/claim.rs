//! Filter: claims a request that may run at most once, before it is dispatched.

use std::sync::Arc;

use driftspring_types::{Outcome, Step};

use super::context::RequestContext;
use super::headers;
use super::refusal::Refusal;
use crate::state::DaemonState;

/// A granted claim; to be settled with the outcome of the request.
#[derive(Debug)]
pub struct ClaimHold;

impl ClaimHold {
    /// Tells the holders how the request ended: a claim on a request that was not run is released.
    pub fn settle(self, _outcome: &Outcome) {}
}

/// Claims the key of a request that may not be repeated; nothing for other requests.
pub async fn claim(
    _daemon: &Arc<DaemonState>,
    context: &RequestContext,
) -> Result<Option<ClaimHold>, Refusal> {
    if context.repeatable {
        return Ok(None);
    }
    let Some(idempotency) = &context.idempotency else {
        return Err(Refusal::bad_request(
            Step::Claim,
            headers::IDEMPOTENCY_KEY,
            "a request that may not be repeated needs the header `idempotency-key`",
        ));
    };
    if idempotency.issued_at_ms.is_none() {
        return Err(Refusal::bad_request(
            Step::Claim,
            headers::ISSUED_AT,
            "the key is no UUID version 7, so the header `x-idempotency-issued-at` is needed",
        ));
    }
    Ok(Some(ClaimHold))
}
