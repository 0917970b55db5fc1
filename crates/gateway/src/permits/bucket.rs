//! The permits for one replica: a token bucket.

use std::time::Duration;

use driftspring_clock::Instant;

/// The time for which permits are saved up beyond one: requests come in lumps, and a bucket that is full loses what comes. With it
/// at most 4.5 times the limit and 1 are sent in 4 s, where the platform bears 6 times and 5.
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// A token bucket, which is filled at a rate that may change.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// An empty one: what was sent before it was there is not known.
    pub fn empty(now: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: now,
        }
    }

    /// Takes a permit at this rate, in permits a second.
    ///
    /// # Errors
    ///
    /// There is none before this time has passed.
    pub fn try_take(&mut self, per_second: f64, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let capacity = 1.0 + per_second * BURST_WINDOW.as_secs_f64();
        self.level = (self.level + elapsed.as_secs_f64() * per_second).min(capacity);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.level) / per_second.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }
}
