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
    pub reading: Duration,
    /// The share of recent requests that failed there.
    pub failure_share: f64,
    /// Whether it has older weights than wanted, for so long that answers lose worth.
    pub is_outdated: bool,
    /// Whether it is in this daemon's zone.
    pub is_near: bool,
    /// What it costs to bring shared parts that others keep.
    pub fetching: Duration,
    /// What it costs to read the shared parts that are kept nowhere, unless this is their home.
    pub reading_again: Duration,
}

/// Milliseconds that one open request counts as: it shares its replica's steps.
const OPEN_REQUEST_MS: f64 = 4.0;

/// Milliseconds that failures count as where all requests fail.
const FAILURE_MS: f64 = 900.0;

/// Milliseconds that older weights count as.
const OUTDATED_MS: f64 = 60.0;

/// Milliseconds that the way to another zone counts as.
const FAR_MS: f64 = 2.0;

/// Milliseconds that each rank counts as, so that daemons that know the same choose the same.
const RANK_MS: f64 = 1.0;

/// The position of the candidate that takes the request, and that of its home. Without a key, which a prompt
/// has that shares parts, the least loaded candidate takes it. `tie` settles what is equal.
pub fn place(
    candidates: &[Candidate],
    key: Option<PlacementKey>,
    tie: u64,
) -> Option<(usize, usize)> {
    let Some(key) = key else {
        let least = least_loaded(candidates, tie)?;
        return Some((least, least));
    };
    let order = ranked(candidates, key);
    let home = *order.first()?;
    let cost = |(rank, index): &(usize, usize)| {
        let candidate = &candidates[*index];
        let reading_again = match rank {
            0 => Duration::ZERO,
            _ => candidate.reading_again,
        };
        let miss = candidate.fetching + reading_again;
        load_ms(candidate) + milliseconds(miss) + RANK_MS * *rank as f64
    };
    let ranks = order.iter().copied().enumerate();
    let cheapest = ranks.min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
    Some((cheapest.1, home))
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// The positions of the candidates, by their claim to `key`.
fn ranked(candidates: &[Candidate], key: PlacementKey) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| std::cmp::Reverse(claim(candidates[*index].id_hash, key)));
    order
}

/// The claim of the replica whose id has this hash to `key`; the highest one is the home.
pub fn claim(id_hash: u64, key: PlacementKey) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), id_hash)
}

/// What a request waits for at a candidate, in milliseconds; what makes it worse counts as waiting too.
fn load_ms(candidate: &Candidate) -> f64 {
    let outdated = if candidate.is_outdated {
        OUTDATED_MS
    } else {
        0.0
    };
    milliseconds(candidate.reading)
        + OPEN_REQUEST_MS * f64::from(candidate.open_requests)
        + FAILURE_MS * candidate.failure_share
        + outdated
}

fn least_loaded(candidates: &[Candidate], tie: u64) -> Option<usize> {
    let weight = |index: &usize| {
        let candidate = &candidates[*index];
        let far = if candidate.is_near { 0.0 } else { FAR_MS };
        load_ms(candidate) + far
    };
    let tie_break = |index: &usize| xxh3_64_with_seed(&tie.to_le_bytes(), *index as u64);
    (0..candidates.len()).min_by(|one, other| {
        let by_weight = weight(one).total_cmp(&weight(other));
        by_weight.then_with(|| tie_break(one).cmp(&tie_break(other)))
    })
}
