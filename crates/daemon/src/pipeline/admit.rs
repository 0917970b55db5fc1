//! Filter: applies limits. What it grants is given back when the request ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use anyhow::anyhow;
use driftspring_types::{NotRunReason, Peer, Step, StepError, Tenant};

use super::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use crate::state::DaemonState;

/// The right to have a request open; given back when dropped.
#[derive(Debug)]
pub struct AdmissionPermit;

/// Refuses new requests during a planned stop.
pub fn refuse_while_stopping(daemon: &DaemonState) -> Result<(), Refusal> {
    if !daemon.is_stopping() {
        return Ok(());
    }
    let cause = anyhow!("this daemon is stopping");
    let error = StepError::not_run(Step::Admit, Peer::Local, cause);
    Err(Refusal::not_run(
        NotRunReason::Stopping,
        DEFAULT_RETRY_AFTER,
        error,
    ))
}

/// Admits a request of `tenant`, or refuses it at once.
pub async fn admit(
    daemon: &Arc<DaemonState>,
    _tenant: &Tenant,
    _deadline: Instant,
) -> Result<AdmissionPermit, Refusal> {
    let open = daemon.open_requests.load(Ordering::Relaxed);
    if open <= daemon.settings.request.max_open {
        return Ok(AdmissionPermit);
    }
    let cause = anyhow!("{open} requests are open in this daemon");
    let error = StepError::not_run(Step::Admit, Peer::Local, cause);
    Err(Refusal::not_run(
        NotRunReason::Overloaded,
        DEFAULT_RETRY_AFTER,
        error,
    ))
}
