//! How long a request waits for the first list of replicas at a gateway that has just started.

use std::time::Duration;

/// Minimum wait. A call to the store takes a few milliseconds; a slow one is waited for as long as a proof of the
/// configuration.
const MIN_WAIT: Duration = Duration::from_millis(600);

/// Age by which a gateway should know the replicas, even if all gateways of a large system have restarted: callers have
/// to be served within 2 s of the start.
const FULL_LIST_MAX_AGE: Duration = Duration::from_secs(2);

/// Maximum share of the request's time that it waits beyond the minimum; the rest is for its replica, or for a retry by
/// its caller.
const MAX_WAIT_SHARE: f64 = 0.75;

/// How long a request with `time_left` waits at a gateway that started `age` ago. A refused caller would retry at
/// another gateway, which has also just started, and usually has only this one retry left.
pub fn first_list_timeout(age: Duration, time_left: Duration) -> Duration {
    let until_known = FULL_LIST_MAX_AGE.saturating_sub(age);
    let max_wait = time_left.mul_f64(MAX_WAIT_SHARE);
    until_known.min(max_wait).max(MIN_WAIT.min(time_left))
}
