//! What each candidate has cached of a prompt's shared parts, and where it can fetch the rest from.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::prefill::estimated_prefill_time;

use super::context::RequestContext;
use crate::cache::{Prefix, prefixes};
use crate::configuration::KvStore;
use crate::replicas::Replica;
use crate::state::GatewayState;

/// Factor of a fetch's cost over its time on an idle link, since others use the link too.
const FETCH_COST_FACTOR: f64 = 3.0;

/// Cost of a fetch besides the time on the link: the query to the source, and what the fetched parts evict from memory.
const FETCH_OVERHEAD: Duration = Duration::from_millis(8);

/// Factor of the cost of recomputing shared parts over the time that it takes: it keeps other requests waiting, and is
/// paid for.
const PREFILL_COST_FACTOR: f64 = 2.0;

/// Share of a replica's memory that holds cached parts no running request uses, at about half load.
const REUSABLE_CACHE_SHARE: f64 = 0.6;

/// Source of parts that a candidate lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// Its address.
    pub address: SocketAddr,
    /// Tokens of the prompt that it probably has.
    pub tokens: u64,
    /// Whether it is another replica rather than the KV store.
    pub is_replica: bool,
}

/// How one candidate gets the shared parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Supply {
    /// Tokens of the prompt that it probably has cached.
    pub cached_tokens: u64,
    /// Where it fetches more from.
    pub source: Option<Source>,
    /// Cost of the fetch.
    pub fetch_cost: Duration,
    /// Cost of recomputing the shared parts that it neither has cached nor fetches.
    pub prefill_cost: Duration,
}

/// Finds the supply of each candidate for one prompt.
pub struct PromptSources<'a> {
    state: &'a GatewayState,
    context: &'a RequestContext,
    store: Option<KvStore>,
    now: Instant,
    by_version: HashMap<Option<u64>, VersionSources>,
}

/// Sources of the prompt under one version of the weights.
struct VersionSources {
    prefixes: Vec<Prefix>,
    replicas: Vec<(Rc<Replica>, u64)>,
    is_in_store: bool,
}

impl<'a> PromptSources<'a> {
    /// Creates the sources for the prompt of `context`; `store` is set if it may be fetched from there.
    pub fn new(
        state: &'a GatewayState,
        context: &'a RequestContext,
        store: Option<KvStore>,
    ) -> Self {
        Self {
            state,
            context,
            store,
            now: Instant::now(),
            by_version: HashMap::new(),
        }
    }

    /// How `candidate` gets the shared parts.
    pub fn supply(&mut self, candidate: &Rc<Replica>) -> Supply {
        let version = self.context.version_of(candidate);
        if !self.by_version.contains_key(&version) {
            let sources = self.version_sources(version);
            self.by_version.insert(version, sources);
        }
        let sources = &self.by_version[&version];
        let cached_tokens = self.cached_tokens(&sources.prefixes, candidate, false);
        let all = self.context.shared_tokens();
        let source = match cached_tokens < all {
            true => self.source_for(sources, candidate, cached_tokens),
            false => None,
        };
        let known_source = source.filter(|source| source.tokens > cached_tokens);
        let fetched = known_source.map_or(0, |source| source.tokens - cached_tokens);
        let fetch_cost =
            known_source.map_or(Duration::ZERO, |source| self.fetch_cost(&source, fetched));
        let uncached = all.saturating_sub(cached_tokens + fetched);
        Supply {
            cached_tokens,
            source,
            fetch_cost,
            prefill_cost: estimated_prefill_time(uncached).mul_f64(PREFILL_COST_FACTOR),
        }
    }

    /// Prefixes of the prompt under the weights of `candidate`.
    pub fn prefixes(&self, candidate: &Replica) -> Vec<Prefix> {
        let version = self.context.version_of(candidate);
        let sources = self.by_version.get(&version);
        sources.map_or_else(Vec::new, |sources| sources.prefixes.clone())
    }

    fn version_sources(&self, version: Option<u64>) -> VersionSources {
        let parts = self.context.shared_parts();
        let Some(scope) = self
            .context
            .cache_scope(version)
            .filter(|_| !parts.is_empty())
        else {
            return VersionSources {
                prefixes: Vec::new(),
                replicas: Vec::new(),
                is_in_store: false,
            };
        };
        let prefixes = prefixes(&scope, parts);
        let listed = self.state.registry.of_service(self.context.service());
        let is_usable = |replica: &&Rc<Replica>| {
            self.context.version_of(replica) == version
                && replica.loading_since().is_none()
                && !replica.health.is_unreachable(self.now)
        };
        let held = |replica: &Rc<Replica>| {
            let tokens = self.cached_tokens(&prefixes, replica, true);
            (tokens > 0).then(|| (Rc::clone(replica), tokens))
        };
        let holders =
            listed.with_incarnations(&self.state.holders.incarnations_with_any(&prefixes));
        let replicas = holders.iter().filter(is_usable).filter_map(held).collect();
        let is_in_store = self.store.as_ref().is_some_and(|store| {
            self.state
                .cached
                .keeps(store.address, &scope, parts, self.now)
        });
        VersionSources {
            prefixes,
            replicas,
            is_in_store,
        }
    }

    fn cached_tokens(&self, prefixes: &[Prefix], replica: &Replica, is_prefilled: bool) -> u64 {
        let engine = self.context.engine();
        let capacity = engine.map_or(0, |engine| engine.capacity_tokens);
        let kept_tokens = (capacity as f64 * REUSABLE_CACHE_SHARE) as u64;
        let holders = &self.state.holders;
        holders.cached_tokens(prefixes, replica, kept_tokens, is_prefilled, self.now)
    }

    /// The source with most of the prompt: the nearest and least busy of the replicas that have more than `candidate`,
    /// or the store.
    fn source_for(
        &self,
        sources: &VersionSources,
        candidate: &Replica,
        cached_tokens: u64,
    ) -> Option<Source> {
        let zone = candidate.entry().zone.clone();
        let others = sources.replicas.iter().filter(|(replica, tokens)| {
            replica.id_hash != candidate.id_hash && *tokens > cached_tokens
        });
        let best = others.max_by_key(|(replica, tokens)| {
            let is_same_zone = replica.entry().zone == zone;
            (
                *tokens,
                is_same_zone,
                std::cmp::Reverse(replica.open_requests()),
            )
        });
        let replica = best.map(|(replica, tokens)| Source {
            address: replica.pool.peer(),
            tokens: *tokens,
            is_replica: true,
        });
        let store = self.store.as_ref().map(|store| Source {
            address: store.address,
            tokens: match sources.is_in_store {
                true => self.context.shared_tokens(),
                false => 0,
            },
            is_replica: false,
        });
        // The replica wins a tie: its link is faster than the store's.
        store
            .into_iter()
            .chain(replica)
            .max_by_key(|source| source.tokens)
    }

    /// Cost of fetching this many tokens from the source.
    fn fetch_cost(&self, source: &Source, tokens: u64) -> Duration {
        let engine = self.context.engine();
        let bytes_per_token = engine.map_or(0, |engine| engine.bytes_per_token);
        let link_megabits = match source.is_replica {
            true => engine.map_or(0.0, |engine| engine.link_megabits),
            false => self.store.as_ref().map_or(0.0, |store| store.link_megabits),
        };
        let bits = (tokens * bytes_per_token * 8) as f64;
        let bits_per_second = link_megabits.max(1.0) * 1e6;
        FETCH_OVERHEAD + Duration::from_secs_f64(FETCH_COST_FACTOR * bits / bits_per_second)
    }
}
