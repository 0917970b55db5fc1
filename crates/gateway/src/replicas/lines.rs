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
const LEAST_BEGINS: f64 = 3.0;

/// How often requests began lately.
#[derive(Debug, Clone, Copy)]
pub struct Begins {
    weight: f64,
    at: Instant,
}

impl Begins {
    /// None so far.
    pub fn none(now: Instant) -> Self {
        Self {
            weight: 0.0,
            at: now,
        }
    }

    /// What is left at `now` of the begins so far: each counts less the longer ago it was.
    pub fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.weight * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Takes in that a request began.
    pub fn note(&mut self, now: Instant) {
        self.weight = self.weight(now) + 1.0;
        self.at = now;
    }
}

/// The line at one replica, as far as this gateway sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Requests that wait and go before the one in question, or beside it.
    pub waiting: usize,
    /// The weight of recent begins, of any urgency.
    pub begins: f64,
}

/// How long a request will wait that goes to one of the replicas with these lines, whichever that is; nothing where too
/// few have begun to tell.
pub fn wait_together(lines: impl Iterator<Item = Line>) -> Duration {
    let (mut waiting, mut begins) = (0, 0.0);
    for line in lines {
        waiting += line.waiting;
        begins += line.begins;
    }
    if begins < LEAST_BEGINS {
        return Duration::ZERO;
    }
    let a_second = begins * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
    Duration::from_secs_f64(waiting as f64 / a_second)
}
