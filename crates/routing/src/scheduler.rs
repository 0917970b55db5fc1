//! The choice among the candidates of one request.

use std::time::Duration;

use driftspring_directory::Overlap;
use driftspring_prefix::{BlockHash, Fingerprint};
use xxhash_rust::xxh3::xxh3_64;

use crate::candidate::{Candidate, Decision, DecisionReason};
use crate::cost::{Cost, CostModel, PlacementRank};
use crate::heat::{HeatSettings, HeatTracker};
use crate::placement::{Placement, PlacementSettings};

/// Candidates compared by default.
const DEFAULT_COMPARED: usize = 6;

/// How the scheduler weighs engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerSettings {
    /// The cost function.
    pub cost: CostModel,
    /// How prefixes spread.
    pub placement: PlacementSettings,
    /// How heat is tracked.
    pub heat: HeatSettings,
    /// Candidates compared, those with the best claim to the prefix first.
    pub compared: usize,
}

impl SchedulerSettings {
    /// The settings for engines that compute a prompt token in `prefill_microseconds_per_token`.
    pub fn new(prefill_microseconds_per_token: f64) -> Self {
        Self {
            cost: CostModel::new(prefill_microseconds_per_token),
            placement: PlacementSettings::default(),
            heat: HeatSettings::default(),
            compared: DEFAULT_COMPARED,
        }
    }
}

/// Chooses engines by placement, residency, load and distance.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    heat: HeatTracker,
}

/// One compared candidate.
#[derive(Debug, Clone, Copy)]
struct Compared {
    index: usize,
    overlap: Overlap,
    cost: Cost,
}

impl Scheduler {
    /// A scheduler that has seen no traffic.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            heat: HeatTracker::new(settings.heat),
            settings,
        }
    }

    /// Bytes of memory held.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.heat.memory_bytes()
    }

    /// Chooses one of `candidates`, all of which may serve the request; nothing where there is none.
    ///
    /// `pool` names the traffic that the candidates share, such as the model's. `overlap_of` tells
    /// what the candidate at a position has cached of the prompt. `now` is the time since the
    /// daemon's start.
    pub fn choose(
        &self,
        pool: &str,
        fingerprint: &Fingerprint,
        candidates: &[Candidate],
        overlap_of: impl Fn(usize) -> Overlap,
        now: Duration,
    ) -> Option<Decision> {
        let settings = &self.settings;
        let traffic = BlockHash(xxh3_64(pool.as_bytes()));
        let placement = Placement::of(
            &settings.placement,
            &self.heat,
            traffic,
            fingerprint,
            candidates,
            now,
        );
        let ranked = placement.order.iter().take(settings.compared).enumerate();
        let compared: Vec<Compared> = ranked
            .map(|(rank, index)| {
                let placement = PlacementRank {
                    rank,
                    is_home: rank < placement.shared_width,
                };
                let overlap = overlap_of(*index);
                let candidate = &candidates[*index];
                self.compare(fingerprint, candidate, *index, overlap, placement)
            })
            .collect();
        decide(&compared)
    }

    fn compare(
        &self,
        fingerprint: &Fingerprint,
        candidate: &Candidate,
        index: usize,
        overlap: Overlap,
        placement: PlacementRank,
    ) -> Compared {
        let cost = self.settings.cost.placed_cost(
            fingerprint.prompt_tokens,
            overlap,
            &candidate.load,
            candidate.distance,
            placement,
        );
        Compared {
            index,
            overlap,
            cost,
        }
    }
}

/// The cheapest; among equals the first, so that the home wins ties.
fn decide(compared: &[Compared]) -> Option<Decision> {
    let home = compared.first()?;
    let cheapest = compared
        .iter()
        .min_by(|one, other| one.cost.0.total_cmp(&other.cost.0))?;
    let reason = if cheapest.index == home.index {
        DecisionReason::Home
    } else if cheapest.overlap.blocks > home.overlap.blocks {
        DecisionReason::Resident
    } else {
        DecisionReason::Spill
    };
    Some(Decision {
        index: cheapest.index,
        overlap: cheapest.overlap,
        cost: cheapest.cost,
        reason,
        compared: compared.len(),
    })
}
