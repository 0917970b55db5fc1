//! Chooses the replica that is expected to answer a request soonest.
//!
//! Rendezvous hashing on the shared prefix of the prompt ranks the replicas identically at every gateway, so
//! that a shared prefix is computed and cached at few of them without coordination. The first in rank, the
//! *home*, is expected to have it cached; other replicas have to fetch or recompute it. The other cost is the
//! time for which a replica is still prefilling other prompts. Both are in milliseconds and so can be compared.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::load::ReplicaLoad;

/// Hash of the prefix that a prompt shares with others. Equal keys rank the replicas identically.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementKey(pub u64);

/// A replica that may take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The hash of its id.
    pub id_hash: u64,
    /// Its load.
    pub load: ReplicaLoad,
    /// The moving average of failed requests.
    pub failure_rate: f64,
    /// Whether its weights have been older than the wanted ones for so long that its answers lose value.
    pub has_outdated_weights: bool,
    /// Whether it is in the zone of this gateway.
    pub is_in_own_zone: bool,
    /// The time to fetch the shared parts that other replicas have cached.
    pub fetch_time: Duration,
    /// The time to recompute the shared parts that are cached nowhere. It is not counted at their home.
    pub recompute_time: Duration,
    /// The cost of prefilling the prompt beside the streams that run there, see [`crate::interference`].
    pub interference_cost_ms: f64,
    /// The time that the request itself takes at a replica of normal speed; zero if that is not known.
    pub service_time: Duration,
}

/// Cost of one open request: it shares the steps of its replica.
const OPEN_REQUEST_COST_MS: f64 = 4.0;

/// Cost of failures at a replica where all requests fail.
const FAILURE_COST_MS: f64 = 900.0;

/// Cost of outdated weights.
const OUTDATED_WEIGHTS_COST_MS: f64 = 60.0;

/// Cost of the way to another zone.
const OTHER_ZONE_COST_MS: f64 = 2.0;

/// Cost of each rank, so that gateways with the same knowledge choose the same replica.
const RANK_COST_MS: f64 = 1.0;

/// The position of the candidate that takes the request, and that of its home. Without a key, when the prompt
/// shares no parts, it is the least loaded candidate. `tie_seed` decides between equal ones.
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

/// The positions of the candidates, by descending score for `key`.
fn rank_candidates(candidates: &[Candidate], key: PlacementKey) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| {
        std::cmp::Reverse(rendezvous_score(candidates[*index].id_hash, key))
    });
    order
}

/// The score for `key` of the replica whose id has this hash. The replica with the highest score is the home.
pub fn rendezvous_score(id_hash: u64, key: PlacementKey) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), id_hash)
}

/// The cost of the load at a candidate in milliseconds. Whatever makes an answer worse counts as time too.
fn load_cost_ms(candidate: &Candidate) -> f64 {
    let outdated = if candidate.has_outdated_weights {
        OUTDATED_WEIGHTS_COST_MS
    } else {
        0.0
    };
    milliseconds(candidate.load.remaining_prefill)
        + OPEN_REQUEST_COST_MS * f64::from(candidate.load.open_requests)
        + FAILURE_COST_MS * candidate.failure_rate
        + candidate.interference_cost_ms
        + outdated
        + slowdown_cost_ms(candidate)
}

/// Time of a request that counts at most when replicas of different speed are compared. Open requests cost a few
/// milliseconds each, so a replica that takes seconds longer would get nothing however busy the others are: in a replay
/// with short slow windows, calls then gathered at a few replicas until 0.9% of them were late.
const MAX_COMPARED_SERVICE_TIME: Duration = Duration::from_millis(20);

/// The additional time that a slow replica takes for the request and for those that are open there; 0 at normal speed.
fn slowdown_cost_ms(candidate: &Candidate) -> f64 {
    let load = &candidate.load;
    let service_time = candidate.service_time.min(MAX_COMPARED_SERVICE_TIME);
    let normal = milliseconds(service_time) + OPEN_REQUEST_COST_MS * f64::from(load.open_requests);
    (load.slowdown - 1.0).max(0.0) * normal
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
