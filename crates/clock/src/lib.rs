//! The monotonic clock for ages, leases, proofs and deadlines.
//!
//! A machine may be suspended for seconds, for example during a migration to another host. The clock of the
//! standard library (`CLOCK_MONOTONIC`) stops in the meantime, so that a proof of keys, or a lease that another
//! holder has taken by now, seems as fresh as before. This clock (`CLOCK_BOOTTIME`) includes the time of a
//! suspension. Like the other one, it never goes back.
//!
//! The timers of the runtime stop as well: after a suspension they wait for the time that was left before. So
//! an age has to be checked when something is done that depends on it, not only when a timer fires.

use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The clock that includes the time of a suspension.
#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;

/// Other systems include it in their monotonic clock, or have no other clock.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// Offset of the boot of the machine on this clock, so that a moment longer ago than the boot can be
/// represented.
const BOOT_OFFSET: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// Simulated time of suspension of this process in nanoseconds, see [`simulate_suspension`].
static SIMULATED_SUSPENSION_NANOS: AtomicU64 = AtomicU64::new(0);

/// A moment of this clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The present moment.
    pub fn now() -> Self {
        // Every Linux since 2.6.39 has this clock; without it no time can be measured at all.
        let now = clock_gettime(CLOCK).map(Duration::from).unwrap_or_default();
        let suspended = Duration::from_nanos(SIMULATED_SUSPENSION_NANOS.load(Ordering::Relaxed));
        Self(BOOT_OFFSET + now + suspended)
    }

    /// The time since this moment.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// The time from an earlier moment to this one; zero if `earlier` is later.
    pub fn duration_since(&self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// The time from an earlier moment to this one; zero if `earlier` is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time from an earlier moment to this one; `None` if `earlier` is later.
    pub fn checked_duration_since(&self, earlier: Self) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// The moment later by `time`.
    pub fn checked_add(&self, time: Duration) -> Option<Self> {
        self.0.checked_add(time).map(Self)
    }

    /// The moment earlier by `time`; `None` if it is before the origin of the clock.
    pub fn checked_sub(&self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, time: Duration) {
        self.0 += time;
    }
}

impl SubAssign<Duration> for Instant {
    fn sub_assign(&mut self, time: Duration) {
        self.0 -= time;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, time: Duration) -> Self {
        Self(self.0 - time)
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// Makes this process behave as if its machine had just been suspended for `time`. For tests only.
pub fn simulate_suspension(time: Duration) {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_NANOS.fetch_add(nanos, Ordering::Relaxed);
}
