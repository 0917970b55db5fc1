//! Which engines a prompt's prefix belongs to: rendezvous hashing, nested along the prefix.
//!
//! Every prefix node gets as many engines as its share of the traffic is worth, the highest-scoring
//! ones *among the engines of the node before it*. A hot root spreads over many engines, each of the
//! prefixes below it over a part of those, and a cold one stays on a single engine. So the blocks of
//! a shared prefix are computed on as few engines as its traffic allows. Daemons that see the same
//! shares place alike without a message; where the shares differ a little, one set contains the
//! other.
//!
//! The nearest engines are placed first and the others come after them: requests of one session
//! reach one zone, so its prefix need not be in the others.

use std::time::Duration;

use driftspring_prefix::{BlockHash, Fingerprint};

use crate::candidate::{Candidate, EngineKey};
use crate::heat::HeatTracker;

/// How wide prefixes spread.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// Engines per fair share: at 1.0 a prefix with a third of the traffic gets a third of the nearest
    /// engines. More gives the choice room to avoid a busy one, and costs a copy per engine.
    pub spread: f64,
    /// Shares are measured against at least this many requests, so that the first requests after a
    /// start do not look hot.
    pub least_total: f64,
    /// Whether hot prefixes get more than one engine.
    pub widen: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            spread: 6.0,
            least_total: 32.0,
            widen: true,
        }
    }
}

/// A decayed count above this means that the node was seen before.
const LEAST_SEEN: f64 = 0.1;

/// Candidates in the order of their claim to a prompt: first the home, then those that the last hot
/// node spreads over, then those of the node before it, and so on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Positions of the candidates.
    pub order: Vec<usize>,
    /// How many of `order` belong to the deepest node.
    pub width: usize,
    /// How many of `order` belong to the deepest node seen before.
    pub shared_width: usize,
}

impl Placement {
    /// Places the prompt of `fingerprint` and counts it in `heat`. `traffic` names all traffic for
    /// these candidates.
    pub fn of(
        settings: &PlacementSettings,
        heat: &HeatTracker,
        traffic: BlockHash,
        fingerprint: &Fingerprint,
        candidates: &[Candidate],
        now: Duration,
    ) -> Self {
        let total = heat.observe(traffic, now).max(settings.least_total);
        let mut placement = Self {
            order: (0..candidates.len()).collect(),
            width: candidates.len(),
            shared_width: candidates.len(),
        };
        let near = placement.begin_with_nearest(candidates);
        for block in &fingerprint.blocks {
            // The request itself says nothing about the traffic to come.
            let earlier = heat.observe(*block, now) - 1.0;
            let width = settings.width(earlier / total, near);
            placement.narrow(width, *block, candidates);
            if earlier > LEAST_SEEN {
                placement.shared_width = placement.width;
            }
        }
        placement
    }

    /// Puts the nearest candidates first; returns how many there are.
    fn begin_with_nearest(&mut self, candidates: &[Candidate]) -> usize {
        let distance_of = |index: &usize| candidates[*index].distance;
        self.order.sort_by_key(distance_of);
        let nearest = self.order.first().map(distance_of);
        let is_near = |index: &&usize| Some(distance_of(index)) == nearest;
        self.width = self.order.iter().filter(is_near).count();
        self.shared_width = self.width;
        self.width
    }

    /// Keeps the `width` highest-scoring engines of `node` among the present ones.
    fn narrow(&mut self, width: usize, node: BlockHash, candidates: &[Candidate]) {
        if width >= self.width {
            return;
        }
        let present = &mut self.order[..self.width];
        present.sort_by_cached_key(|index| std::cmp::Reverse(score(node, candidates[*index].key)));
        self.width = width;
    }
}

impl PlacementSettings {
    /// The number of engines for a node with `share` of the traffic.
    fn width(&self, share: f64, engines: usize) -> usize {
        if !self.widen {
            return 1;
        }
        let fair = share * engines as f64 * self.spread;
        (fair.ceil() as usize).clamp(1, engines.max(1))
    }
}

/// The rendezvous score of an engine for a node.
pub fn score(node: BlockHash, engine: EngineKey) -> u64 {
    let mut mixed = node.0 ^ engine.0.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
