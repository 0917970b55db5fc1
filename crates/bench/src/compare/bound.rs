//! The hit rate that no router can exceed on a trace.
//!
//! All engines' caches are taken as one pool, in which a block is held only once, and evicted by a
//! policy that knows the whole future (Belady: the block whose next use is farthest away goes; a
//! block without a next use is not stored). Any assignment of requests to engines with any
//! eviction is a special case of what this pool may do, so its hit rate is an upper bound. It
//! ignores that work takes time, and crashes.

use std::collections::{BTreeSet, HashMap};

use driftspring_prefix::{BLOCK_TOKENS, BlockHash};

use super::request::SimulatedRequest;

/// A use of a block that never comes.
const NEVER: usize = usize::MAX;

/// Tokens of one request found in the ideal pool.
pub type HitTokens = Vec<u32>;

/// The tokens of each request that the ideal pool of `capacity_blocks` has cached.
pub fn ideal_hits<'a>(
    requests: impl Iterator<Item = &'a SimulatedRequest> + Clone,
    capacity_blocks: usize,
) -> HitTokens {
    let next_uses = next_uses(requests.clone());
    let mut pool = IdealPool::new(capacity_blocks);
    let mut uses = next_uses.into_iter();
    requests
        .map(|request| {
            let blocks = request.fingerprint.blocks.iter();
            let hits = blocks
                .zip(uses.by_ref())
                .filter(|(block, next_use)| pool.use_block(**block, *next_use))
                .count();
            hits as u32 * BLOCK_TOKENS
        })
        .collect()
}

/// For each use of a block, in order, the position of its next use.
fn next_uses<'a>(requests: impl Iterator<Item = &'a SimulatedRequest>) -> Vec<usize> {
    let blocks: Vec<BlockHash> = requests
        .flat_map(|request| request.fingerprint.blocks.iter().copied())
        .collect();
    let mut next_use_of: HashMap<BlockHash, usize> = HashMap::new();
    let mut next_uses = vec![NEVER; blocks.len()];
    for (position, block) in blocks.iter().enumerate().rev() {
        next_uses[position] = next_use_of.insert(*block, position).unwrap_or(NEVER);
    }
    next_uses
}

struct IdealPool {
    capacity: usize,
    next_use_of: HashMap<BlockHash, usize>,
    by_next_use: BTreeSet<(usize, BlockHash)>,
}

impl IdealPool {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next_use_of: HashMap::new(),
            by_next_use: BTreeSet::new(),
        }
    }

    /// Uses `block`, whose next use is at `next_use`; returns whether it was held.
    fn use_block(&mut self, block: BlockHash, next_use: usize) -> bool {
        let known = self.next_use_of.remove(&block);
        if let Some(position) = known {
            self.by_next_use.remove(&(position, block));
        }
        if next_use != NEVER {
            self.next_use_of.insert(block, next_use);
            self.by_next_use.insert((next_use, block));
            self.evict_above_capacity();
        }
        known.is_some()
    }

    fn evict_above_capacity(&mut self) {
        if self.by_next_use.len() <= self.capacity {
            return;
        }
        if let Some((_, farthest)) = self.by_next_use.pop_last() {
            self.next_use_of.remove(&farthest);
        }
    }
}
