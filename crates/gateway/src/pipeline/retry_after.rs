//! When a caller should come back that was refused since lines are too long.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The earliest return: sooner, the same line is met again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The window over which those refused at one time are spread, as a share of the wait that was expected: over it
/// the line is worked off.
const SPREAD_SHARE: f64 = 0.5;

/// The share of the time that callers have left up to which they obey (operator's page of the protocol).
const MAX_SHARE_OF_TIME_LEFT: f64 = 1.0 / 3.0;

/// When a caller should come back with `acceptable_wait` for its next request, where a wait of `wait` is expected now
/// and it has `time_left` in all. A line that nobody joins gets shorter by as much time as goes by, so that is
/// when `acceptable_wait` will do. `draw` spreads returns, so that they don't come as one wave; what is beyond the time
/// that callers obey is drawn from the whole of it.
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

/// When a caller should come back where every replica asked for a pause, of which the shortest ends after `pause`. `draw` spreads
/// the returns over half of that time again, so that those refused together don't come back together.
pub fn retry_after_pause(pause: Duration, draw: u64) -> Duration {
    let pause = pause.max(MIN_RETRY_AFTER);
    pause + pause.mul_f64(SPREAD_SHARE * random_fraction(draw))
}

/// A share from 0 to 1 that looks random over successive draws.
fn random_fraction(draw: u64) -> f64 {
    let hash = xxh3_64(&draw.to_le_bytes());
    hash as f64 / u64::MAX as f64
}
