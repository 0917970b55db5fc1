//! Whether a replica can be reached, as seen by the requests sent there.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

/// How long a replica is left alone after its first failure; each further one in a row twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How long a replica is left alone after it said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(120);

/// How much one outcome weighs in the share of failures.
const FAILURE_WEIGHT: f64 = 0.08;

/// The health of one replica.
#[derive(Debug, Default)]
pub struct Health {
    failures_in_row: Cell<u32>,
    suspect_until: Cell<Option<Instant>>,
    full_until: Cell<Option<Instant>>,
    failure_share: Cell<f64>,
}

impl Health {
    /// Takes in that the replica could not be reached or broke off; returns how long it is left alone.
    pub fn note_failure(&self, now: Instant) -> Duration {
        let failures = self.failures_in_row.get();
        let pause = FIRST_PAUSE.saturating_mul(1 << failures.min(8));
        let pause = pause.min(LONGEST_PAUSE);
        self.failures_in_row.set(failures + 1);
        self.suspect_until.set(Some(now + pause));
        pause
    }

    /// Takes in that the replica answered; true where it was suspect.
    pub fn note_answer(&self) -> bool {
        let was_suspect = self.failures_in_row.get() > 0;
        self.failures_in_row.set(0);
        self.suspect_until.set(None);
        was_suspect
    }

    /// Takes in that the replica did not run a request, since it is full or loading.
    pub fn note_full(&self, now: Instant) {
        self.full_until.set(Some(now + FULL_PAUSE));
    }

    /// Takes in whether a request that it ran failed there.
    pub fn note_outcome(&self, has_failed: bool) {
        let outcome = f64::from(u8::from(has_failed));
        let share = self.failure_share.get();
        self.failure_share
            .set(share + FAILURE_WEIGHT * (outcome - share));
    }

    /// The share of recent requests that failed there.
    pub fn failure_share(&self) -> f64 {
        self.failure_share.get()
    }

    /// Whether it could not be reached lately.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.suspect_until.get().is_some_and(|until| now < until)
    }

    /// Whether it should get no requests at `now`.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let is_before = |until: Instant| now < until;
        self.suspect_until.get().is_some_and(is_before)
            || self.full_until.get().is_some_and(is_before)
    }
}
