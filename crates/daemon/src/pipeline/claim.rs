//! Filter: claims a request that may run at most once, before it is dispatched.

use anyhow::anyhow;
use driftspring_claims::{ClaimKey, ClaimRefusal, UnixMillis};
use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_types::{NotRunReason, Outcome, Peer, Step, StepError, Tenant};

use super::headers::{self, CallerHeaders};
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use super::worker::WorkerState;
use crate::claims::HeldClaim;

/// A granted claim; to be settled with the outcome of the request.
#[derive(Debug)]
pub struct ClaimHold(HeldClaim);

impl ClaimHold {
    /// Tells the holders how the request ended: a claim on a request that was not run is released.
    ///
    /// An outcome is final, so after "not run" nothing is dispatched under this claim any more. A
    /// claim that is dropped without an outcome stays held.
    pub fn settle(self, outcome: &Outcome) {
        if matches!(outcome, Outcome::NotRun { .. }) {
            self.0.release();
        }
    }
}

/// Claims the key of a request that may not be repeated; nothing for other requests.
pub async fn claim(
    worker: &WorkerState,
    tenant: &Tenant,
    headers: &CallerHeaders,
) -> Result<Option<ClaimHold>, Refusal> {
    if headers.repeatable {
        return Ok(None);
    }
    let (key, issued_at) = issued_key(tenant, headers)?;
    let daemon = &worker.daemon;
    if !daemon.settings.mechanisms.claims {
        return Ok(None);
    }
    let client = worker.claims().await?;
    match client.claim(daemon, key, issued_at).await {
        Ok(held) => Ok(Some(ClaimHold(held))),
        Err(refusal) => {
            log_event!(
                pipeline::CLAIM_REFUSED,
                "tenant={} reason={refusal:?}",
                tenant.id
            );
            Err(refused(refusal))
        }
    }
}

/// The claim key and the time of issue of the request's idempotency key.
fn issued_key(tenant: &Tenant, headers: &CallerHeaders) -> Result<(ClaimKey, UnixMillis), Refusal> {
    let Some(idempotency) = &headers.idempotency else {
        return Err(Refusal::bad_request(
            Step::Claim,
            headers::IDEMPOTENCY_KEY,
            "a request that may not be repeated needs the header `idempotency-key`",
        ));
    };
    let Some(issued_at_ms) = idempotency.issued_at_ms else {
        return Err(Refusal::bad_request(
            Step::Claim,
            headers::ISSUED_AT,
            "the key is no UUID version 7, so the header `x-idempotency-issued-at` is needed",
        ));
    };
    let key = ClaimKey::new(&tenant.id, &idempotency.key);
    Ok((key, UnixMillis(issued_at_ms)))
}

/// The answer to a caller whose claim was refused. Where the holders know of another attempt, or
/// can't exclude one, the caller must not take the request for not run.
fn refused(refusal: ClaimRefusal) -> Refusal {
    let error = StepError::not_run(Step::Claim, Peer::Local, anyhow!(refusal));
    match refusal {
        ClaimRefusal::HeldByOther | ClaimRefusal::Abstained => Refusal::claimed_elsewhere(error),
        ClaimRefusal::KeyTooOld => {
            let mut refusal = Refusal::claimed_elsewhere(error);
            refusal.field = Some(headers::IDEMPOTENCY_KEY.to_owned());
            refusal
        }
        ClaimRefusal::KeyInFuture => Refusal::bad_request(
            Step::Claim,
            headers::IDEMPOTENCY_KEY,
            ClaimRefusal::KeyInFuture.to_string(),
        ),
        ClaimRefusal::NoQuorum => {
            Refusal::not_run(NotRunReason::NoClaimQuorum, DEFAULT_RETRY_AFTER, error)
        }
    }
}
