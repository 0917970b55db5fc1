//! Filter: finds the tenant of the bearer key.

use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use driftspring_types::{ConfigView, KeyHash, NotRunReason, Peer, Step, StepError, Tenant};
use ntex::http::HeaderMap;

use super::headers;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use crate::state::DaemonState;

/// The tenant in whose name the request comes.
pub fn authenticate(
    daemon: &DaemonState,
    config: &ConfigView,
    map: &HeaderMap,
) -> Result<Arc<Tenant>, Refusal> {
    if config.tenants_by_key.is_empty() && !daemon.is_ready() {
        return Err(starting());
    }
    let header = headers::text(map, "authorization").ok_or_else(|| {
        unauthenticated("header `authorization` is missing; it must be `Bearer <key>`")
    })?;
    let key = header
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim())
        .ok_or_else(|| unauthenticated("header `authorization` must be `Bearer <key>`"))?;
    config
        .tenants_by_key
        .get(&KeyHash::of_bearer_key(key))
        .cloned()
        .ok_or_else(|| unauthenticated("the key in header `authorization` is unknown"))
}

fn unauthenticated(message: &'static str) -> Refusal {
    let error = StepError::not_run(Step::Authenticate, Peer::Caller, anyhow!(message));
    let mut refusal = Refusal::not_run(NotRunReason::Unauthenticated, Duration::ZERO, error);
    refusal.field = Some("authorization".to_owned());
    refusal
}

fn starting() -> Refusal {
    let cause = anyhow!("this daemon has no configuration yet");
    let error = StepError::not_run(Step::Authenticate, Peer::Local, cause);
    Refusal::not_run(NotRunReason::Starting, DEFAULT_RETRY_AFTER, error)
}
