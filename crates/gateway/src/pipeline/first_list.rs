//! How long a request waits at a daemon that has just started for its first list of replicas.

use std::time::Duration;

/// How long a request waits at least; a call to the store takes a few milliseconds, and a slow one is waited for as long as a
/// proof of the configuration is.
const LEAST: Duration = Duration::from_millis(600);

/// How long a request with `time_left` waits at a daemon that started `age` ago.
pub fn first_list_patience(_age: Duration, time_left: Duration) -> Duration {
    LEAST.min(time_left)
}
