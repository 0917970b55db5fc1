//! Which replicas keep the beginnings of which prompts, as far as the requests of this daemon
//! and those that other daemons report show.
//!
//! A prompt's shared parts form prefixes, each longer by one part. A replica that was given a prompt keeps all
//! of its prefixes until it was given so much else that the memory it has gives way. That is a belief: a
//! replica that no longer keeps a prefix reads it again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::protocol::PromptPart;
use crate::replicas::Replica;

/// After this time without a use a prefix counts as gone, whatever its replica was given: what other groups
/// of daemons send there is not known.
const PREFIX_RETENTION: Duration = Duration::from_secs(20);

/// Prefixes from which on those that are forgotten are removed; some hundred subjects under a few versions of
/// weights and tenants need a quarter of it.
const MAX_PREFIXES: usize = 8192;

/// Replicas that are remembered of each prefix, those that used it last. A short prefix, which begins most prompts, comes to thousands
/// of replicas within seconds; any of these can be fetched from, and each report of a prompt goes through all of them.
const MAX_HOLDERS_PER_PREFIX: usize = 64;

/// The digest of a cache scope and the parts of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PrefixKey(pub u64);

/// A prefix of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Names it.
    pub key: PrefixKey,
    /// Its tokens.
    pub tokens: u64,
}

/// The prefixes that `parts` form under `scope`, the shortest first.
pub fn prefixes(scope: &str, parts: &[PromptPart]) -> Vec<Prefix> {
    let mut digest = xxh3_64(scope.as_bytes());
    let mut tokens = 0;
    let extend = |part: &PromptPart| {
        digest = xxh3_64_with_seed(part.id.as_bytes(), digest);
        tokens += u64::from(part.tokens);
        Prefix {
            key: PrefixKey(digest),
            tokens,
        }
    };
    parts.iter().map(extend).collect()
}

/// That a replica was given a prefix.
#[derive(Debug, Clone, Copy)]
struct Holding {
    /// The digest of the replica's life.
    incarnation_hash: u64,
    /// When the replica has probably read it.
    prefilled_at: Instant,
    /// When it was last used.
    last_used_at: Instant,
    /// What the replica had been given by then, in tokens.
    assigned_tokens: u64,
}

/// Which replicas keep which prefixes.
#[derive(Debug, Default)]
pub struct PromptHolders {
    by_prefix: RefCell<HashMap<PrefixKey, Vec<Holding>>>,
}

impl PromptHolders {
    /// Takes in that `replica` was given a prompt with these prefixes at `now` and has read it at `prefilled_at`.
    pub fn record(
        &self,
        prefixes: impl Iterator<Item = PrefixKey>,
        replica: &Replica,
        prefilled_at: Instant,
        now: Instant,
    ) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        if by_prefix.len() > MAX_PREFIXES {
            by_prefix.retain(|_, holdings| holdings.iter().any(|holding| holding.is_fresh(now)));
        }
        for prefix in prefixes {
            let holdings = by_prefix.entry(prefix).or_default();
            holdings.retain(|holding| holding.is_fresh(now));
            let known = holdings
                .iter_mut()
                .find(|holding| holding.incarnation_hash == replica.incarnation_hash);
            match known {
                Some(known) => {
                    known.last_used_at = now;
                    known.assigned_tokens = replica.assigned_prompt_tokens();
                    known.prefilled_at = known.prefilled_at.min(prefilled_at);
                }
                None => {
                    if holdings.len() == MAX_HOLDERS_PER_PREFIX {
                        evict_oldest(holdings);
                    }
                    holdings.push(Holding {
                        incarnation_hash: replica.incarnation_hash,
                        prefilled_at,
                        last_used_at: now,
                        assigned_tokens: replica.assigned_prompt_tokens(),
                    });
                }
            }
        }
    }

    /// Takes in that `replica` has not run a request with these prefixes.
    pub fn remove(&self, prefixes: &[Prefix], replica: &Replica) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        for prefix in prefixes {
            if let Some(holdings) = by_prefix.get_mut(&prefix.key) {
                holdings.retain(|holding| holding.incarnation_hash != replica.incarnation_hash);
            }
        }
    }

    /// The digests of the lives of replicas that were given one of `prefixes`, in order.
    pub fn incarnations_with_any(&self, prefixes: &[Prefix]) -> Vec<u64> {
        let by_prefix = self.by_prefix.borrow();
        let holdings = prefixes
            .iter()
            .filter_map(|prefix| by_prefix.get(&prefix.key));
        let mut hashes: Vec<u64> = holdings
            .flatten()
            .map(|holding| holding.incarnation_hash)
            .collect();
        hashes.sort_unstable();
        hashes.dedup();
        hashes
    }

    /// Tokens of the longest of `prefixes` that `replica`, whose memory keeps `reusable_tokens` beside what it
    /// works on, still keeps; `must_be_prefilled` asks for those that it has read already.
    pub fn cached_tokens(
        &self,
        prefixes: &[Prefix],
        replica: &Replica,
        reusable_tokens: u64,
        must_be_prefilled: bool,
        now: Instant,
    ) -> u64 {
        let by_prefix = self.by_prefix.borrow();
        let is_cached = |prefix: &&Prefix| {
            let holdings = by_prefix.get(&prefix.key).map_or(&[][..], Vec::as_slice);
            let mut own_holdings = holdings
                .iter()
                .filter(|holding| holding.incarnation_hash == replica.incarnation_hash);
            own_holdings.any(|holding| {
                let assigned_since = replica
                    .assigned_prompt_tokens()
                    .saturating_sub(holding.assigned_tokens);
                holding.is_fresh(now)
                    && assigned_since <= reusable_tokens
                    && (!must_be_prefilled || holding.prefilled_at <= now)
            })
        };
        let longest = prefixes.iter().rev().find(is_cached);
        longest.map_or(0, |prefix| prefix.tokens)
    }
}

/// Removes the holding that was not used for the longest time.
fn evict_oldest(holdings: &mut Vec<Holding>) {
    let indexed = holdings.iter().enumerate();
    let oldest = indexed.min_by_key(|(_, holding)| holding.last_used_at);
    if let Some((oldest, _)) = oldest {
        holdings.swap_remove(oldest);
    }
}

impl Holding {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used_at) < PREFIX_RETENTION
    }
}
