//! The token bucket of the permits for one replica.

use std::time::Duration;

use driftspring_clock::Instant;

/// The time for which permits accumulate beyond the first one. Requests arrive in bursts, and a full bucket
/// loses what accrues. With this value at most 4.5 times the limit plus 1 requests are sent in 4 s, where the
/// platform tolerates 6 times plus 5.
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// A token bucket with a refill rate that may change.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// An empty bucket, since it is not known what was sent before it existed.
    pub fn empty(now: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: now,
        }
    }

    /// Takes one permit, with a refill rate of `per_second`.
    ///
    /// # Errors
    ///
    /// No permit is available before the returned time has passed.
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
