//! The load of one replica at one moment, as one gateway estimates it. All decisions use this one estimate.

use std::time::Duration;

/// The load of one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaLoad {
    /// Requests of this gateway that are open at the replica.
    pub open_requests: u32,
    /// How long the replica will still be prefilling prompts, as far as the gateways have told each other.
    pub remaining_prefill: Duration,
    /// Streams with a pause target that run at the replica, for all gateways together.
    pub running_streams: f64,
    /// Share of the recent time that the replica spent prefilling; above 1 if it got more than it can prefill.
    pub prefill_share: f64,
    /// Time that the replica takes for a request, relative to the other replicas of its service: 2 is half as fast.
    pub slowdown: f64,
}

impl Default for ReplicaLoad {
    fn default() -> Self {
        Self {
            open_requests: 0,
            remaining_prefill: Duration::ZERO,
            running_streams: 0.0,
            prefill_share: 0.0,
            slowdown: 1.0,
        }
    }
}
