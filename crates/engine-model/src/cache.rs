//! The prefix cache: a forest of blocks of limited size, evicted leaf by leaf.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use driftspring_prefix::BlockHash;

use crate::time::ModelTime;

/// One cached block.
#[derive(Debug)]
struct CachedBlock {
    parent: Option<BlockHash>,
    children: u32,
    /// Running requests that use it; while there are any it stays.
    pins: u32,
    last_used: ModelTime,
}

impl CachedBlock {
    fn is_evictable(&self) -> bool {
        self.children == 0 && self.pins == 0
    }
}

/// What an insertion changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Insertion {
    /// The block was cached already.
    Present,
    /// The block is cached now; a full cache gave up another one for it.
    Stored {
        /// The block evicted to make room.
        evicted: Option<BlockHash>,
    },
    /// Every cached block is in use: the block is not cached.
    NoRoom,
}

/// A cache of prompt blocks with least-recently-used eviction of leaves and a maximum age.
///
/// A block is cached only while the block before it is. A use touches the whole chain, so a block is
/// never older than its children.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    max_age: Duration,
    blocks: HashMap<BlockHash, CachedBlock>,
    /// Leaves without pins, oldest use first.
    evictable: BTreeSet<(ModelTime, BlockHash)>,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks that stay for `max_age` after their last use.
    pub fn new(capacity: usize, max_age: Duration) -> Self {
        Self {
            capacity,
            max_age,
            blocks: HashMap::new(),
            evictable: BTreeSet::new(),
        }
    }

    /// The number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether `block` is cached.
    pub fn contains(&self, block: BlockHash) -> bool {
        self.blocks.contains_key(&block)
    }

    /// How many blocks of `chain`, from its start, are cached.
    pub fn cached_prefix_blocks(&self, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count()
    }

    /// The chain of cached blocks that ends in `block`, from its start; empty where it is not cached.
    pub fn chain_to(&self, block: BlockHash) -> Vec<BlockHash> {
        let mut chain = Vec::new();
        let mut next = Some(block);
        while let Some(block) = next {
            let Some(cached) = self.blocks.get(&block) else {
                break;
            };
            chain.push(block);
            next = cached.parent;
        }
        chain.reverse();
        chain
    }

    /// Keeps the cached blocks `chain` from eviction, and touches them.
    pub fn pin(&mut self, now: ModelTime, chain: &[BlockHash]) {
        for block in chain {
            self.update(*block, |cached| {
                cached.pins += 1;
                cached.last_used = now;
            });
        }
    }

    /// Undoes one [`PrefixCache::pin`] of `chain`, and touches it.
    pub fn unpin(&mut self, now: ModelTime, chain: &[BlockHash]) {
        for block in chain {
            self.update(*block, |cached| {
                cached.pins = cached.pins.saturating_sub(1);
                cached.last_used = now;
            });
        }
    }

    /// Caches `block`, which follows `parent`. The parent must be cached and pinned by the caller.
    pub fn insert(
        &mut self,
        now: ModelTime,
        parent: Option<BlockHash>,
        block: BlockHash,
    ) -> Insertion {
        if self.blocks.contains_key(&block) {
            self.update(block, |cached| cached.last_used = now);
            return Insertion::Present;
        }
        let evicted = match self.make_room() {
            Ok(evicted) => evicted,
            Err(NoRoom) => return Insertion::NoRoom,
        };
        if let Some(parent) = parent {
            self.update(parent, |cached| cached.children += 1);
        }
        let cached = CachedBlock {
            parent,
            children: 0,
            pins: 0,
            last_used: now,
        };
        self.blocks.insert(block, cached);
        self.evictable.insert((now, block));
        Insertion::Stored { evicted }
    }

    /// Evicts what was not used for the maximum age; returns the blocks, children first.
    pub fn expire(&mut self, now: ModelTime) -> Vec<BlockHash> {
        let mut expired = Vec::new();
        while let Some((last_used, block)) = self.evictable.first().copied() {
            if last_used + self.max_age > now {
                break;
            }
            self.remove(block);
            expired.push(block);
        }
        expired
    }

    /// When the next block expires, unless it is used before.
    pub fn next_expiry(&self) -> Option<ModelTime> {
        let (last_used, _) = self.evictable.first()?;
        Some(*last_used + self.max_age)
    }

    /// Forgets everything; returns whether anything was cached.
    pub fn clear(&mut self) -> bool {
        let had_any = !self.blocks.is_empty();
        self.blocks.clear();
        self.evictable.clear();
        had_any
    }

    /// Evicts the least recently used leaf if the cache is full.
    fn make_room(&mut self) -> Result<Option<BlockHash>, NoRoom> {
        if self.blocks.len() < self.capacity {
            return Ok(None);
        }
        let (_, oldest) = self.evictable.first().copied().ok_or(NoRoom)?;
        self.remove(oldest);
        Ok(Some(oldest))
    }

    fn remove(&mut self, block: BlockHash) {
        let Some(cached) = self.blocks.remove(&block) else {
            return;
        };
        self.evictable.remove(&(cached.last_used, block));
        if let Some(parent) = cached.parent {
            self.update(parent, |parent| {
                parent.children = parent.children.saturating_sub(1)
            });
        }
    }

    /// Changes a cached block and keeps its place among the evictable ones.
    fn update(&mut self, block: BlockHash, change: impl FnOnce(&mut CachedBlock)) {
        let Some(cached) = self.blocks.get_mut(&block) else {
            return;
        };
        self.evictable.remove(&(cached.last_used, block));
        change(cached);
        if cached.is_evictable() {
            self.evictable.insert((cached.last_used, block));
        }
    }
}

/// Every cached block is in use.
struct NoRoom;
