//! Separates the replicas that prefill long prompts from the others.
//!
//! A replica's position on the unit interval follows from its id, so it is the same at every gateway. Positions below
//! the border are preferred for long prompts and avoided by short ones. The border follows the demand of long prompts,
//! and converges to the same value at all gateways that know the same demand, whatever they knew before.

use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{PromptProfile, bounded};

/// Replicas for long prompts per replica that they keep fully busy. Prompts that queue on a side that is too small are
/// late by seconds, so this side is at most half used.
const HEADROOM: f64 = 2.0;

/// Greatest share of the replicas that is preferred for long prompts; the others have to carry the short ones.
const MAX_SHARE: f64 = 0.6;

/// Half-life of the difference to a higher demand: a burst of long prompts lasts for a second or more.
const RISE_HALF_LIFE: Duration = Duration::from_millis(200);

/// Half-life of the difference to a lower demand. It exceeds the second over which demand is measured, so that the
/// scatter of the measured values does not move the border to and fro.
const FALL_HALF_LIFE: Duration = Duration::from_secs(3);

/// Width of the range around the border in which the cost changes gradually: gateways whose values differ by a little
/// then compute costs that differ by a little.
const BORDER_WIDTH: f64 = 0.1;

/// Cost of a replica that is clearly on the other side: half the time to prefill a long prompt. A request spills over
/// when its own side is busier by more than this. With 80 ms and more, more long prompts leave the replicas that have
/// their shared part cached.
const OTHER_SIDE_COST_MS: f64 = 40.0;

/// Seed of the hash that gives a replica its position, so that it is independent of the ranks for a placement key.
const POSITION_SEED: u64 = 1;

/// What separates the replicas for long prompts from the others; shared by all requests of a service for a moment.
#[derive(Debug, Clone, Default)]
pub struct Separation {
    /// Share of the replicas that is preferred for long prompts.
    share: f64,
    replicas: usize,
    updated_at: Option<Instant>,
}

impl Separation {
    /// `demand`: share of one replica's time that long prompts of the service take, over all gateways (30 = thirty
    /// replicas fully busy).
    pub fn update(&mut self, demand: f64, replicas: usize, now: Instant) {
        let wanted = match replicas {
            0 => 0.0,
            count => bounded(wanted_replicas(demand) / count as f64, MAX_SHARE),
        };
        self.replicas = replicas;
        let Some(updated_at) = self.updated_at.replace(now) else {
            self.share = wanted;
            return;
        };
        let half_life = if wanted > self.share {
            RISE_HALF_LIFE
        } else {
            FALL_HALF_LIFE
        };
        let age = now.saturating_duration_since(updated_at);
        let kept = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
        self.share = wanted + (self.share - wanted) * kept;
    }

    /// Replicas that are preferred for long prompts, on average over the possible ids.
    pub fn reserved_replicas(&self) -> f64 {
        self.share * self.replicas as f64
    }

    /// Whether the replica is on the side that the prompt prefers; true where nothing is separated.
    pub fn prefers(&self, id_hash: u64, profile: &PromptProfile) -> bool {
        self.cost_ms(id_hash, profile) <= OTHER_SIDE_COST_MS / 2.0
    }

    /// Cost in milliseconds of a replica for this prompt because of the side it is on.
    pub fn cost_ms(&self, id_hash: u64, profile: &PromptProfile) -> f64 {
        if profile.target().is_none() || self.share <= 0.0 {
            return 0.0;
        }
        let beyond_border = position(id_hash) - self.share;
        let cost_for_long = (0.5 + beyond_border / BORDER_WIDTH).clamp(0.0, 1.0);
        if profile.is_long() {
            OTHER_SIDE_COST_MS * cost_for_long
        } else {
            OTHER_SIDE_COST_MS * (1.0 - cost_for_long)
        }
    }
}

/// Replicas that long prompts should get. The number below a border scatters, as positions are random; one standard
/// deviation is added because a side that is too small is the worse error.
fn wanted_replicas(demand: f64) -> f64 {
    let needed = HEADROOM * demand.max(0.0);
    needed + needed.sqrt()
}

/// Position of a replica between 0 and 1.
fn position(id_hash: u64) -> f64 {
    xxh3_64_with_seed(&id_hash.to_le_bytes(), POSITION_SEED) as f64 / u64::MAX as f64
}
