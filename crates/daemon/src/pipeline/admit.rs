//! Filter: applies limits. What it grants is given back when the request ends.

use anyhow::anyhow;
use driftspring_limits::{Permit, RefusalReason};
use driftspring_types::{NotRunReason, Peer, Step, StepError, Tenant};

use super::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use crate::state::DaemonState;

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
pub fn admit(daemon: &DaemonState, tenant: &Tenant) -> Result<Permit, Refusal> {
    daemon.admission.admit(tenant).map_err(|refusal| {
        let (reason, cause) = explain(refusal.reason, tenant);
        let error = StepError::not_run(Step::Admit, Peer::Local, cause);
        Refusal::not_run(reason, refusal.retry_after, error)
    })
}

fn explain(reason: RefusalReason, tenant: &Tenant) -> (NotRunReason, anyhow::Error) {
    match reason {
        RefusalReason::TenantRate => (
            NotRunReason::TenantLimit,
            anyhow!(
                "tenant `{}` is above its {} requests per second",
                tenant.id,
                tenant.requests_per_second
            ),
        ),
        RefusalReason::TenantConcurrency => (
            NotRunReason::TenantLimit,
            anyhow!(
                "tenant `{}` is above its {} open requests",
                tenant.id,
                tenant.max_concurrent
            ),
        ),
        RefusalReason::AboveFairShare => (
            NotRunReason::Overloaded,
            anyhow!(
                "this daemon is near its capacity and tenant `{}` above its fair share",
                tenant.id
            ),
        ),
        RefusalReason::Full => (
            NotRunReason::Overloaded,
            anyhow!("this daemon is at its capacity"),
        ),
    }
}
