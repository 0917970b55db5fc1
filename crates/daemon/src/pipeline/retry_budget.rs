//! The budget of extra attempts, which keeps retries from multiplying an overload.

use std::sync::atomic::{AtomicU64, Ordering};

/// Retries that are allowed whatever the number of requests, so that a quiet daemon can retry at all.
const MINIMUM_RETRIES: u64 = 10;

/// Extra attempts of all requests of one daemon.
#[derive(Debug, Default)]
pub struct RetryBudget {
    first_attempts: AtomicU64,
    retries: AtomicU64,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn count_first_attempt(&self) {
        self.first_attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes one retry, of as many as `percent` of the first attempts; false where none is left.
    pub fn take_retry(&self, percent: u32) -> bool {
        let first_attempts = self.first_attempts.load(Ordering::Relaxed);
        let allowed = first_attempts * u64::from(percent) / 100 + MINIMUM_RETRIES;
        let taken = self
            .retries
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |retries| {
                (retries < allowed).then_some(retries + 1)
            });
        taken.is_ok()
    }
}
