//! The choice among the candidates of one request.

use std::time::Duration;

use driftspring_directory::Overlap;
use driftspring_prefix::{BlockHash, Fingerprint};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::candidate::{Candidate, Decision, DecisionReason};
use crate::cost::{Cost, CostModel};
use crate::heat::{HeatSettings, HeatTracker};
use crate::placement::{Placement, PlacementSettings};

/// How the scheduler weighs engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerSettings {
    /// The cost function.
    pub cost: CostModel,
    /// How prefixes spread.
    pub placement: PlacementSettings,
    /// How heat is tracked.
    pub heat: HeatSettings,
    /// Candidates compared by their claim to the prefix.
    pub compared_by_placement: usize,
    /// Further candidates drawn at random, so that load can leave a crowded prefix.
    pub compared_at_random: usize,
    /// What leaving the home costs, in microseconds: it makes a second copy of the prefix, and other
    /// daemons look for it at the home.
    pub leave_home_microseconds: f64,
}

/// Chooses engines for one model.
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
    /// `overlap_of` tells what the candidate at a position has cached of the prompt; `now` is the
    /// time since the daemon's start; `pool` names the set of engines that the traffic is shared by.
    pub fn choose(
        &self,
        pool: &str,
        fingerprint: &Fingerprint,
        candidates: &[Candidate],
        overlap_of: impl Fn(usize) -> Overlap,
        now: Duration,
        random: &mut impl Rng,
    ) -> Option<Decision> {
        let traffic = BlockHash(xxh3_64(pool.as_bytes()));
        let placement = Placement::of(
            &self.settings.placement,
            &self.heat,
            traffic,
            fingerprint,
            candidates,
            now,
        );
        let home = *placement.order.first()?;
        let compared: Vec<Compared> = self
            .positions(&placement, random)
            .map(|index| {
                let overlap = overlap_of(index);
                let cost = self.cost(fingerprint, &candidates[index], overlap, index == home);
                Compared {
                    index,
                    overlap,
                    cost,
                }
            })
            .collect();
        decide(home, &compared)
    }

    /// The candidates to compare, the home first.
    fn positions<'a>(
        &self,
        placement: &'a Placement,
        random: &'a mut impl Rng,
    ) -> impl Iterator<Item = usize> + 'a {
        let count = placement.order.len();
        let by_placement = self.settings.compared_by_placement.min(count);
        let others = count - by_placement;
        let at_random = self.settings.compared_at_random.min(others);
        let drawn = (0..at_random).map(move |_| random.random_range(by_placement..count));
        (0..by_placement)
            .chain(drawn)
            .map(|position| placement.order[position])
    }

    fn cost(
        &self,
        fingerprint: &Fingerprint,
        candidate: &Candidate,
        overlap: Overlap,
        is_home: bool,
    ) -> Cost {
        let prompt_tokens = fingerprint.prompt_tokens;
        let cost = &self.settings.cost;
        let own = cost.cost(prompt_tokens, overlap, &candidate.load, candidate.distance);
        if is_home {
            return own;
        }
        Cost(own.0 + self.settings.leave_home_microseconds)
    }
}

/// The cheapest; among equals the first, so that the home wins ties.
fn decide(home: usize, compared: &[Compared]) -> Option<Decision> {
    let home_overlap = compared.first()?.overlap;
    let cheapest = compared
        .iter()
        .min_by(|one, other| one.cost.0.total_cmp(&other.cost.0))?;
    let reason = if cheapest.index == home {
        DecisionReason::Home
    } else if cheapest.overlap.blocks > home_overlap.blocks {
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
