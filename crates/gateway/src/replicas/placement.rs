//! Where a request goes: rendezvous hashing on what its prompt shares, with bounded load.
//!
//! Every daemon computes the same order of replicas for the same shared parts, so that a part is read and
//! kept at few replicas without a message between daemons. The first replica of the order that is not
//! loaded far beyond the mean takes the request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a prompt shares with others; equal keys go to the same replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementKey(pub u64);

/// A replica that may take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The hash of its id.
    pub id_hash: u64,
    /// Requests of this daemon that are open there.
    pub open_requests: u32,
    /// The share of recent requests that failed there.
    pub failure_share: f64,
    /// Whether it is in this daemon's zone.
    pub is_near: bool,
}

/// How far above the mean a replica's load may lie, as a factor.
const LOAD_BOUND: f64 = 1.2;

/// Open requests that a replica may have whatever the mean.
const FREE_REQUESTS: f64 = 1.0;

/// Open requests that a replica's failures weigh as much as, where all requests fail.
const FAILURE_PENALTY: f64 = 40.0;

/// Open requests that the way to another zone weighs as much as.
const FAR_PENALTY: f64 = 0.5;

/// The position of the candidate that takes the request, and of the first one in the order of its key.
/// Without a key the least loaded candidate takes it. `tie` settles what is equal.
pub fn place(
    candidates: &[Candidate],
    key: Option<PlacementKey>,
    tie: u64,
) -> Option<(usize, usize)> {
    let Some(key) = key else {
        let least = least_loaded(candidates, tie)?;
        return Some((least, least));
    };
    let total: f64 = candidates.iter().map(load).sum();
    let mean = total / candidates.len().max(1) as f64;
    let bound = FREE_REQUESTS + (mean * LOAD_BOUND).ceil();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| {
        std::cmp::Reverse(xxh3_64_with_seed(
            &key.0.to_le_bytes(),
            candidates[*index].id_hash,
        ))
    });
    let home = *order.first()?;
    let chosen = order
        .iter()
        .copied()
        .find(|index| load(&candidates[*index]) < bound);
    Some((chosen.unwrap_or(home), home))
}

/// Its open requests, its failures counted as such too.
fn load(candidate: &Candidate) -> f64 {
    f64::from(candidate.open_requests) + FAILURE_PENALTY * candidate.failure_share
}

fn least_loaded(candidates: &[Candidate], tie: u64) -> Option<usize> {
    let weight = |index: &usize| {
        let candidate = &candidates[*index];
        let far = if candidate.is_near { 0.0 } else { FAR_PENALTY };
        load(candidate) + far
    };
    let tie_break = |index: &usize| xxh3_64_with_seed(&tie.to_le_bytes(), *index as u64);
    (0..candidates.len()).min_by(|one, other| {
        let by_weight = weight(one).total_cmp(&weight(other));
        by_weight.then_with(|| tie_break(one).cmp(&tie_break(other)))
    })
}
