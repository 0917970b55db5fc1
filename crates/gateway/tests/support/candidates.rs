//! Candidates for a request.

use std::time::Duration;

use driftspring_gateway::replicas::Candidate;

/// A near candidate that keeps nothing of the prompt, with so many open requests.
pub fn candidate(id_hash: u64, open_requests: u32) -> Candidate {
    Candidate {
        id_hash,
        open_requests,
        reading: Duration::ZERO,
        failure_share: 0.0,
        is_outdated: false,
        is_near: true,
        fetching: Duration::ZERO,
        reading_again: Duration::from_millis(100),
    }
}
