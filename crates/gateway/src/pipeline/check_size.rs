//! Filter: checks the size of a request's head, and finds the newest limits on sizes.

use driftspring_clock::Instant;

use super::authorize::{confirmation_timeout, denial_max_proof_age};
use super::context::caller_deadline;
use super::decode::Decoded;
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::CallerLimits;
use crate::state::GatewayState;

/// When a request arrived, and when it is given up.
#[derive(Debug, Clone, Copy)]
pub struct RequestTimes {
    /// Its arrival.
    pub arrived_at: Instant,
    /// The end of its time.
    pub deadline: Instant,
}

/// Refuses a request whose head is larger than the configuration allows. Without a configuration any head passes, since
/// no request does.
pub async fn check_head_size(
    state: &GatewayState,
    decoded: &Decoded,
    arrived_at: Instant,
) -> Result<(), Refusal> {
    let times = RequestTimes {
        arrived_at,
        deadline: caller_deadline(decoded, arrived_at),
    };
    let limit = |limits: &CallerLimits| limits.max_header_bytes;
    let Some(limit) = limit_for(state, times, Step::Decode, decoded.head_bytes, limit).await?
    else {
        return Ok(());
    };
    match decoded.head_bytes > limit {
        true => {
            let detail = format!("{} bytes, over {limit}", decoded.head_bytes);
            Err(Refusal::new(Step::Decode, Reason::HeadTooLarge, detail))
        }
        false => Ok(()),
    }
}

/// The limit in force for a request of `bytes`; `None` without a configuration. If the one known here is below that, it
/// is the final one only with a recent proof of the configuration, since the limit may have been raised.
pub async fn limit_for(
    state: &GatewayState,
    times: RequestTimes,
    step: Step,
    bytes: usize,
    limit: impl Fn(&CallerLimits) -> usize,
) -> Result<Option<usize>, Refusal> {
    let in_force = || {
        let configuration = state.configuration.load();
        configuration.as_ref().map(|known| limit(&known.limits))
    };
    let known = in_force();
    if known.is_none_or(|known| bytes <= known) {
        return Ok(known);
    }
    let timeout = confirmation_timeout(times.arrived_at, times.deadline);
    let is_confirmed = state
        .currency
        .confirm(denial_max_proof_age(state), timeout)
        .await;
    let newest = in_force();
    let is_allowed = newest.is_none_or(|newest| bytes <= newest);
    match is_confirmed || is_allowed {
        true => Ok(newest),
        false => Err(Refusal::new(
            step,
            Reason::NotInformed,
            "no current configuration",
        )),
    }
}
