//! The parts that one peer keeps, as its events tell.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

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

/// The parts that one peer keeps.
#[derive(Debug, Default)]
pub struct KeptParts {
    tokens: HashMap<u64, u32>,
    copies: HashMap<u64, Instant>,
    /// Whether nothing was missed since the last list.
    pub is_informed: bool,
    /// The life of the peer.
    pub epoch: u64,
    /// Where its events go on.
    pub next: u64,
}

impl KeptParts {
    /// Takes in a list of all that is kept.
    pub fn take_list(&mut self, page: &CachePage) {
        self.tokens.clear();
        self.take_all(&page.events);
        self.epoch = page.epoch;
        self.next = page.next;
        self.is_informed = true;
    }

    /// Takes in changes; false where some are missing, so that a list is needed.
    pub fn take_events(&mut self, page: &CachePage) -> bool {
        if page.epoch != self.epoch || page.has_gap {
            self.forget();
            return false;
        }
        self.take_all(&page.events);
        self.next = page.next;
        true
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

    fn take_all(&mut self, events: &[CacheEvent]) {
        for event in events {
            let key = key(&event.scope, &event.part);
            match event.tokens {
                0 => drop(self.tokens.remove(&key)),
                tokens => drop(self.tokens.insert(key, tokens)),
            }
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
