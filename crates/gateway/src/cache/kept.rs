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
const COPY_TIME: Duration = Duration::from_millis(1500);

/// Copies on their way that are remembered; older ones are looked through beyond that.
const MAX_COPIES: usize = 1024;

/// A part counts as kept with so many tokens less than it has, since memory goes by blocks.
const BLOCK_TOKENS: u32 = 32;

/// A scope and a part, hashed.
fn key(scope: &str, part: &str) -> u64 {
    xxh3_64_with_seed(part.as_bytes(), xxh3_64(scope.as_bytes()))
}

/// A change of what a peer keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptChange {
    /// The digest of the scope and the part.
    pub part: u64,
    /// Tokens of it that are kept now; 0 where it is gone.
    pub tokens: u32,
}

impl From<&CacheEvent> for KeptChange {
    fn from(event: &CacheEvent) -> Self {
        Self {
            part: key(&event.scope, &event.part),
            tokens: event.tokens,
        }
    }
}

/// What the daemon that follows a store learnt of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedNews {
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
    pub changes: Vec<KeptChange>,
}

impl CachedNews {
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
pub struct KeptParts {
    /// Ordered, so that they can be told page by page.
    tokens: BTreeMap<u64, u32>,
    copies: HashMap<u64, Instant>,
    /// Whether nothing was missed since the last list.
    pub is_informed: bool,
    /// The life of the peer.
    pub epoch: u64,
    /// Where its events go on.
    pub next: u64,
}

impl KeptParts {
    /// Begins anew in the life `epoch` of the peer, with nothing known to be kept there.
    pub fn begin_list(&mut self, epoch: u64) {
        self.tokens.clear();
        self.epoch = epoch;
        self.is_informed = true;
    }

    /// Takes in news. Those of a life that is not followed here are of no use: what came before is not known.
    pub fn take(&mut self, news: &CachedNews) {
        if !news.is_known {
            return self.forget();
        }
        if news.is_from_start {
            self.begin_list(news.epoch);
        } else if news.epoch != self.epoch {
            return self.forget();
        }
        self.take_changes(&news.changes);
        self.next = news.next;
    }

    /// Takes in changes of the life that is followed.
    pub fn take_changes(&mut self, changes: &[KeptChange]) {
        for change in changes {
            match change.tokens {
                0 => drop(self.tokens.remove(&change.part)),
                tokens => drop(self.tokens.insert(change.part, tokens)),
            }
        }
    }

    /// Whether `page` goes on from what is known; else a list is needed.
    pub fn goes_on_with(&self, page: &CachePage) -> bool {
        page.epoch == self.epoch && !page.has_gap
    }

    /// Up to `most` of the parts kept, after the digest `after`, in the order of their digests.
    pub fn page(&self, after: Option<u64>, most: usize) -> Vec<KeptChange> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let parts = self.tokens.range((from, Bound::Unbounded)).take(most);
        parts
            .map(|(part, tokens)| KeptChange {
                part: *part,
                tokens: *tokens,
            })
            .collect()
    }

    /// Nothing is known any more.
    pub fn forget(&mut self) {
        self.tokens.clear();
        self.copies.clear();
        self.is_informed = false;
    }

    /// Whether every one of `parts` is kept under `scope`, or is on its way there.
    pub fn has_all(&self, scope: &str, parts: &[PromptPart], now: Instant) -> bool {
        parts.iter().all(|part| {
            let key = key(scope, &part.id);
            let kept = self.tokens.get(&key).copied().unwrap_or(0);
            let is_coming = self.copies.get(&key).is_some_and(|until| now < *until);
            kept + BLOCK_TOKENS >= part.tokens || is_coming
        })
    }

    /// Takes in that `parts` are being copied there.
    pub fn note_copy(&mut self, scope: &str, parts: &[PromptPart], now: Instant) {
        if self.copies.len() > MAX_COPIES {
            self.copies.retain(|_, until| now < *until);
        }
        for part in parts {
            self.copies.insert(key(scope, &part.id), now + COPY_TIME);
        }
    }
}

/// The parts that each known store keeps.
#[derive(Debug, Default)]
pub struct CachedParts {
    by_store: RefCell<HashMap<SocketAddr, KeptParts>>,
}

impl CachedParts {
    /// Does something with what `store` keeps.
    pub fn with<R>(&self, store: SocketAddr, action: impl FnOnce(&mut KeptParts) -> R) -> R {
        let mut by_store = self.by_store.borrow_mut();
        action(by_store.entry(store).or_default())
    }

    /// Takes in news of a store.
    pub fn take(&self, news: &CachedNews) {
        self.with(news.store, |kept| kept.take(news));
    }

    /// Whether it is known what `store` keeps.
    pub fn is_informed(&self, store: SocketAddr) -> bool {
        let by_store = self.by_store.borrow();
        by_store.get(&store).is_some_and(|kept| kept.is_informed)
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
        let kept = by_store.get(&store).filter(|kept| kept.is_informed);
        kept.is_some_and(|kept| kept.has_all(scope, parts, now))
    }

    /// Whether a request should copy `parts` to `store`: unless they are known to be there, or to be on
    /// their way. Takes in that it does.
    pub fn wants_copy(
        &self,
        store: SocketAddr,
        scope: &str,
        parts: &[PromptPart],
        now: Instant,
    ) -> bool {
        self.with(store, |kept| {
            let wants = !kept.is_informed || !kept.has_all(scope, parts, now);
            if wants {
                kept.note_copy(scope, parts, now);
            }
            wants
        })
    }
}
