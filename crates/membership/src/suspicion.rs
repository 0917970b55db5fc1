//! The time that a suspected member has to refute.

use std::time::Duration;

use rand::Rng;

use crate::config::GossipConfig;

/// How often each daemon of the zone asks a suspected member itself.
const CHECKS: u32 = 3;

/// A suspicion as timed by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    refutation: u64,
    /// When the member is declared dead unless it refutes before.
    deadline: Duration,
    /// When this daemon asks the member itself the next time.
    check_at: Duration,
    check_interval: Duration,
}

impl Suspicion {
    /// A suspicion of the member's state under `refutation` that begins now.
    pub fn new(now: Duration, refutation: u64, config: &GossipConfig, rng: &mut impl Rng) -> Self {
        let check_interval = config.suspicion_timeout / CHECKS;
        Self {
            refutation,
            deadline: now + config.suspicion_timeout,
            check_at: now + check_interval.mul_f64(rng.random_range(0.1..0.9)),
            check_interval,
        }
    }

    /// The refutation number of the suspected state.
    pub fn refutation(&self) -> u64 {
        self.refutation
    }

    /// Whether the time to refute is over.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.deadline
    }

    /// Whether this daemon has to ask the member itself now; true once per interval.
    pub fn take_check(&mut self, now: Duration) -> bool {
        let is_due = now >= self.check_at;
        if is_due {
            self.check_at += self.check_interval;
        }
        is_due
    }

    /// Moves all times on by `pause`, during which this process did not run.
    pub fn skip_pause(&mut self, pause: Duration) {
        self.deadline += pause;
        self.check_at += pause;
    }
}
