//! How long a request waits at a daemon that has just started for its first list of replicas.

use std::time::Duration;

/// How long a request waits at least; a call to the store takes a few milliseconds, and a slow one is waited for as long as a
/// proof of the configuration is.
const MIN_WAIT: Duration = Duration::from_millis(600);

/// The age by which a daemon of a large system, all of which has started anew, should know the replicas: callers are to be served
/// within 2 s of the start.
const FULL_LIST_MAX_AGE: Duration = Duration::from_secs(2);

/// The share of its time that a request waits at most beyond the least: the rest is for its replica, or for its caller to come again.
const MAX_WAIT_SHARE: f64 = 0.75;

/// How long a request with `time_left` waits at a daemon that started `age` ago. A caller that is refused instead tries again at
/// another daemon that has just started too, and mostly has only this one try more.
pub fn first_list_timeout(age: Duration, time_left: Duration) -> Duration {
    let until_known = FULL_LIST_MAX_AGE.saturating_sub(age);
    let most = time_left.mul_f64(MAX_WAIT_SHARE);
    until_known.min(most).max(MIN_WAIT.min(time_left))
}
