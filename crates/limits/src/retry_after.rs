//! When a refused caller should come back.

use std::time::Duration;

/// The shortest time to come back.
pub const SHORTEST: Duration = Duration::from_millis(100);

/// The longest time to come back.
pub const LONGEST: Duration = Duration::from_secs(30);

/// The time in which `excess` of `open` requests end, where each takes `mean_service_time`.
///
/// By Little's law `open / mean_service_time` requests end in a unit of time.
pub fn time_to_drain(excess: u32, open: u32, mean_service_time: Duration) -> Duration {
    let part = f64::from(excess.max(1)) / f64::from(open.max(1));
    clamp(mean_service_time.mul_f64(part.min(1.0)))
}

/// Spreads callers that were refused together: `time` plus up to half of it, by `spread`, of which
/// any bits will do.
pub fn with_jitter(time: Duration, spread: u64) -> Duration {
    const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
    let sixteen_bits = spread.wrapping_mul(GOLDEN_RATIO) >> 48;
    let fraction = sixteen_bits as f64 / f64::from(u16::MAX);
    clamp(time.mul_f64(1.0 + fraction / 2.0))
}

fn clamp(time: Duration) -> Duration {
    time.clamp(SHORTEST, LONGEST)
}
