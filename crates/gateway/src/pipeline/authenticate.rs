//! Filter: finds the tenant that holds the request's key.

use std::sync::Arc;
use std::time::Duration;

use super::find_route::{CONFIRMATION_TIMEOUT, denial_max_proof_age};
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::{Route, Tenant};
use crate::state::GatewayState;

/// Margin by which a proof counts as too old before the allowed age, for the time until the request reaches its
/// replica.
const PROOF_AGE_MARGIN: Duration = Duration::from_millis(300);

/// Returns the tenant, or nothing if the route or the configuration requires no key.
pub async fn authenticate(
    state: &GatewayState,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let needs_key = || {
        let configuration = state.configuration.load();
        let needs_keys = configuration
            .as_ref()
            .is_some_and(|known| known.needs_keys());
        needs_keys && !route.is_public
    };
    if !needs_key() {
        return Ok(None);
    }
    check_proof_age(state, route).await?;
    let look_up = || {
        let configuration = state.configuration.load_full()?;
        configuration.tenant(key?).cloned()
    };
    if let Some(tenant) = look_up() {
        return Ok(Some(tenant));
    }
    let is_confirmed = state
        .currency
        .confirm(denial_max_proof_age(state), CONFIRMATION_TIMEOUT)
        .await;
    match (look_up(), is_confirmed) {
        (Some(tenant), _) => Ok(Some(tenant)),
        (None, true) => Err(refusal(Reason::UnknownKey, "no tenant holds the key")),
        (None, false) => Err(refusal(Reason::NotInformed, "no current configuration")),
    }
}

/// Share of the route's objective for which a request waits for a new proof at a gateway whose own has expired. Such a
/// gateway has tried to renew its proof for seconds, so another gateway serves the caller sooner; a refusal within a
/// quarter of the objective leaves the caller time for that.
const LOST_PROOF_WAIT_SHARE: f64 = 0.2;

/// Checks that the configuration is known to be current: a key may have been revoked since the last proof.
async fn check_proof_age(state: &GatewayState, route: &Route) -> Result<(), Refusal> {
    if !state
        .currency
        .until_peer_answers(CONFIRMATION_TIMEOUT)
        .await
    {
        return Err(refusal(
            Reason::NotInformed,
            "no other gateway has answered yet",
        ));
    }
    let configuration = state.configuration.load();
    let version = configuration.as_ref().map_or(0, |known| known.version);
    if state.currency.is_outdated(version) {
        return Err(refusal(
            Reason::NotInformed,
            "the store has lost the newest configuration",
        ));
    }
    let Some(allowed) = state.times.get().key_currency else {
        return Ok(());
    };
    let allowed = allowed.saturating_sub(PROOF_AGE_MARGIN);
    if state.currency.is_within(allowed) {
        return Ok(());
    }
    let timeout = proof_timeout(state.currency.age().is_some(), route.objective);
    match state.currency.confirm(allowed, timeout).await {
        true => Ok(()),
        false => Err(refusal(
            Reason::NotInformed,
            "the keys are not known to be current",
        )),
    }
}

/// How long a request waits for a proof of the configuration. A gateway that has had a proof has lost it; one without
/// any has just started and is reading the store for the first time.
fn proof_timeout(had_proof: bool, objective: Duration) -> Duration {
    match had_proof && !objective.is_zero() {
        true => CONFIRMATION_TIMEOUT.min(objective.mul_f64(LOST_PROOF_WAIT_SHARE)),
        false => CONFIRMATION_TIMEOUT,
    }
}

fn refusal(reason: Reason, detail: &str) -> Refusal {
    Refusal::new(Step::Authenticate, reason, detail)
}
