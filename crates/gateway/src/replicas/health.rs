//! Whether a replica can be reached, as seen by the requests sent there.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

/// How long a replica is left alone after its first failure; each further one in a row twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// The longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How long a replica is left alone after it said that it is full.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(120);

/// How much one outcome weighs in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.08;

/// The health of one replica.
#[derive(Debug, Default)]
pub struct Health {
    consecutive_failures: Cell<u32>,
    suspect_until: Cell<Option<Instant>>,
    overloaded_until: Cell<Option<Instant>>,
    failure_rate: Cell<f64>,
}

impl Health {
    /// Takes in that the replica could not be reached or broke off; returns how long it is left alone.
    pub fn record_failure(&self, now: Instant) -> Duration {
        let failures = self.consecutive_failures.get();
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << failures.min(8));
        let backoff = backoff.min(MAX_BACKOFF);
        self.consecutive_failures.set(failures + 1);
        self.suspect_until.set(Some(now + backoff));
        backoff
    }

    /// Takes in that the replica answered; true where it was suspect.
    pub fn record_answer(&self) -> bool {
        let was_suspect = self.consecutive_failures.get() > 0;
        self.consecutive_failures.set(0);
        self.suspect_until.set(None);
        was_suspect
    }

    /// Takes in that the replica did not run a request, since it is full or loading.
    pub fn record_overload(&self, now: Instant) {
        self.overloaded_until.set(Some(now + OVERLOAD_BACKOFF));
    }

    /// Takes in whether a request that it ran failed there.
    pub fn record_outcome(&self, has_failed: bool) {
        let outcome = f64::from(u8::from(has_failed));
        let rate = self.failure_rate.get();
        self.failure_rate
            .set(rate + OUTCOME_WEIGHT * (outcome - rate));
    }

    /// The share of recent requests that failed there.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }

    /// Whether it could not be reached lately.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.suspect_until.get().is_some_and(|until| now < until)
    }

    /// Whether it should get no requests at `now`.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let is_before = |until: Instant| now < until;
        self.suspect_until.get().is_some_and(is_before)
            || self.overloaded_until.get().is_some_and(is_before)
    }
}
