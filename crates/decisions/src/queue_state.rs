//! The queue wait over all replicas of a service together.
//!
//! The wait at one replica becomes known only when a request starts, which is late by that very wait. While
//! queues grow, more requests are sent as if they were in time, and the resulting queue only shrinks once fewer
//! requests arrive than are processed. The number of queued requests divided by the rate of starts predicts the
//! wait of the next request at once (Little's law). It is computed over all replicas, because a gateway sees
//! too few starts at a single one.
//!
//! This matters where replicas are lost or traffic rises within a second, and the remaining replicas can't
//! carry the load.

use std::time::Duration;

use driftspring_clock::Instant;

/// Half-life of a start. It is as long as a wait that still meets the objective, so that the rate is that of
/// the present queue.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Decayed number of recent starts below which no rate is derived from them.
const MIN_RECENT_STARTS: f64 = 3.0;

/// Exponentially decayed count of the requests that started at a replica.
#[derive(Debug, Clone, Copy)]
pub struct RecentStarts {
    count: f64,
    updated_at: Instant,
}

impl RecentStarts {
    /// A count of zero.
    pub fn none(now: Instant) -> Self {
        Self {
            count: 0.0,
            updated_at: now,
        }
    }

    /// The decayed count at `now`: each start counts less the longer ago it was.
    pub fn decayed_count(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.count * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Records that a request has started.
    pub fn record_start(&mut self, now: Instant) {
        self.count = self.decayed_count(now) + 1.0;
        self.updated_at = now;
    }
}

/// The queue at one replica, as far as this gateway sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueState {
    /// Queued requests that start before the one in question, or are as urgent.
    pub queued: usize,
    /// Decayed count of recent starts of any urgency.
    pub recent_starts: f64,
}

/// The expected wait of a request that goes to any of the replicas with these queues; zero if too few requests
/// have started to tell.
pub fn service_queue_wait(queues: impl Iterator<Item = QueueState>) -> Duration {
    let (mut queued, mut recent_starts) = (0, 0.0);
    for queue in queues {
        queued += queue.queued;
        recent_starts += queue.recent_starts;
    }
    if recent_starts < MIN_RECENT_STARTS {
        return Duration::ZERO;
    }
    let starts_per_second = recent_starts * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
    Duration::from_secs_f64(queued as f64 / starts_per_second)
}
