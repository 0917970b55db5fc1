//! The line of a replica as it tells itself.
//!
//! Load: many gateways send to the same replicas, each a few requests a second, while some replicas are gone or load weights. A
//! gateway sees too little of a replica to know its line: it learns how long its own last request waited there, seconds later.
//! Replicas tell how many requests wait, some hundred milliseconds late.

use std::time::Duration;

use driftspring_clock::Instant;

/// For how long a line counts that was told: four rounds of questions, so that a lost report does no harm.
const COUNTS_FOR: Duration = Duration::from_millis(1000);

/// How long a request waits for each one before it: a replica that works at its limit begins one in this time.
const WAIT_OF_ONE: Duration = Duration::from_millis(100);

/// The longest wait that follows from a line; a replica that tells nonsense loses no more by it, and gains nothing by telling
/// none, since what gateways see themselves counts beside it.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// What a replica told of its line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Line {
    /// Requests that wait.
    pub queued: u32,
    /// When it told that.
    pub at: Instant,
}

impl Line {
    /// How long a request that is sent at `now` waits behind those that waited then.
    pub fn wait(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.at);
        if age >= COUNTS_FOR {
            return Duration::ZERO;
        }
        let wait = WAIT_OF_ONE.saturating_mul(self.queued);
        wait.min(LONGEST_WAIT).saturating_sub(age)
    }
}
