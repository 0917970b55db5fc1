//! Where a request goes: the replica that answers it soonest, as far as this daemon knows.
//!
//! Rendezvous hashing on what a prompt shares ranks the replicas alike at every daemon, so that the shared
//! parts are read and kept at few of them without a message. The first in rank, the *home*, is expected to
//! keep them; elsewhere they have to be fetched or read. Against that stands the time for which a replica
//! is still reading other prompts. Both are milliseconds, so they can be compared.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a prompt shares with others; equal keys rank the replicas alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementKey(pub u64);

/// A replica that may take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The hash of its id.
    pub id_hash: u64,
    /// Requests of this daemon that are open there.
    pub open_requests: u32,
    /// How long it is still reading prompts, as far as daemons told each other.
    pub remaining_prefill: Duration,
    /// The share of recent requests that failed there.
    pub failure_rate: f64,
    /// Whether it has older weights than wanted, for so long that answers lose worth.
    pub has_outdated_weights: bool,
    /// Whether it is in this daemon's zone.
    pub is_in_own_zone: bool,
    /// What it costs to bring shared parts that others keep.
    pub fetch_time: Duration,
    /// What it costs to read the shared parts that are kept nowhere, unless this is their home.
    pub recompute_time: Duration,
}

/// Milliseconds that one open request counts as: it shares its replica's steps.
const OPEN_REQUEST_COST_MS: f64 = 4.0;

/// Milliseconds that failures count as where all requests fail.
const FAILURE_COST_MS: f64 = 900.0;

/// Milliseconds that older weights count as.
const OUTDATED_WEIGHTS_COST_MS: f64 = 60.0;

/// Milliseconds that the way to another zone counts as.
const OTHER_ZONE_COST_MS: f64 = 2.0;

/// Milliseconds that each rank counts as, so that daemons that know the same choose the same.
const RANK_COST_MS: f64 = 1.0;

/// The position of the candidate that takes the request, and that of its home. Without a key, which a prompt
/// has that shares parts, the least loaded candidate takes it. `tie_seed` settles what is equal.
pub fn place(
    candidates: &[Candidate],
    key: Option<PlacementKey>,
    tie_seed: u64,
) -> Option<(usize, usize)> {
    let Some(key) = key else {
        let least = least_loaded(candidates, tie_seed)?;
        return Some((least, least));
    };
    let order = rank_candidates(candidates, key);
    let home = *order.first()?;
    let cost = |(rank, index): &(usize, usize)| {
        let candidate = &candidates[*index];
        let recompute_time = match rank {
            0 => Duration::ZERO,
            _ => candidate.recompute_time,
        };
        let cache_miss = candidate.fetch_time + recompute_time;
        load_cost_ms(candidate) + milliseconds(cache_miss) + RANK_COST_MS * *rank as f64
    };
    let ranks = order.iter().copied().enumerate();
    let cheapest = ranks.min_by(|left, right| cost(left).total_cmp(&cost(right)))?;
    Some((cheapest.1, home))
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// The positions of the candidates, by their claim to `key`.
fn rank_candidates(candidates: &[Candidate], key: PlacementKey) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| {
        std::cmp::Reverse(rendezvous_score(candidates[*index].id_hash, key))
    });
    order
}

/// The claim of the replica whose id has this hash to `key`; the highest one is the home.
pub fn rendezvous_score(id_hash: u64, key: PlacementKey) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), id_hash)
}

/// What a request waits for at a candidate, in milliseconds; what makes it worse counts as waiting too.
fn load_cost_ms(candidate: &Candidate) -> f64 {
    let outdated = if candidate.has_outdated_weights {
        OUTDATED_WEIGHTS_COST_MS
    } else {
        0.0
    };
    milliseconds(candidate.remaining_prefill)
        + OPEN_REQUEST_COST_MS * f64::from(candidate.open_requests)
        + FAILURE_COST_MS * candidate.failure_rate
        + outdated
}

fn least_loaded(candidates: &[Candidate], tie_seed: u64) -> Option<usize> {
    let weight = |index: &usize| {
        let candidate = &candidates[*index];
        let far = if candidate.is_in_own_zone {
            0.0
        } else {
            OTHER_ZONE_COST_MS
        };
        load_cost_ms(candidate) + far
    };
    let tie_break = |index: &usize| xxh3_64_with_seed(&tie_seed.to_le_bytes(), *index as u64);
    (0..candidates.len()).min_by(|left, right| {
        let by_weight = weight(left).total_cmp(&weight(right));
        by_weight.then_with(|| tie_break(left).cmp(&tie_break(right)))
    })
}
