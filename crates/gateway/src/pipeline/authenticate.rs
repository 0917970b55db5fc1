//! Filter: finds the tenant that holds the request's key.

use std::sync::Arc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::context;
use super::decode::Decoded;
use super::find_route::{self, confirmation_timeout, denial_max_proof_age};
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::{Route, Tenant};
use crate::state::GatewayState;

/// Margin by which a proof counts as too old before the allowed age, for the time until the request reaches its
/// replica.
const PROOF_AGE_MARGIN: Duration = Duration::from_millis(300);

/// Returns the tenant, or nothing if the route or the configuration requires no key.
pub async fn authenticate(
    state: &GatewayState,
    decoded: &Decoded,
    route: &Route,
    arrived_at: Instant,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let key = decoded.meta.key.as_deref();
    let deadline = arrived_at + context::time_limits(decoded, route).deadline();
    let timeout = || confirmation_timeout(arrived_at, deadline);
    let needs_key = || {
        let configuration = state.configuration.load();
        let Some(known) = configuration.as_ref() else {
            return false;
        };
        let in_force = find_route::route_of(known, decoded);
        let is_public = in_force.map_or(route.is_public, |route| route.is_public);
        known.needs_keys() && !is_public
    };
    if !needs_key() {
        return Ok(None);
    }
    let checked = check_proof_age(state, route, &timeout).await;
    // A configuration that requires no key may have come into force meanwhile.
    if !needs_key() {
        return Ok(None);
    }
    checked?;
    let look_up = || {
        let configuration = state.configuration.load_full()?;
        configuration.tenant(key?).cloned()
    };
    if let Some(tenant) = look_up() {
        return Ok(Some(tenant));
    }
    let is_confirmed = state
        .currency
        .confirm(denial_max_proof_age(state), timeout())
        .await;
    if !needs_key() {
        return Ok(None);
    }
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
/// `timeout` says how long the request still waits for that.
async fn check_proof_age(
    state: &GatewayState,
    route: &Route,
    timeout: &impl Fn() -> Duration,
) -> Result<(), Refusal> {
    if !state.currency.until_peer_answers(timeout()).await {
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
    let had_proof = state.currency.age().is_some();
    let timeout = proof_timeout(had_proof, route.objective, timeout());
    match state.currency.confirm(allowed, timeout).await {
        true => Ok(()),
        false => Err(refusal(
            Reason::NotInformed,
            "the keys are not known to be current",
        )),
    }
}

/// How long a request waits for a proof of the configuration. A gateway that has had a proof has lost it; one without
/// any has just started and is reading the store for the first time. No wait is longer than `longest`.
fn proof_timeout(had_proof: bool, objective: Duration, longest: Duration) -> Duration {
    match had_proof && !objective.is_zero() {
        true => longest.min(objective.mul_f64(LOST_PROOF_WAIT_SHARE)),
        false => longest,
    }
}

fn refusal(reason: Reason, detail: &str) -> Refusal {
    Refusal::new(Step::Authenticate, reason, detail)
}
