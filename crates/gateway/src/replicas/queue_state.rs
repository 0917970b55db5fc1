//! How long requests wait at all replicas of a service together.
//!
//! What one replica's requests waited is learnt once they begin, which is late by that very wait: while lines grow, more is
//! sent as if it were in time, and a line stands there from then on that only shrinks when less comes than is worked off.
//! The number of requests that wait, divided by how many begin in a second, tells at once how long the next one will wait
//! (Little's law), where it is counted over all replicas: at one of them a gateway sees too few.
//!
//! The load pattern: replicas are gone, or traffic rises, within a second, and the rest can't bear it.

use std::time::Duration;

use driftspring_clock::Instant;

/// The time in which a begin loses half of its weight. It is as long as a wait that is still in time, so that the rate
/// is that of the present line.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The weight of recent begins below which nothing is told of the rate.
const MIN_RECENT_STARTS: f64 = 3.0;

/// How often requests began lately.
#[derive(Debug, Clone, Copy)]
pub struct RecentStarts {
    count: f64,
    at: Instant,
}

impl RecentStarts {
    /// None so far.
    pub fn none(now: Instant) -> Self {
        Self {
            count: 0.0,
            at: now,
        }
    }

    /// What is left at `now` of the begins so far: each counts less the longer ago it was.
    pub fn decayed_count(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Takes in that a request began.
    pub fn record_start(&mut self, now: Instant) {
        self.count = self.decayed_count(now) + 1.0;
        self.at = now;
    }
}

/// The line at one replica, as far as this gateway sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueState {
    /// Requests that wait and go before the one in question, or beside it.
    pub queued: usize,
    /// The weight of recent begins, of any urgency.
    pub recent_starts: f64,
}

/// How long a request will wait that goes to one of the replicas with these lines, whichever that is; nothing where too
/// few have begun to tell.
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
