//! Separates the replicas that prefill long prompts from the others.

use driftspring_clock::Instant;

use super::{PromptProfile, bounded};

/// Cost of a replica on the side that is not meant for the prompt.
const OTHER_SIDE_COST_MS: f64 = 100.0;

/// What separates the replicas for long prompts from the others; shared by all requests of a service for a moment.
#[derive(Debug, Clone, Default)]
pub struct Separation {
    share: f64,
    replicas: usize,
}

impl Separation {
    /// `demand`: share of one replica's time that long prompts of the service take, over all gateways (30 = thirty
    /// replicas fully busy).
    pub fn update(&mut self, demand: f64, replicas: usize, _now: Instant) {
        let wanted = 2.0 * bounded(demand, replicas as f64);
        self.replicas = replicas;
        self.share = match replicas {
            0 => 0.0,
            count => bounded(wanted / count as f64, 1.0),
        };
    }

    /// Replicas that are reserved for long prompts.
    pub fn reserved_replicas(&self) -> f64 {
        self.share * self.replicas as f64
    }

    /// Cost in milliseconds of a replica for this prompt because of the side it is on.
    pub fn cost_ms(&self, id_hash: u64, profile: &PromptProfile) -> f64 {
        if profile.service_pause_target.is_none() || self.share <= 0.0 {
            return 0.0;
        }
        let position = id_hash as f64 / u64::MAX as f64;
        let is_for_long = position < self.share;
        if is_for_long == profile.is_long() {
            0.0
        } else {
            OTHER_SIDE_COST_MS
        }
    }
}
