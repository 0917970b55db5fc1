//! Filter: finds the route of a request.

use std::sync::Arc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::context::caller_deadline;
use super::decode::Decoded;
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::{Configuration, Route};
use crate::state::GatewayState;

/// Maximum age of a proof for a final denial of a request (unknown key or route), as a share of the time in which a
/// configuration must be in force. A proof of any age within that time would be correct, since it covers every
/// acknowledged change. Proofs that followers receive are up to 1.4 s old (a read every 0.9 s, a query every 0.5 s), so
/// with a share of 0.4 (0.8 s) most denials cost a call to the store.
const DENIAL_PROOF_AGE_SHARE: f64 = 0.75;

/// How long a request waits for such a proof.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum share of a request's time in which it waits for proofs of the configuration, for a route and a key together; the
/// rest is for its replica, or for a retry by its caller.
const MAX_CONFIRMATION_SHARE: f64 = 0.75;

/// How long a request that arrived at `arrived_at` and is given up at `deadline` still waits for a proof.
pub fn confirmation_timeout(arrived_at: Instant, deadline: Instant) -> Duration {
    let time_limit = deadline.saturating_duration_since(arrived_at);
    let last = arrived_at + time_limit.mul_f64(MAX_CONFIRMATION_SHARE);
    CONFIRMATION_TIMEOUT.min(last.saturating_duration_since(Instant::now()))
}

/// Maximum age of the proof that a final denial is based on.
pub fn denial_max_proof_age(state: &GatewayState) -> Duration {
    state
        .times
        .get()
        .configuration_lag
        .mul_f64(DENIAL_PROOF_AGE_SHARE)
}

/// The route of a request under `configuration`.
pub fn route_of<'a>(configuration: &'a Configuration, decoded: &Decoded) -> Option<&'a Arc<Route>> {
    let path = decoded.path.split('?').next().unwrap_or("/");
    configuration.route(&decoded.host, path)
}

/// Returns the configuration in force and the request's route. A missing route is a final denial only with a recent
/// proof of the configuration, since the route may be new.
pub async fn find_route(
    state: &GatewayState,
    decoded: &Decoded,
    arrived_at: Instant,
) -> Result<(Arc<Configuration>, Arc<Route>), Refusal> {
    let look_up = || {
        let configuration = state.configuration.load_full()?;
        let route = route_of(&configuration, decoded).cloned()?;
        Some((configuration, route))
    };
    if let Some(found) = look_up() {
        return Ok(found);
    }
    let timeout = confirmation_timeout(arrived_at, caller_deadline(decoded, arrived_at));
    let is_confirmed = state
        .currency
        .confirm(denial_max_proof_age(state), timeout)
        .await;
    let is_known = state.configuration.load().is_some();
    look_up().ok_or_else(|| match is_confirmed && is_known {
        true => Refusal::new(Step::Route, Reason::NoRoute, decoded.host.as_str()),
        false => Refusal::new(Step::Route, Reason::NotInformed, "no current configuration"),
    })
}
