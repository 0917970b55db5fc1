//! Choice of the replicas that load new weights next.

use std::time::Duration;

/// What the plan needs to know of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedReplica {
    /// Id of the replica.
    pub id: String,
    /// Zone of the replica.
    pub zone: String,
    /// Version of its weights if that is older than the wanted one.
    pub outdated_version: Option<u64>,
    /// Whether the replica is loading weights or was ordered to.
    pub is_loading: bool,
    /// Number of open requests of this gateway at the replica.
    pub open_requests: u32,
    /// How long the replica gets no further order after one that failed.
    pub remaining_backoff: Duration,
    /// Whether its weights are so old that it gets no requests.
    pub has_expired_weights: bool,
    /// Whether recent requests or orders did not reach it.
    pub is_unreachable: bool,
}

/// Ratio of the replicas of a service to those that load at once. The weight store serves about this share of them at full
/// speed, and the other replicas have to bear the traffic meanwhile.
const REPLICAS_PER_LOAD: usize = 5;

/// Number of replicas of a service that may load at once, rounded half up.
pub fn parallel_loads(replicas: usize) -> usize {
    ((2 * replicas + REPLICAS_PER_LOAD) / (2 * REPLICAS_PER_LOAD)).max(1)
}

/// Returns the ids of the replicas that should load now.
///
/// All replicas with expired weights are included, even beyond the number that may load at once, since they serve no
/// requests until they have loaded. The others are ordered by whether they can be reached, by the age of their weights
/// (oldest first), by the number of loads in their zone, and by open requests (fewest first).
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
