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
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Prefixes from which on those that are forgotten are removed; some hundred subjects under a few versions of
/// weights and tenants need a quarter of it.
const MAX_PREFIXES: usize = 8192;

/// Replicas that are remembered of each prefix, those that used it last. A short prefix, which begins most prompts, comes to thousands
/// of replicas within seconds; any of these can be fetched from, and each report of a prompt goes through all of them.
const MOST_HOLDERS: usize = 64;

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
    replica: u64,
    /// When the replica has probably read it.
    ready_at: Instant,
    /// When it was last used.
    used_at: Instant,
    /// What the replica had been given by then, in tokens.
    given_then: u64,
}

/// Which replicas keep which prefixes.
#[derive(Debug, Default)]
pub struct PromptHolders {
    by_prefix: RefCell<HashMap<PrefixKey, Vec<Holding>>>,
}

impl PromptHolders {
    /// Takes in that `replica` was given a prompt with these prefixes at `now` and has read it at `ready_at`.
    pub fn note(
        &self,
        prefixes: impl Iterator<Item = PrefixKey>,
        replica: &Replica,
        ready_at: Instant,
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
                .find(|holding| holding.replica == replica.incarnation_hash);
            match known {
                Some(known) => {
                    known.used_at = now;
                    known.given_then = replica.assigned_prompt_tokens();
                    known.ready_at = known.ready_at.min(ready_at);
                }
                None => {
                    if holdings.len() == MOST_HOLDERS {
                        forget_oldest(holdings);
                    }
                    holdings.push(Holding {
                        replica: replica.incarnation_hash,
                        ready_at,
                        used_at: now,
                        given_then: replica.assigned_prompt_tokens(),
                    });
                }
            }
        }
    }

    /// Takes in that `replica` has not run a request with these prefixes.
    pub fn forget(&self, prefixes: &[Prefix], replica: &Replica) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        for prefix in prefixes {
            if let Some(holdings) = by_prefix.get_mut(&prefix.key) {
                holdings.retain(|holding| holding.replica != replica.incarnation_hash);
            }
        }
    }

    /// The digests of the lives of replicas that were given one of `prefixes`, in order.
    pub fn of_any(&self, prefixes: &[Prefix]) -> Vec<u64> {
        let by_prefix = self.by_prefix.borrow();
        let holdings = prefixes
            .iter()
            .filter_map(|prefix| by_prefix.get(&prefix.key));
        let mut lives: Vec<u64> = holdings.flatten().map(|holding| holding.replica).collect();
        lives.sort_unstable();
        lives.dedup();
        lives
    }

    /// Tokens of the longest of `prefixes` that `replica`, whose memory keeps `kept_tokens` beside what it
    /// works on, still keeps; `is_read` asks for those that it has read already.
    pub fn held_tokens(
        &self,
        prefixes: &[Prefix],
        replica: &Replica,
        kept_tokens: u64,
        is_read: bool,
        now: Instant,
    ) -> u64 {
        let by_prefix = self.by_prefix.borrow();
        let is_held = |prefix: &&Prefix| {
            let holdings = by_prefix.get(&prefix.key).map_or(&[][..], Vec::as_slice);
            let mut of_replica = holdings
                .iter()
                .filter(|holding| holding.replica == replica.incarnation_hash);
            of_replica.any(|holding| {
                let given_since = replica
                    .assigned_prompt_tokens()
                    .saturating_sub(holding.given_then);
                holding.is_fresh(now)
                    && given_since <= kept_tokens
                    && (!is_read || holding.ready_at <= now)
            })
        };
        let longest = prefixes.iter().rev().find(is_held);
        longest.map_or(0, |prefix| prefix.tokens)
    }
}

/// Removes the holding that was not used for the longest time.
fn forget_oldest(holdings: &mut Vec<Holding>) {
    let places = holdings.iter().enumerate();
    let oldest = places.min_by_key(|(_, holding)| holding.used_at);
    if let Some((oldest, _)) = oldest {
        holdings.swap_remove(oldest);
    }
}

impl Holding {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.used_at) < FORGOTTEN_AFTER
    }
}
