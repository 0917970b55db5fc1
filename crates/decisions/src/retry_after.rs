//! When a refused caller should retry, if queues are too long or all replicas are paused.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Minimum delay: an earlier retry meets the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Window over which simultaneously refused callers are spread, as a share of the expected wait: the queue is worked
/// off during that time.
const SPREAD_SHARE: f64 = 0.5;

/// Share of their remaining time up to which callers obey the delay (operator's page of the protocol).
const MAX_SHARE_OF_TIME_LEFT: f64 = 1.0 / 3.0;

/// Delay after which a refused caller should retry. `wait` is the expected wait now, `acceptable_wait` the one that its
/// next request accepts, and `time_left` the time it has in all. A queue that nobody joins gets shorter by the time
/// that passes, so `wait - acceptable_wait` is the earliest useful delay. `draw` spreads the retries, so that they do
/// not arrive in one wave; if the delay would exceed what callers obey, it is drawn from that whole range.
pub fn retry_after(
    wait: Duration,
    acceptable_wait: Duration,
    time_left: Duration,
    draw: u64,
) -> Duration {
    let latest = time_left.mul_f64(MAX_SHARE_OF_TIME_LEFT);
    let earliest = wait.saturating_sub(acceptable_wait).max(MIN_RETRY_AFTER);
    let spread = wait.mul_f64(SPREAD_SHARE);
    let earliest = earliest.min(latest.saturating_sub(spread)).min(latest);
    let end = (earliest + spread).min(latest);
    earliest + (end - earliest).mul_f64(random_fraction(draw))
}

/// Delay after which a caller should retry if every replica has asked for a pause, the shortest of which ends after
/// `pause`. `draw` spreads the retries over another half of that time, so that callers that were refused together do
/// not return together.
pub fn retry_after_pause(pause: Duration, draw: u64) -> Duration {
    let pause = pause.max(MIN_RETRY_AFTER);
    pause + pause.mul_f64(SPREAD_SHARE * random_fraction(draw))
}

/// Pseudo-random fraction from 0 to 1, derived from `draw`.
fn random_fraction(draw: u64) -> f64 {
    let hash = xxh3_64(&draw.to_le_bytes());
    hash as f64 / u64::MAX as f64
}
