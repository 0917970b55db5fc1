//! Reachability and failure rate of a replica, observed by the requests that are sent to it.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

/// Backoff after the first failure. It doubles with each further consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Backoff after a replica reports that it is overloaded.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(120);

/// How long no connection to a replica must come up before that counts as a failure: a sound one may be silent for a second
/// or so.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Time between two connections that did not come up, above which the silence between them is not known.
const MAX_SILENCE_GAP: Duration = Duration::from_secs(1);

/// How long other replicas are preferred to one to which a connection did not come up.
const SILENCE_PREFERENCE: Duration = Duration::from_millis(500);

/// Backoff after an answer of which an element had no end. It doubles with each further one after the backoff, until
/// an answer is whole: such answers may begin well.
const INITIAL_ENDLESS_BACKOFF: Duration = Duration::from_secs(1);

/// Upper limit of that backoff.
const MAX_ENDLESS_BACKOFF: Duration = Duration::from_secs(8);

/// Weight of one outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.08;

/// Health of one replica.
#[derive(Debug, Default)]
pub struct Health {
    consecutive_failures: Cell<u32>,
    /// When the first of these failures since the last new connection was recorded.
    failing_since: Cell<Option<Instant>>,
    suspect_until: Cell<Option<Instant>>,
    overloaded_until: Cell<Option<Instant>>,
    /// When the first and the last connection did not come up, without an answer meanwhile.
    silent_since: Cell<Option<Instant>>,
    silent_at: Cell<Option<Instant>>,
    failure_rate: Cell<f64>,
    /// Answers without end since the last whole one.
    endless_answers: Cell<u32>,
    endless_until: Cell<Option<Instant>>,
}

impl Health {
    /// Records that the replica could not be reached or broke off an answer. Returns the backoff that follows.
    pub fn record_failure(&self, now: Instant) -> Duration {
        let failures = self.consecutive_failures.get();
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << failures.min(8));
        let backoff = backoff.min(MAX_BACKOFF);
        if failures == 0 || self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
        self.consecutive_failures.set(failures + 1);
        self.suspect_until.set(Some(now + backoff));
        backoff
    }

    /// Records that a connection to the replica did not come up in time. Returns whether that has lasted for so long that
    /// it counts as a failure.
    pub fn record_silence(&self, now: Instant) -> bool {
        let is_continued = |at: Instant| now.saturating_duration_since(at) <= MAX_SILENCE_GAP;
        let since = match self.silent_at.get().is_some_and(is_continued) {
            true => self.silent_since.get().unwrap_or(now),
            false => now,
        };
        self.silent_since.set(Some(since));
        self.silent_at.set(Some(now));
        self.consecutive_failures.get() > 0 || now.saturating_duration_since(since) >= SILENCE_LIMIT
    }

    /// Whether other replicas are preferred because a connection to this one did not come up lately.
    pub fn is_silent(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SILENCE_PREFERENCE;
        self.silent_at.get().is_some_and(is_recent)
    }

    /// Records that the replica answered. Returns whether it was suspect before.
    pub fn record_answer(&self) -> bool {
        let was_suspect = self.consecutive_failures.get() > 0;
        self.consecutive_failures.set(0);
        self.suspect_until.set(None);
        self.silent_since.set(None);
        self.silent_at.set(None);
        was_suspect
    }

    /// Records that a new connection to the replica came up. Its backoff goes on, since that is no answer.
    pub fn record_connection(&self) {
        self.failing_since.set(None);
    }

    /// When the first failure since the last answer and the last new connection was recorded.
    pub fn failing_since(&self) -> Option<Instant> {
        match self.consecutive_failures.get() {
            0 => None,
            _ => self.failing_since.get(),
        }
    }

    /// Records that an element of an answer had no end. Returns the backoff that follows.
    pub fn record_endless(&self, now: Instant) -> Duration {
        // Several requests may be open there at once.
        let is_known = self.endless_until.get().is_some_and(|until| now < until);
        let earlier = match is_known {
            true => self.endless_answers.get().saturating_sub(1),
            false => self.endless_answers.get(),
        };
        let backoff = INITIAL_ENDLESS_BACKOFF.saturating_mul(1 << earlier.min(8));
        let backoff = backoff.min(MAX_ENDLESS_BACKOFF);
        self.endless_answers.set(earlier.saturating_add(1));
        self.endless_until.set(Some(now + backoff));
        backoff
    }

    /// Records that an answer was read to its end.
    pub fn record_whole_answer(&self) {
        self.endless_answers.set(0);
        self.endless_until.set(None);
    }

    /// Records that the replica did not run a request because it is full or loading.
    pub fn record_overload(&self, now: Instant) {
        self.overloaded_until.set(Some(now + OVERLOAD_BACKOFF));
    }

    /// Records whether a request that the replica ran has failed.
    pub fn record_outcome(&self, has_failed: bool) {
        let outcome = f64::from(u8::from(has_failed));
        let rate = self.failure_rate.get();
        self.failure_rate
            .set(rate + OUTCOME_WEIGHT * (outcome - rate));
    }

    /// The moving average of failed requests, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }

    /// Whether the replica is in backoff because it could not be reached.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.suspect_until.get().is_some_and(|until| now < until)
    }

    /// Whether the replica should get no requests at `now`, because it was unreachable or overloaded, or its answers have
    /// no end.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let is_before = |until: Instant| now < until;
        self.suspect_until.get().is_some_and(is_before)
            || self.overloaded_until.get().is_some_and(is_before)
            || self.endless_until.get().is_some_and(is_before)
    }
}
