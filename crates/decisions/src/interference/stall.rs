//! The cost of the pauses that a prompt adds to the streams at a replica, and of those that it meets there itself.

use std::time::Duration;

use super::{PromptProfile, bounded, milliseconds};
use crate::load::ReplicaLoad;

/// Cost for each running stream if prefilling the prompt takes as long as the pause target. The cost grows with the
/// square of that ratio: a stream tolerates a stall that is short relative to its target, and long prompts that
/// streams don't tolerate are worth a cache miss elsewhere (some 60 ms for a fetch). With twice the cost, long prompts
/// of ordinary length leave the replicas that have their shared part cached when the load is high.
const STREAM_COST_MS: f64 = 150.0;

/// Cost for a short prompt of a replica that prefills all the time. It has to outweigh the few milliseconds by which
/// replicas differ otherwise, and must not outweigh a prefill that is in progress elsewhere (a long prompt takes some
/// 80 ms).
const PREFILLING_COST_MS: f64 = 100.0;

/// Cost for a long prompt of a replica whose remaining prefill exceeds the pause target by once that target. It is more
/// than the cost of recomputing a long shared part (350 ms for 6,300 tokens), so that a long prompt rather goes to a
/// replica that has nothing cached.
const EXCESS_PREFILL_COST_MS: f64 = 400.0;

/// Upper bound of the cost. Together with that of the separation it stays below the cost of a replica where all
/// requests fail (900 ms), so that no load makes such a replica the better one.
const MAX_COST_MS: f64 = 800.0;

/// Bound on the reported number of streams, far above the slots of a replica.
const MAX_STREAMS: f64 = 1_024.0;

/// Bound on the reported prefill share, which exceeds 1 while a replica gets more than it can prefill.
const MAX_PREFILL_SHARE: f64 = 4.0;

/// Cost of interference of the request at a candidate, in milliseconds; 0 where no pause target is known.
pub fn interference_cost_ms(load: &ReplicaLoad, profile: &PromptProfile) -> f64 {
    let Some(target) = profile.target() else {
        return 0.0;
    };
    let of_target = |time: Duration| milliseconds(time) / milliseconds(target);
    let streams = bounded(load.running_streams, MAX_STREAMS);
    let others = STREAM_COST_MS * streams * of_target(profile.prefill_time).powi(2);
    let own = if profile.is_long() {
        // As many long prompts as fit into the pause target are prefilled at once; more are placed elsewhere.
        EXCESS_PREFILL_COST_MS * of_target(load.remaining_prefill.saturating_sub(target))
    } else if profile.pause_target.is_some_and(|target| !target.is_zero()) {
        PREFILLING_COST_MS * bounded(load.prefill_share, MAX_PREFILL_SHARE)
    } else {
        0.0
    };
    bounded(others + own, MAX_COST_MS)
}
