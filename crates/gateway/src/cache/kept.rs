//! Contents of prompt-cache stores, as reported by their events.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::protocol::{CacheEvent, CachePage, PromptPart};

/// How long a requested copy counts as on its way.
const COPY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Number of pending copies above which expired ones are removed.
const MAX_PENDING_COPIES: usize = 1024;

/// Number of tokens of a part that may be missing while it still counts as complete, since memory is allocated in
/// blocks.
const BLOCK_TOKENS: u32 = 32;

/// Digest of a scope and a part.
fn part_digest(scope: &str, part: &str) -> u64 {
    xxh3_64_with_seed(part.as_bytes(), xxh3_64(scope.as_bytes()))
}

/// Change in the contents of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedPartChange {
    /// Digest of the scope and the part.
    pub part: u64,
    /// Number of its tokens that are stored now; 0 if the part has been removed.
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

/// Update on one store from the gateway that follows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Address of the store.
    pub store: SocketAddr,
    /// Incarnation of the store.
    pub epoch: u64,
    /// Position at which its next events start.
    pub next: u64,
    /// Whether the store answers; otherwise its contents are unknown.
    pub is_known: bool,
    /// Whether the changes list the whole contents from the start, instead of following on earlier updates.
    pub is_from_start: bool,
    /// Changes in the contents.
    pub changes: Vec<CachedPartChange>,
}

impl CacheUpdate {
    /// Creates the update for a store that does not answer or whose events have a gap.
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

/// Contents of one store.
#[derive(Debug, Default)]
pub struct StoreContents {
    /// Ordered by digest, so that the contents can be sent page by page.
    tokens_by_part: BTreeMap<u64, u32>,
    pending_copies: HashMap<u64, Instant>,
    /// Whether the contents are known: no event was missed since the last full list.
    pub is_known: bool,
    /// Incarnation of the store.
    pub epoch: u64,
    /// Position at which its next events start.
    pub next: u64,
}

impl StoreContents {
    /// Starts again with empty contents in the incarnation `epoch` of the store.
    pub fn reset(&mut self, epoch: u64) {
        self.tokens_by_part.clear();
        self.epoch = epoch;
        self.is_known = true;
    }

    /// Applies an update. An update of an incarnation that is not followed makes the contents unknown, since earlier
    /// changes were missed.
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

    /// Applies changes of the followed incarnation.
    pub fn apply_changes(&mut self, changes: &[CachedPartChange]) {
        for change in changes {
            match change.tokens {
                0 => drop(self.tokens_by_part.remove(&change.part)),
                tokens => drop(self.tokens_by_part.insert(change.part, tokens)),
            }
        }
    }

    /// Whether `page` follows on the known contents; otherwise a full list is needed.
    pub fn is_continued_by(&self, page: &CachePage) -> bool {
        page.epoch == self.epoch && !page.has_gap
    }

    /// Returns up to `max_count` of the parts after the digest `after`, ordered by digest.
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

    /// Makes the contents unknown.
    pub fn clear(&mut self) {
        self.tokens_by_part.clear();
        self.pending_copies.clear();
        self.is_known = false;
    }

    /// Whether each of `parts` is stored under `scope` or on its way to the store.
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

    /// Records that `parts` are being copied to the store.
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

/// Contents of all known stores.
#[derive(Debug, Default)]
pub struct CachedParts {
    by_store: RefCell<HashMap<SocketAddr, StoreContents>>,
}

impl CachedParts {
    /// Calls `action` with the contents of `store`.
    pub fn with_store<R>(
        &self,
        store: SocketAddr,
        action: impl FnOnce(&mut StoreContents) -> R,
    ) -> R {
        let mut by_store = self.by_store.borrow_mut();
        action(by_store.entry(store).or_default())
    }

    /// Applies an update on a store.
    pub fn apply(&self, update: &CacheUpdate) {
        self.with_store(update.store, |kept| kept.apply(update));
    }

    /// Whether the contents of `store` are known.
    pub fn is_known(&self, store: SocketAddr) -> bool {
        let by_store = self.by_store.borrow();
        by_store.get(&store).is_some_and(|kept| kept.is_known)
    }

    /// Whether `store` is known to hold all `parts` under `scope`, or to be receiving them.
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

    /// Returns whether a request should copy `parts` to `store`, and records the copy if so. It should unless the parts
    /// are known to be stored there or on their way.
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
