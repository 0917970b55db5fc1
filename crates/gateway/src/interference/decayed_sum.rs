//! A sum whose parts lose weight with age.

use std::time::Duration;

use driftspring_clock::Instant;

/// A sum of times that decays exponentially.
#[derive(Debug, Clone, Copy)]
pub struct DecayedSum {
    time_constant: Duration,
    seconds: f64,
    updated_at: Option<Instant>,
    /// When the first part was added.
    since: Option<Instant>,
}

impl DecayedSum {
    /// The least share of the time constant over which [`DecayedSum::share_since_first`] averages: a single part is not to
    /// count as many times what it is.
    const MIN_FILLED: f64 = 0.25;

    /// An empty sum; a part has 1/e of its weight left after `time_constant`.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            seconds: 0.0,
            updated_at: None,
            since: None,
        }
    }

    /// Adds a time that was spent at `now`.
    pub fn add(&mut self, time: Duration, now: Instant) {
        self.seconds = self.decayed(now) + time.as_secs_f64();
        let updated_at = self.updated_at.map_or(now, |known| known.max(now));
        self.updated_at = Some(updated_at);
        self.since.get_or_insert(now);
    }

    /// The added time per unit of the recent time: 1 if as much was added as has passed.
    pub fn share(&self, now: Instant) -> f64 {
        self.decayed(now) / self.time_constant.as_secs_f64()
    }

    /// The same, averaged over the time since the first part while that is short: nothing is known of the time before.
    pub fn share_since_first(&self, now: Instant) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let filled = 1.0 - self.weight(now.saturating_duration_since(since));
        self.share(now) / filled.max(Self::MIN_FILLED)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.seconds * self.weight(age)
    }

    fn weight(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
