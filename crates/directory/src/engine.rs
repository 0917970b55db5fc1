//! What one engine incarnation has cached.

use std::time::Duration;

use driftspring_prefix::{BLOCK_TOKENS, BlockHash, Fingerprint};
use driftspring_types::Incarnation;

use crate::directory::DirectorySettings;
use crate::events::{CacheEvent, CacheEventKind};
use crate::lifetime::LifetimeEstimate;
use crate::sync::{AtomicU32, Ordering};
use crate::table::BlockTable;
use crate::tick::Tick;

/// Stands for "no tick": larger than any stored tick.
const NEVER: u32 = u32::MAX;

/// How much of a prompt an engine probably has cached, and how sure that is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Overlap {
    /// Leading whole blocks believed resident.
    pub blocks: u32,
    /// Whether the block after them is known too, but not used for longer than blocks live here.
    pub next_is_expired: bool,
}

impl Overlap {
    /// The tokens of the blocks believed resident.
    pub fn tokens(self) -> u32 {
        self.blocks * BLOCK_TOKENS
    }
}

/// The blocks that one life of one engine probably has cached.
#[derive(Debug)]
pub struct EngineResidency {
    incarnation: Incarnation,
    table: BlockTable,
    lifetime: LifetimeEstimate,
    /// Entries last used at or before this tick are gone.
    cleared_at: AtomicU32,
    /// Since when the stream of cache events has been read without a gap. Entries confirmed after
    /// it stay until an event removes them; all others expire by age.
    events_whole_since: AtomicU32,
}

impl EngineResidency {
    /// An engine that has just started and has nothing cached.
    pub fn new(incarnation: Incarnation, settings: &DirectorySettings) -> Self {
        Self {
            incarnation,
            table: BlockTable::with_capacity(settings.blocks_per_engine),
            lifetime: LifetimeEstimate::new(settings.initial_lifetime),
            cleared_at: AtomicU32::new(NEVER),
            events_whole_since: AtomicU32::new(NEVER),
        }
    }

    /// The life that this describes.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// How long a block is believed to stay after its last use.
    pub fn lifetime(&self) -> Duration {
        self.lifetime.duration()
    }

    /// Bytes of memory held.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.table.capacity() * size_of::<u64>()
    }

    /// How many blocks are believed resident at `now` (time since the daemon's start). Reads the whole
    /// table: for operators, not for the request path.
    pub fn resident_blocks(&self, now: Duration) -> u32 {
        let now = Tick::at(now);
        let last_uses = self.table.last_uses();
        let resident = last_uses
            .filter(|last_use| !self.is_cleared(*last_use) && self.is_fresh(*last_use, now));
        resident.count() as u32
    }

    /// The leading blocks of `fingerprint` believed resident at `now` (time since the daemon's
    /// start).
    ///
    /// A use of a block is a use of all before it, so residency along a prompt falls only once and
    /// the end of it is found by bisection.
    pub fn overlap(&self, fingerprint: &Fingerprint, now: Duration) -> Overlap {
        let now = Tick::at(now);
        let blocks = &fingerprint.blocks;
        let resident = blocks.partition_point(|block| self.is_resident(*block, now));
        let next = blocks.get(resident);
        Overlap {
            blocks: resident as u32,
            next_is_expired: next.is_some_and(|block| self.last_use(*block).is_some()),
        }
    }

    /// Notes a request sent to the engine, whose prompt it will soon have cached.
    pub fn dispatched(&self, fingerprint: &Fingerprint, now: Duration) {
        self.touch_all(&fingerprint.blocks, Tick::at(now));
    }

    /// Notes the engine's answer: it had `cached_tokens` of the prompt and has all of it now.
    /// `expected` is the overlap at the time of the choice, before [`Self::dispatched`].
    pub fn answered(
        &self,
        fingerprint: &Fingerprint,
        expected: Overlap,
        cached_tokens: u32,
        now: Duration,
    ) {
        let cached_blocks = cached_tokens / BLOCK_TOKENS;
        if cached_blocks < expected.blocks {
            self.lifetime.shrink();
        } else if cached_blocks > expected.blocks && expected.next_is_expired {
            self.lifetime.grow();
        }
        self.touch_all(&fingerprint.blocks, Tick::at(now));
    }

    /// Notes that the engine did not compute the prompt of a dispatched request after all.
    pub fn not_computed(&self, fingerprint: &Fingerprint, expected: Overlap) {
        for block in fingerprint.blocks.iter().skip(expected.blocks as usize) {
            self.table.remove(block.0);
        }
    }

    /// Notes that the stream of cache events is read from here on, or goes on after a gap.
    pub fn events_resumed(&self, now: Duration) {
        self.events_whole_since
            .store(Tick::at(now).stored(), Ordering::Relaxed);
    }

    /// Notes that cache events are no longer read.
    pub fn events_lost(&self) {
        self.events_whole_since.store(NEVER, Ordering::Relaxed);
    }

    /// Applies one cache event.
    pub fn apply_event(&self, event: &CacheEvent, now: Duration) {
        let now = Tick::at(now);
        match event.kind {
            CacheEventKind::Stored => self.touch_all(&event.hashes, now),
            CacheEventKind::Removed => {
                for block in &event.hashes {
                    self.table.remove(block.0);
                }
            }
            CacheEventKind::Cleared => self.cleared_at.store(now.stored(), Ordering::Relaxed),
        }
    }

    fn touch_all(&self, blocks: &[BlockHash], now: Tick) {
        for block in blocks {
            self.table.touch(block.0, now);
        }
    }

    fn is_resident(&self, block: BlockHash, now: Tick) -> bool {
        self.last_use(block)
            .is_some_and(|last_use| self.is_fresh(last_use, now))
    }

    /// Whether a block last used at `last_use` is believed to be still there at `now`.
    fn is_fresh(&self, last_use: Tick, now: Tick) -> bool {
        let events_whole_since = self.events_whole_since.load(Ordering::Relaxed);
        let is_confirmed =
            events_whole_since != NEVER && last_use.is_after(Tick::from_stored(events_whole_since));
        is_confirmed || now.since(last_use) <= self.lifetime.ticks()
    }

    /// The last use since the engine's cache was last cleared.
    fn last_use(&self, block: BlockHash) -> Option<Tick> {
        let last_use = self.table.last_use(block.0)?;
        (!self.is_cleared(last_use)).then_some(last_use)
    }

    /// Whether the engine's cache was cleared after `last_use`.
    fn is_cleared(&self, last_use: Tick) -> bool {
        let cleared_at = self.cleared_at.load(Ordering::Relaxed);
        cleared_at != NEVER && !last_use.is_after(Tick::from_stored(cleared_at))
    }
}
