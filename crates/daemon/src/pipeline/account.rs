//! Filter: counts the outcome of a request and gives back what was held for it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_types::{Outcome, RequestId};

use super::claim::ClaimHold;
use super::refusal::DEFAULT_RETRY_AFTER;
use crate::state::DaemonState;
use driftspring_limits::Permit;

/// One request in the books of this daemon, from its first byte to its last.
pub struct Account {
    id: RequestId,
    arrived_at: Instant,
    open: Option<OpenRequest>,
}

/// What is held while a request is open.
struct OpenRequest {
    daemon: Arc<DaemonState>,
    permit: Option<Permit>,
    claim: Option<ClaimHold>,
}

impl Account {
    /// Begins a request.
    pub fn open(daemon: &Arc<DaemonState>, id: RequestId) -> Self {
        daemon.open_requests.fetch_add(1, Ordering::AcqRel);
        Self {
            id,
            arrived_at: Instant::now(),
            open: Some(OpenRequest {
                daemon: Arc::clone(daemon),
                permit: None,
                claim: None,
            }),
        }
    }

    /// The request's identifier.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Counts the first token of the answer.
    pub fn first_token(&self) {
        if let Some(open) = &self.open {
            open.daemon
                .metrics
                .count_first_token(self.arrived_at.elapsed());
        }
    }

    /// Keeps `permit` until the request ends.
    pub fn hold_permit(&mut self, permit: Permit) {
        if let Some(open) = &mut self.open {
            open.permit = Some(permit);
        }
    }

    /// Keeps `claim` until the request ends.
    pub fn hold_claim(&mut self, claim: ClaimHold) {
        if let Some(open) = &mut self.open {
            open.claim = Some(claim);
        }
    }

    /// Moves the request into the body of its response; this account is left settled.
    pub fn take(&mut self) -> Self {
        Self {
            id: self.id,
            arrived_at: self.arrived_at,
            open: self.open.take(),
        }
    }

    /// Ends the request; only the first call counts.
    pub fn settle(&mut self, outcome: &Outcome) {
        let Some(mut open) = self.open.take() else {
            return;
        };
        let metrics = &open.daemon.metrics;
        metrics.count_outcome(outcome);
        metrics.request_duration.observe(self.arrived_at.elapsed());
        if let Some(claim) = open.claim.take() {
            claim.settle(outcome);
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if let Some(open) = &mut self.open {
            open.daemon.metrics.abandoned_requests.inc();
            if let Some(claim) = open.claim.take() {
                // The engine may have run the request before its work was cancelled.
                claim.settle(&Outcome::Unknown {
                    retry_after: DEFAULT_RETRY_AFTER,
                });
            }
            log_event!(pipeline::CALLER_HUNG_UP, "request={}", self.id);
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.daemon.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}
