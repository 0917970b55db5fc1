//! The parts that one peer keeps, as its events tell.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::protocol::{CacheEvent, CachePage, PromptPart};

/// For how long a copy that was asked for is believed to be on its way.
const COPY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Copies on their way that are remembered; older ones are looked through beyond that.
const MAX_PENDING_COPIES: usize = 1024;

/// A part counts as kept with so many tokens less than it has, since memory goes by blocks.
const BLOCK_TOKENS: u32 = 32;

/// A scope and a part, hashed.
fn part_digest(scope: &str, part: &str) -> u64 {
    xxh3_64_with_seed(part.as_bytes(), xxh3_64(scope.as_bytes()))
}

/// A change of what a peer keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedPartChange {
    /// The digest of the scope and the part.
    pub part: u64,
    /// Tokens of it that are kept now; 0 where it is gone.
    pub tokens: u32,
}

impl From<&CacheEvent> for CachedPartChange {
    fn from(event: &CacheEvent) -> Self {
        Self {
            part: part_digest(&event.scope, &event.part),
            tokens: event.tokens,
        }
    }
}

/// What the daemon that follows a store learnt of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheUpdate {
    /// The store's address.
    pub store: SocketAddr,
    /// The life of the store.
    pub epoch: u64,
    /// Where its events go on.
    pub next: u64,
    /// Whether the store answers; else nothing is known of it any more.
    pub is_known: bool,
    /// Whether all that is kept is told from here on, rather than changes of what was told before.
    pub is_from_start: bool,
    /// The changes.
    pub changes: Vec<CachedPartChange>,
}

impl CacheUpdate {
    /// `store` does not answer, or its events have a gap.
    pub fn unknown(store: SocketAddr) -> Self {
        Self {
            store,
            epoch: 0,
            next: 0,
            is_known: false,
            is_from_start: false,
            changes: Vec::new(),
        }
    }
}

/// The parts that one peer keeps.
#[derive(Debug, Default)]
pub struct StoreContents {
    /// Ordered, so that they can be told page by page.
    tokens_by_part: BTreeMap<u64, u32>,
    pending_copies: HashMap<u64, Instant>,
    /// Whether nothing was missed since the last list.
    pub is_known: bool,
    /// The life of the peer.
    pub epoch: u64,
    /// Where its events go on.
    pub next: u64,
}

impl StoreContents {
    /// Begins anew in the life `epoch` of the peer, with nothing known to be kept there.
    pub fn reset(&mut self, epoch: u64) {
        self.tokens_by_part.clear();
        self.epoch = epoch;
        self.is_known = true;
    }

    /// Takes in news. Those of a life that is not followed here are of no use: what came before is not known.
    pub fn apply(&mut self, update: &CacheUpdate) {
        if !update.is_known {
            return self.clear();
        }
        if update.is_from_start {
            self.reset(update.epoch);
        } else if update.epoch != self.epoch {
            return self.clear();
        }
        self.apply_changes(&update.changes);
        self.next = update.next;
    }

    /// Takes in changes of the life that is followed.
    pub fn apply_changes(&mut self, changes: &[CachedPartChange]) {
        for change in changes {
            match change.tokens {
                0 => drop(self.tokens_by_part.remove(&change.part)),
                tokens => drop(self.tokens_by_part.insert(change.part, tokens)),
            }
        }
    }

    /// Whether `page` goes on from what is known; else a list is needed.
    pub fn is_continued_by(&self, page: &CachePage) -> bool {
        page.epoch == self.epoch && !page.has_gap
    }

    /// Up to `max_count` of the parts kept, after the digest `after`, in the order of their digests.
    pub fn page(&self, after: Option<u64>, max_count: usize) -> Vec<CachedPartChange> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let parts = self
            .tokens_by_part
            .range((start, Bound::Unbounded))
            .take(max_count);
        parts
            .map(|(part, tokens)| CachedPartChange {
                part: *part,
                tokens: *tokens,
            })
            .collect()
    }

    /// Nothing is known any more.
    pub fn clear(&mut self) {
        self.tokens_by_part.clear();
        self.pending_copies.clear();
        self.is_known = false;
    }

    /// Whether every one of `parts` is kept under `scope`, or is on its way there.
    pub fn has_all(&self, scope: &str, parts: &[PromptPart], now: Instant) -> bool {
        parts.iter().all(|part| {
            let digest = part_digest(scope, &part.id);
            let kept = self.tokens_by_part.get(&digest).copied().unwrap_or(0);
            let is_pending = self
                .pending_copies
                .get(&digest)
                .is_some_and(|until| now < *until);
            kept + BLOCK_TOKENS >= part.tokens || is_pending
        })
    }

    /// Takes in that `parts` are being copied there.
    pub fn record_copy(&mut self, scope: &str, parts: &[PromptPart], now: Instant) {
        if self.pending_copies.len() > MAX_PENDING_COPIES {
            self.pending_copies.retain(|_, until| now < *until);
        }
        for part in parts {
            self.pending_copies
                .insert(part_digest(scope, &part.id), now + COPY_TIMEOUT);
        }
    }
}

/// The parts that each known store keeps.
#[derive(Debug, Default)]
pub struct CachedParts {
    by_store: RefCell<HashMap<SocketAddr, StoreContents>>,
}

impl CachedParts {
    /// Does something with what `store` keeps.
    pub fn with_store<R>(
        &self,
        store: SocketAddr,
        action: impl FnOnce(&mut StoreContents) -> R,
    ) -> R {
        let mut by_store = self.by_store.borrow_mut();
        action(by_store.entry(store).or_default())
    }

    /// Takes in news of a store.
    pub fn apply(&self, update: &CacheUpdate) {
        self.with_store(update.store, |kept| kept.apply(update));
    }

    /// Whether it is known what `store` keeps.
    pub fn is_known(&self, store: SocketAddr) -> bool {
        let by_store = self.by_store.borrow();
        by_store.get(&store).is_some_and(|kept| kept.is_known)
    }

    /// Whether `store` is known to keep all `parts` under `scope`.
    pub fn keeps(
        &self,
        store: SocketAddr,
        scope: &str,
        parts: &[PromptPart],
        now: Instant,
    ) -> bool {
        let by_store = self.by_store.borrow();
        let kept = by_store.get(&store).filter(|kept| kept.is_known);
        kept.is_some_and(|kept| kept.has_all(scope, parts, now))
    }

    /// Whether a request should copy `parts` to `store`: unless they are known to be there, or to be on
    /// their way. Takes in that it does.
    pub fn try_start_copy(
        &self,
        store: SocketAddr,
        scope: &str,
        parts: &[PromptPart],
        now: Instant,
    ) -> bool {
        self.with_store(store, |kept| {
            let is_needed = !kept.is_known || !kept.has_all(scope, parts, now);
            if is_needed {
                kept.record_copy(scope, parts, now);
            }
            is_needed
        })
    }
}
