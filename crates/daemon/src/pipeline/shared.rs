//! What the request path of all worker threads shares.

use std::sync::atomic::{AtomicU64, Ordering};

/// Retries that are allowed whatever the number of requests, so that a quiet daemon can retry at all.
const MINIMUM_RETRIES: u64 = 10;

/// Counters of the request path; all of them only rise.
#[derive(Debug, Default)]
pub struct RequestPathState {
    /// Requests begun.
    pub started: AtomicU64,
    /// Requests whose whole answer was delivered.
    pub completed: AtomicU64,
    /// Requests that were not run.
    pub not_run: AtomicU64,
    /// Requests that may have run, without a whole answer.
    pub unknown: AtomicU64,
    /// Requests given up by their callers.
    pub abandoned: AtomicU64,
    /// Requests passed to a legacy upstream.
    pub passed_through: AtomicU64,
    /// Requests sent to an engine, each attempt counted.
    pub dispatched: AtomicU64,
    /// Dispatches after the first of a request.
    pub retried: AtomicU64,
    /// Streams taken up again at their engine.
    pub resumed: AtomicU64,
    /// Answers continued on another engine.
    pub continued: AtomicU64,
    /// Stream events dropped because they were repeated or belonged to another request.
    pub dropped_events: AtomicU64,
    /// Tokens passed on to callers.
    pub tokens: AtomicU64,
}

impl RequestPathState {
    /// Adds one to `counter`.
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes one retry from the budget: `percent` of the requests begun.
    pub fn take_retry(&self, percent: u32) -> bool {
        let started = self.started.load(Ordering::Relaxed);
        let allowed = started * u64::from(percent) / 100 + MINIMUM_RETRIES;
        let taken = self
            .retried
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |retried| {
                (retried < allowed).then_some(retried + 1)
            });
        taken.is_ok()
    }
}
