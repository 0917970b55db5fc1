//! Statistics of the waits of requests at a replica.
//!
//! The mean of the waits and their mean deviation are kept in the way TCP estimates its round-trip time (RFC
//! 6298), so that a single sample moves the estimate only in part. Past samples decay while nothing is sent.

use std::time::Duration;

use driftspring_clock::Instant;

/// Weight of one sample in the mean and in the deviation. A gateway sees about one start a second of each
/// replica, and as many from each peer (operator's sheets). With a quarter, the last four samples dominate.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Number of mean deviations that are added to the mean to get the wait that few requests exceed.
const DEVIATION_FACTOR: f64 = 2.0;

/// Half-life of past samples. A queue of seconds drains within seconds, and between two samples, about a second
/// apart, no more than a fifth of the weight is lost.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Statistics of the waits of requests of one urgency.
#[derive(Debug, Clone, Copy)]
pub struct WaitStatistics {
    mean_s: f64,
    deviation_s: f64,
    updated_at: Instant,
}

impl WaitStatistics {
    /// Initial statistics: no wait at all.
    pub fn zero(now: Instant) -> Self {
        Self {
            mean_s: 0.0,
            deviation_s: 0.0,
            updated_at: now,
        }
    }

    /// The statistics with the decay up to `now` applied.
    pub fn decayed(self, now: Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Self {
            mean_s: self.mean_s * decay,
            deviation_s: self.deviation_s * decay,
            updated_at: now,
        }
    }

    /// Adds one sample, after the decay of the earlier ones.
    pub fn add_sample(&mut self, wait: Duration, now: Instant) {
        *self = self.decayed(now);
        let error_s = wait.as_secs_f64() - self.mean_s;
        self.deviation_s += SAMPLE_WEIGHT * (error_s.abs() - self.deviation_s);
        self.mean_s += SAMPLE_WEIGHT * error_s;
        self.updated_at = now;
    }

    /// The wait that about half of the requests exceed.
    pub fn typical(self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// The wait that few requests exceed.
    pub fn expected(self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATION_FACTOR * self.deviation_s)
    }
}
