//! When a decision on a request is final, and what it waits for before that.
//!
//! A configuration proves to be the newest at a past moment only. A key that it holds may have been revoked since, and a route
//! or key that it lacks may have been added. Each verdict is by the configuration in force at that time; nothing of an earlier
//! one is kept across a wait.

use std::mem::discriminant;
use std::sync::Arc;
use std::time::Duration;

use super::{Authorization, Denial, RequestTarget, authorize};
use crate::configuration::{Configuration, Route};

/// What is known of how current a configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Currentness {
    /// The age of the latest proof that it is the newest; `None` without one.
    pub proof_age: Option<Duration>,
    /// Whether the query at the start for the versions of other gateways is complete.
    pub has_peer_answers: bool,
    /// Whether a newer one exists that the store has lost.
    pub is_outdated: bool,
}

/// The maximum ages of the proofs that verdicts are based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofAges {
    /// For keys, which may have been revoked since; `None` for no limit.
    pub keys: Option<Duration>,
    /// For denials, since the route or key may be new.
    pub denials: Duration,
}

/// What a verdict lacks to be final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// Any configuration.
    Configuration,
    /// The versions of other gateways.
    PeerAnswers,
    /// The newest configuration, which the store has lost.
    NewestConfiguration,
    /// A proof of at most this age that keys are current.
    KeyProof(Duration),
    /// A proof of at most this age that a route or key is unknown.
    DenialProof(Duration),
}

/// What a configuration says of a request.
#[derive(Debug, Clone)]
pub enum Verdict {
    /// The request is allowed.
    Allowed(Authorization),
    /// The request is denied.
    Denied(Denial),
    /// The request waits for what the verdict lacks.
    Wait(Missing, Option<Arc<Route>>),
    /// The request can't be decided, since this has not come.
    Unconfirmed(Missing, Option<Arc<Route>>),
}

/// The decision on one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decision {
    waited: Vec<Missing>,
}

impl Decision {
    /// Begins a decision.
    pub fn new() -> Self {
        Self::default()
    }

    /// What the request has waited for so far.
    pub fn waited(&self) -> &[Missing] {
        &self.waited
    }

    /// The verdict by `configuration`, the one in force. After a wait it is to be called again with the one in force then.
    ///
    /// Nothing is waited for twice, so changes in quick succession can't hold a request.
    pub fn decide(
        &mut self,
        configuration: Option<&Arc<Configuration>>,
        target: &RequestTarget,
        known: &Currentness,
        ages: &ProofAges,
    ) -> Verdict {
        let Some(configuration) = configuration else {
            return self.wait_once(Missing::Configuration, None);
        };
        let decided = authorize(configuration, target);
        let Some(missing) = missing_for(&decided, known, ages) else {
            return match decided {
                Ok(authorization) => Verdict::Allowed(authorization),
                Err(denial) => Verdict::Denied(denial),
            };
        };
        let route = match decided {
            Ok(authorization) => Some(authorization.route),
            Err(Denial::UnknownKey(route)) => Some(route),
            Err(Denial::NoRoute) => None,
        };
        self.wait_once(missing, route)
    }

    fn wait_once(&mut self, missing: Missing, route: Option<Arc<Route>>) -> Verdict {
        let is_same = |before: &Missing| discriminant(before) == discriminant(&missing);
        if missing == Missing::NewestConfiguration || self.waited.iter().any(is_same) {
            return Verdict::Unconfirmed(missing, route);
        }
        self.waited.push(missing);
        Verdict::Wait(missing, route)
    }
}

/// What lacks for a decision to be final.
fn missing_for(
    decided: &Result<Authorization, Denial>,
    known: &Currentness,
    ages: &ProofAges,
) -> Option<Missing> {
    let is_within = |limit: Duration| known.proof_age.is_some_and(|age| age <= limit);
    let depends_on_keys = match decided {
        Ok(authorization) => authorization.tenant.is_some(),
        Err(Denial::UnknownKey(_)) => true,
        Err(Denial::NoRoute) => false,
    };
    if depends_on_keys {
        if !known.has_peer_answers {
            return Some(Missing::PeerAnswers);
        }
        if known.is_outdated {
            return Some(Missing::NewestConfiguration);
        }
        if let Some(limit) = ages.keys.filter(|limit| !is_within(*limit)) {
            return Some(Missing::KeyProof(limit));
        }
    }
    match decided.is_err() && !is_within(ages.denials) {
        true => Some(Missing::DenialProof(ages.denials)),
        false => None,
    }
}
