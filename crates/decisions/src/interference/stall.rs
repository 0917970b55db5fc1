//! The cost of the pauses that a prompt adds to the streams at a replica.

use super::{PromptProfile, bounded, milliseconds};
use crate::load::ReplicaLoad;

/// Cost of one running stream whose pause target the added stall uses up.
const STREAM_COST_MS: f64 = 200.0;

/// Upper bound of the cost.
const MAX_COST_MS: f64 = 2_000.0;

/// Streams at one replica beyond which more do not count.
const MAX_STREAMS: f64 = 1_024.0;

/// Prefill share beyond which more does not count.
const MAX_PREFILL_SHARE: f64 = 4.0;

/// Cost of interference of the request at a candidate, in milliseconds; 0 where no pause target is known.
pub fn interference_cost_ms(load: &ReplicaLoad, profile: &PromptProfile) -> f64 {
    let Some(target) = profile
        .service_pause_target
        .filter(|target| !target.is_zero())
    else {
        return 0.0;
    };
    let streams = bounded(load.running_streams, MAX_STREAMS);
    let stall = milliseconds(profile.prefill_time) / milliseconds(target);
    let to_others = streams * STREAM_COST_MS * stall;
    let own_target = profile.pause_target.filter(|target| !target.is_zero());
    let to_itself = own_target.map_or(0.0, |_| {
        STREAM_COST_MS * bounded(load.prefill_share, MAX_PREFILL_SHARE)
    });
    bounded(to_others + to_itself, MAX_COST_MS)
}
