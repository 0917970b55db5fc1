//! Candidates for a request.

use std::time::Duration;

use driftspring_decisions::load::ReplicaLoad;
use driftspring_decisions::placement::Candidate;

/// A candidate in the own zone that has cached nothing of the prompt, with `open_requests` open requests.
pub fn candidate(id_hash: u64, open_requests: u32) -> Candidate {
    Candidate {
        id_hash,
        load: ReplicaLoad {
            open_requests,
            ..ReplicaLoad::default()
        },
        failure_rate: 0.0,
        has_outdated_weights: false,
        is_in_own_zone: true,
        fetch_time: Duration::ZERO,
        recompute_time: Duration::from_millis(100),
        interference_cost_ms: 0.0,
        service_time: Duration::ZERO,
    }
}
