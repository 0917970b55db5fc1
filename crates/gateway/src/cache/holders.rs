//! Estimates which replicas have which prompt prefixes cached, from the requests of this gateway and those that other
//! gateways report.
//!
//! The shared parts of a prompt form prefixes, each one part longer than the one before. A replica that was given a
//! prompt is assumed to keep all of its prefixes until the prompts assigned to it afterwards exceed its cache. If the
//! estimate is wrong, the replica prefills the prefix again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::protocol::PromptPart;
use crate::replicas::Replica;

/// Time after its last use at which a prefix counts as evicted, whatever its replica was given. The requests that other
/// groups of gateways send to the replica are not known.
const PREFIX_RETENTION: Duration = Duration::from_secs(20);

/// Number of prefixes above which expired ones are removed. A few hundred topics under a few versions of weights and
/// tenants need a quarter of it.
const MAX_PREFIXES: usize = 8192;

/// Maximum number of replicas kept for each prefix: those that used it last. A short prefix that starts most prompts
/// reaches thousands of replicas within seconds. The prefix can be fetched from any of the replicas kept, and each
/// reported prompt searches all of them.
const MAX_HOLDERS_PER_PREFIX: usize = 64;

/// Digest of a cache scope and the parts of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PrefixKey(pub u64);

/// Prefix of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Key that identifies the prefix.
    pub key: PrefixKey,
    /// Number of its tokens.
    pub tokens: u64,
}

/// Returns the prefixes that `parts` form under `scope`, shortest first.
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

/// Records that a replica was given a prefix.
#[derive(Debug, Clone, Copy)]
struct Holding {
    /// Digest of the replica's incarnation.
    incarnation_hash: u64,
    /// When the replica has probably prefilled the prefix.
    prefilled_at: Instant,
    /// When the prefix was last used.
    last_used_at: Instant,
    /// Number of prompt tokens that had been assigned to the replica by the last use.
    assigned_tokens: u64,
}

/// Maps prompt prefixes to the replicas that probably have them cached.
#[derive(Debug, Default)]
pub struct PromptHolders {
    by_prefix: RefCell<HashMap<PrefixKey, Vec<Holding>>>,
}

impl PromptHolders {
    /// Records that `replica` was given a prompt with these prefixes at `now` and will have prefilled it at
    /// `prefilled_at`.
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

    /// Removes `replica` from these prefixes because it has not run the request.
    pub fn remove(&self, prefixes: &[Prefix], replica: &Replica) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        for prefix in prefixes {
            if let Some(holdings) = by_prefix.get_mut(&prefix.key) {
                holdings.retain(|holding| holding.incarnation_hash != replica.incarnation_hash);
            }
        }
    }

    /// Returns the digests of the incarnations of replicas that were given any of `prefixes`, sorted.
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

    /// Returns the number of tokens of the longest of `prefixes` that `replica` still has cached, given that its cache
    /// keeps `reusable_tokens` beside the running requests. With `must_be_prefilled`, only prefixes count that the
    /// replica has already prefilled.
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

/// Removes the least recently used holding.
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
