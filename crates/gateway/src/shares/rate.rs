//! The rate of work, and the mean wait, over the recent past.

use std::time::Duration;

/// The window over which the rate is averaged: that of the reports of other gateways.
const WINDOW: Duration = crate::quota::group_use::AVERAGING_WINDOW;

/// Work that decays exponentially with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    amount: f64,
    updated_at: Duration,
}

impl Rate {
    fn decayed(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.amount * (-passed / WINDOW.as_secs_f64()).exp()
    }

    /// Adds work at `now`.
    pub fn add(&mut self, work: u64, now: Duration) {
        self.amount = self.decayed(now) + work as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Work per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / WINDOW.as_secs_f64()
    }
}

/// The window over which waits are averaged: a few updates of the shares, so that the shares follow the queues closely.
const WAIT_WINDOW: Duration = Duration::from_millis(500);

/// The number of recent waits below which their mean says nothing.
const MIN_RECENT_WAITS: f64 = 2.0;

/// The waits of requests that began, weighted by an exponential decay. Unlike a prediction from the number of queued
/// requests and the rate of starts, they do not rise when the load rises to what the service can run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentWaits {
    sum_s: f64,
    count: f64,
    updated_at: Duration,
}

impl RecentWaits {
    fn decay(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        (-passed / WAIT_WINDOW.as_secs_f64()).exp()
    }

    /// Adds a wait at `now`.
    pub fn add(&mut self, wait: Duration, now: Duration) {
        let decay = self.decay(now);
        self.sum_s = self.sum_s * decay + wait.as_secs_f64();
        self.count = self.count * decay + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    /// The mean; `None` if too few requests began recently.
    pub fn mean(&self, now: Duration) -> Option<Duration> {
        let count = self.count * self.decay(now);
        (count >= MIN_RECENT_WAITS).then(|| Duration::from_secs_f64(self.sum_s / self.count))
    }
}
