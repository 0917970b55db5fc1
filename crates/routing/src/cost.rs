//! The cost of serving a request at an engine, in microseconds.

use driftspring_directory::Overlap;

use crate::candidate::ZoneDistance;
use crate::load::LoadEstimate;

/// How much the parts of the cost count.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostWeights {
    /// Waiting for work that the engine already has.
    pub waiting: f64,
    /// Computing the missing part of the prompt. Above 1 it also counts what this costs others.
    pub recompute: f64,
    /// The way to the engine and back.
    pub distance: f64,
}

impl CostWeights {
    /// For users who weigh tail time to first token most.
    pub const TAIL_LATENCY: Self = Self {
        waiting: 1.0,
        recompute: 1.0,
        distance: 1.0,
    };

    /// For users who weigh wasted recomputation most.
    pub const RECOMPUTATION: Self = Self {
        waiting: 1.0,
        recompute: 2.0,
        distance: 1.0,
    };
}

/// The cost of one candidate, in weighted microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Cost(pub f64);

/// The cost function.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    /// Time to compute one prompt token, in microseconds.
    pub prefill_microseconds_per_token: f64,
    /// The weights.
    pub weights: CostWeights,
}

impl CostModel {
    /// The cost of a prompt of `prompt_tokens`, of which the engine probably has `overlap`.
    pub fn cost(
        &self,
        prompt_tokens: u32,
        overlap: Overlap,
        load: &LoadEstimate,
        distance: ZoneDistance,
    ) -> Cost {
        let missing_tokens = f64::from(prompt_tokens.saturating_sub(overlap.tokens()));
        let waiting = load.pending_prefill_tokens * self.prefill_microseconds_per_token;
        let recompute = missing_tokens * self.prefill_microseconds_per_token;
        let round_trip = 2.0 * distance.0.as_secs_f64() * 1e6;
        Cost(
            self.weights.waiting * waiting
                + self.weights.recompute * recompute
                + self.weights.distance * round_trip,
        )
    }
}
