//! Which replicas load new weights next.

use std::time::Duration;

/// A replica in the eyes of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedReplica {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// The version of its weights, where that is older than wanted.
    pub outdated_version: Option<u64>,
    /// Whether it is loading, or was told to.
    pub is_loading: bool,
    /// Requests of this daemon that are open there.
    pub open_requests: u32,
    /// How long it is left alone after an order that failed.
    pub remaining_backoff: Duration,
    /// Whether its weights are so old that it gets no requests.
    pub has_expired_weights: bool,
    /// Whether it could not be reached lately, by requests or by orders.
    pub is_unreachable: bool,
}

/// One in so many replicas of a service loads at once: the store of weights serves about so many at full
/// speed, and the others have to bear the traffic meanwhile.
const REPLICAS_PER_LOAD: usize = 5;

/// How many replicas of a service may load at once; rounded half up.
pub fn parallel_loads(replicas: usize) -> usize {
    ((2 * replicas + REPLICAS_PER_LOAD) / (2 * REPLICAS_PER_LOAD)).max(1)
}

/// The replicas that should load now: all that are out of use until they do, even beyond the number that
/// may load at once, since nobody misses them meanwhile; then those that can be reached before the others, the
/// oldest weights first, no two of one zone before every zone has one, and those with the fewest open requests
/// first.
pub fn next_loads(replicas: &[PlannedReplica]) -> Vec<String> {
    let loading = replicas.iter().filter(|replica| replica.is_loading);
    let mut loading_zones: Vec<&str> = loading.map(|replica| replica.zone.as_str()).collect();
    let free_loads = parallel_loads(replicas.len()).saturating_sub(loading_zones.len());
    let eligible = replicas.iter().filter(|replica| {
        replica.outdated_version.is_some()
            && !replica.is_loading
            && replica.remaining_backoff.is_zero()
    });
    let (out_of_use, mut candidates): (Vec<&PlannedReplica>, Vec<&PlannedReplica>) =
        eligible.partition(|replica| replica.has_expired_weights);
    let mut chosen: Vec<String> = out_of_use
        .iter()
        .map(|replica| replica.id.clone())
        .collect();
    while chosen.len() < free_loads && !candidates.is_empty() {
        let loads_in_zone = |replica: &&PlannedReplica| {
            loading_zones
                .iter()
                .filter(|zone| **zone == replica.zone)
                .count()
        };
        candidates.sort_by_key(|replica| {
            let version = replica.outdated_version;
            (
                replica.is_unreachable,
                version,
                loads_in_zone(replica),
                replica.open_requests,
                replica.id.clone(),
            )
        });
        let next = candidates.remove(0);
        loading_zones.push(&next.zone);
        chosen.push(next.id.clone());
    }
    chosen
}
