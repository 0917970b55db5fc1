//! Simpler policies, for comparison and as an operator's fallback.

use std::sync::atomic::{AtomicUsize, Ordering};

use driftspring_directory::Overlap;
use driftspring_prefix::{BlockHash, Fingerprint};
use rand::Rng;

use crate::candidate::{Candidate, Decision, DecisionReason};
use crate::cost::Cost;
use crate::placement::score;

/// A baseline policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Baseline {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the least pending prompt tokens; at random among equals.
    LeastLoaded,
    /// The first engine, by rendezvous hashing of the prompt's first blocks, whose load is bounded.
    Rendezvous {
        /// How many leading blocks are hashed.
        depth_blocks: usize,
        /// An engine with more than this many times the mean load is passed over.
        load_bound: f64,
    },
}

/// Chooses by a baseline policy.
#[derive(Debug)]
pub struct BaselineScheduler {
    policy: Baseline,
    turn: AtomicUsize,
}

/// One request's worth of load, so that idle engines are not passed over for their first request.
const SLACK_TOKENS: f64 = 512.0;

impl BaselineScheduler {
    /// A scheduler whose round robin starts at `first_turn`.
    pub fn new(policy: Baseline, first_turn: usize) -> Self {
        Self {
            policy,
            turn: AtomicUsize::new(first_turn),
        }
    }

    /// Chooses one of `candidates`; nothing where there is none.
    pub fn choose(
        &self,
        fingerprint: &Fingerprint,
        candidates: &[Candidate],
        random: &mut impl Rng,
    ) -> Option<Decision> {
        if candidates.is_empty() {
            return None;
        }
        let index = match self.policy {
            Baseline::RoundRobin => self.turn.fetch_add(1, Ordering::Relaxed) % candidates.len(),
            Baseline::LeastLoaded => least_loaded(candidates, random)?,
            Baseline::Rendezvous {
                depth_blocks,
                load_bound,
            } => rendezvous(node_at(fingerprint, depth_blocks), load_bound, candidates)?,
        };
        Some(Decision {
            index,
            overlap: Overlap::default(),
            cost: Cost::default(),
            reason: DecisionReason::Baseline,
            compared: candidates.len(),
        })
    }
}

fn least_loaded(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let start = random.random_range(0..candidates.len());
    let rotated = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
    rotated.min_by(|one, other| load_of(&candidates[*one]).total_cmp(&load_of(&candidates[*other])))
}

fn rendezvous(node: BlockHash, load_bound: f64, candidates: &[Candidate]) -> Option<usize> {
    let total: f64 = candidates.iter().map(load_of).sum();
    let bound = total / candidates.len() as f64 * load_bound + SLACK_TOKENS;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| std::cmp::Reverse(score(node, candidates[*index].key)));
    let within = |index: &&usize| load_of(&candidates[**index]) <= bound;
    order.iter().find(within).or(order.first()).copied()
}

fn node_at(fingerprint: &Fingerprint, depth_blocks: usize) -> BlockHash {
    let last = fingerprint.blocks.len().min(depth_blocks).checked_sub(1);
    last.map_or(BlockHash(0), |last| fingerprint.blocks[last])
}

fn load_of(candidate: &Candidate) -> f64 {
    candidate.load.pending_prefill_tokens
}
