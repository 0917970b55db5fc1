//! The time that a suspected member has to refute.

use std::time::Duration;

use rand::Rng;

use crate::config::GossipConfig;

/// A suspicion as timed by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// When the member is declared dead unless it refutes before.
    deadline: Duration,
    /// When this daemon asks the member again, where it is one of those that do.
    check_at: Option<Duration>,
}

impl Suspicion {
    /// A suspicion that begins now, in a zone of `zone_members` members.
    pub fn new(
        now: Duration,
        zone_members: usize,
        config: &GossipConfig,
        rng: &mut impl Rng,
    ) -> Self {
        let share = f64::from(config.suspicion_checks) / zone_members.max(1) as f64;
        let checks = rng.random_bool(share.min(1.0));
        let position = rng.random_range(0.0..0.6);
        Self {
            deadline: now + config.suspicion_timeout,
            check_at: checks.then(|| now + config.suspicion_timeout.mul_f64(position)),
        }
    }

    /// Whether the time to refute is over.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.deadline
    }

    /// Whether this daemon has to ask the member again now; true once.
    pub fn take_check(&mut self, now: Duration) -> bool {
        self.check_at.take_if(|check_at| now >= *check_at).is_some()
    }

    /// Moves all times on by `pause`, during which this process did not run.
    pub fn skip_pause(&mut self, pause: Duration) {
        self.deadline += pause;
        if let Some(check_at) = &mut self.check_at {
            *check_at += pause;
        }
    }
}
