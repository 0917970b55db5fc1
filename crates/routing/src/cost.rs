//! The cost of serving a request at an engine, in microseconds.

use driftspring_directory::Overlap;

use crate::candidate::ZoneDistance;
use crate::load::LoadEstimate;

/// How much the parts of the cost count.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostWeights {
    /// Waiting for work that the engine already has.
    pub waiting: f64,
    /// Computing the missing part of the prompt.
    pub recompute: f64,
    /// The way to the engine and back.
    pub distance: f64,
}

impl Default for CostWeights {
    /// Missing tokens count twice: they also delay the requests that come next. In the comparison this lowers
    /// the recomputation *and* the tail, so both users are served by the same weights.
    fn default() -> Self {
        Self {
            waiting: 1.0,
            recompute: 2.0,
            distance: 1.0,
        }
    }
}

/// The cost of one candidate, in weighted microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Cost(pub f64);

/// The cost function.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    /// Time to compute one prompt token, in microseconds.
    pub prefill_microseconds_per_token: f64,
    /// Work that an open request still takes from the others of its engine, in microseconds.
    pub microseconds_per_open_request: f64,
    /// The share of the missing tokens that a home probably has after all: other daemons send the same
    /// prefixes there without this daemon's knowledge.
    pub home_prior: f64,
    /// What each rank in the placement adds, in microseconds: a request away from its home makes another
    /// copy of its prefix, and other daemons look for it at the home.
    pub microseconds_per_rank: f64,
    /// The weights.
    pub weights: CostWeights,
}

/// An engine's place in the claim to a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRank {
    /// 0 for the home, then rising.
    pub rank: usize,
    /// Whether the prompt's deepest known prefix belongs to the engine.
    pub is_home: bool,
}

impl CostModel {
    /// The model for engines that compute a prompt token in `prefill_microseconds_per_token`.
    pub fn new(prefill_microseconds_per_token: f64) -> Self {
        Self {
            prefill_microseconds_per_token,
            microseconds_per_open_request: 3_000.0,
            home_prior: 0.6,
            microseconds_per_rank: 3_000.0,
            weights: CostWeights::default(),
        }
    }
}

impl CostModel {
    /// The cost of a prompt of `prompt_tokens`, of which the engine probably has `overlap`, whatever
    /// its placement.
    pub fn cost(
        &self,
        prompt_tokens: u32,
        overlap: Overlap,
        load: &LoadEstimate,
        distance: ZoneDistance,
    ) -> Cost {
        let missing_tokens = f64::from(prompt_tokens.saturating_sub(overlap.tokens()));
        self.total(missing_tokens, load, distance)
    }

    /// The cost under the engine's placement.
    pub fn placed_cost(
        &self,
        prompt_tokens: u32,
        overlap: Overlap,
        load: &LoadEstimate,
        distance: ZoneDistance,
        placement: PlacementRank,
    ) -> Cost {
        let unknown_tokens = f64::from(prompt_tokens.saturating_sub(overlap.tokens()));
        let prior = if placement.is_home {
            self.home_prior
        } else {
            0.0
        };
        let missing_tokens = unknown_tokens * (1.0 - prior);
        let base = self.total(missing_tokens, load, distance);
        Cost(base.0 + self.microseconds_per_rank * placement.rank as f64)
    }

    fn total(&self, missing_tokens: f64, load: &LoadEstimate, distance: ZoneDistance) -> Cost {
        let waiting = load.pending_prefill_tokens * self.prefill_microseconds_per_token
            + load.open_requests * self.microseconds_per_open_request;
        let recompute = missing_tokens * self.prefill_microseconds_per_token;
        let round_trip = 2.0 * distance.0.as_secs_f64() * 1e6;
        Cost(
            self.weights.waiting * waiting
                + self.weights.recompute * recompute
                + self.weights.distance * round_trip,
        )
    }
}
