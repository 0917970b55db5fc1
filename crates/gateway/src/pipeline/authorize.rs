//! Filter: decides by the configuration in force whether a request is allowed, and waits for what that decision lacks to be
//! final. After each wait the request is decided anew by the configuration in force then.

use std::sync::Arc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::context::{caller_deadline, time_limits};
use super::decode::Decoded;
use super::refusal::{Reason, Refusal, Step};
use crate::authorization::{
    Authorization, Currentness, Decision, Denial, Missing, ProofAges, RequestTarget, Verdict,
};
use crate::configuration::Route;
use crate::state::GatewayState;

/// Maximum age of a proof for a final denial of a request (unknown key or route), as a share of the time in which a
/// configuration must be in force. A proof of any age within that time would be correct, since it covers every
/// acknowledged change. Proofs that followers receive are up to 1.4 s old (a read every 0.9 s, a query every 0.5 s), so
/// with a share of 0.4 (0.8 s) most denials cost a call to the store.
const DENIAL_PROOF_AGE_SHARE: f64 = 0.75;

/// How long a request waits for each kind of proof.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum share of a request's time in which it waits for proofs of the configuration, for all of them together; the
/// rest is for its replica, or for a retry by its caller.
const MAX_CONFIRMATION_SHARE: f64 = 0.75;

/// Margin by which a proof counts as too old before the allowed age, for the time until the request reaches its
/// replica.
const PROOF_AGE_MARGIN: Duration = Duration::from_millis(300);

/// Share of the route's objective for which a request waits for a new proof at a gateway whose own has expired. Such a
/// gateway has tried to renew its proof for seconds, so another gateway serves the caller sooner; a refusal within a
/// quarter of the objective leaves the caller time for that.
const LOST_PROOF_WAIT_SHARE: f64 = 0.2;

/// A request that is not allowed, or not known to be.
#[derive(Debug)]
pub struct Unauthorized {
    /// Its route, if one was found.
    pub route: Option<Arc<Route>>,
    /// Its refusal.
    pub refusal: Refusal,
}

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

/// Returns the decision that allows the request.
pub async fn authorize(
    state: &GatewayState,
    decoded: &Decoded,
    arrived_at: Instant,
) -> Result<Authorization, Unauthorized> {
    let first_version = state.configuration_version();
    let target = RequestTarget {
        host: &decoded.host,
        path: decoded.path.split('?').next().unwrap_or("/"),
        key: decoded.meta.key.as_deref(),
    };
    let mut decision = Decision::new();
    let decided = loop {
        let configuration = state.configuration.load_full();
        let version = configuration.as_ref().map_or(0, |known| known.version);
        let known = currentness(state, version);
        let ages = proof_ages(state);
        match decision.decide(configuration.as_ref(), &target, &known, &ages) {
            Verdict::Allowed(authorization) => break Ok(authorization),
            Verdict::Denied(denial) => break Err(denied(denial, version, &decoded.host)),
            Verdict::Unconfirmed(missing, route) => break Err(unconfirmed(missing, route)),
            Verdict::Wait(missing, route) => {
                wait_for(state, decoded, arrived_at, route.as_deref(), missing).await;
            }
        }
    };
    log_change(state, decoded, first_version, decision.waited(), &decided);
    decided
}

/// The refusal of a request that configuration `version` denies.
fn denied(denial: Denial, version: u64, host: &str) -> Unauthorized {
    match denial {
        Denial::NoRoute => {
            let detail = format!("no route of {host} in configuration {version}");
            Unauthorized {
                route: None,
                refusal: Refusal::new(Step::Route, Reason::NoRoute, detail),
            }
        }
        Denial::UnknownKey(route) => {
            let detail = format!("no tenant holds the key in configuration {version}");
            Unauthorized {
                route: Some(route),
                refusal: Refusal::new(Step::Authenticate, Reason::UnknownKey, detail),
            }
        }
    }
}

/// The refusal of a request whose decision still lacks something.
fn unconfirmed(missing: Missing, route: Option<Arc<Route>>) -> Unauthorized {
    let detail = match missing {
        Missing::Configuration | Missing::DenialProof(_) => "no current configuration",
        Missing::PeerAnswers => "no other gateway has answered yet",
        Missing::NewestConfiguration => "the store has lost the newest configuration",
        Missing::KeyProof(_) => "the keys are not known to be current",
    };
    let step = match &route {
        Some(_) => Step::Authenticate,
        None => Step::Route,
    };
    Unauthorized {
        route,
        refusal: Refusal::new(step, Reason::NotInformed, detail),
    }
}

fn currentness(state: &GatewayState, version: u64) -> Currentness {
    Currentness {
        proof_age: state.currency.age(),
        has_peer_answers: state.currency.has_peer_answers(),
        is_outdated: state.currency.is_outdated(version),
    }
}

fn proof_ages(state: &GatewayState) -> ProofAges {
    let keys = state.times.get().key_currency;
    ProofAges {
        keys: keys.map(|age| age.saturating_sub(PROOF_AGE_MARGIN)),
        denials: denial_max_proof_age(state),
    }
}

/// Waits for what a decision lacks, as long as the request may wait for that. Whether it has come, the next decision tells.
async fn wait_for(
    state: &GatewayState,
    decoded: &Decoded,
    arrived_at: Instant,
    route: Option<&Route>,
    missing: Missing,
) {
    let deadline = match route {
        Some(route) => arrived_at + time_limits(decoded, route).deadline(),
        None => caller_deadline(decoded, arrived_at),
    };
    let timeout = confirmation_timeout(arrived_at, deadline);
    let currency = &state.currency;
    match missing {
        Missing::Configuration => currency.confirm(denial_max_proof_age(state), timeout).await,
        Missing::DenialProof(age) => currency.confirm(age, timeout).await,
        Missing::KeyProof(age) => {
            let objective = route.map_or(Duration::ZERO, |route| route.objective);
            let timeout = key_proof_timeout(currency.age().is_some(), objective, timeout);
            currency.confirm(age, timeout).await
        }
        Missing::PeerAnswers | Missing::NewestConfiguration => {
            currency.until_peer_answers(timeout).await
        }
    };
}

/// How long a request waits for a proof of its key. A gateway that has had a proof has lost it; one without any has just
/// started and is reading the store for the first time. No wait is longer than `longest`.
fn key_proof_timeout(had_proof: bool, objective: Duration, longest: Duration) -> Duration {
    match had_proof && !objective.is_zero() {
        true => longest.min(objective.mul_f64(LOST_PROOF_WAIT_SHARE)),
        false => longest,
    }
}

/// Logs that a newer configuration than `before` came into force while the request waited.
fn log_change(
    state: &GatewayState,
    decoded: &Decoded,
    before: u64,
    waited: &[Missing],
    decided: &Result<Authorization, Unauthorized>,
) {
    let after = state.configuration_version();
    if after == before {
        return;
    }
    let outcome = match decided {
        Ok(authorization) => format!(
            "allowed route={} tenant={:?}",
            authorization.route().name,
            authorization.tenant_name()
        ),
        Err(denied) => format!("refused reason={:?}", denied.refusal.reason),
    };
    log_event!(
        gateway::CONFIGURATION_CHANGED_MEANWHILE,
        "request={} before={before} after={after} waited_for={waited:?} outcome={outcome}",
        decoded.id
    );
}
