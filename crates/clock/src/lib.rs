//! The steady clock by which ages, leases, proofs and deadlines are counted.
//!
//! A machine may be suspended for seconds, as when it is moved to another host. The standard library's clock stands still
//! meanwhile (`CLOCK_MONOTONIC`), so that a proof of keys, or a lease that another one has taken by now, looks as fresh
//! as before. This clock counts that time (`CLOCK_BOOTTIME`). Like the other one it never goes back.
//!
//! Timers of the runtime stand still too: what waits goes on to wait after a suspension for as long as it had left. So
//! an age is looked at when something is done that depends on it, not only when a timer ends.

use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The clock that counts while the machine is suspended.
#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;

/// Other systems count it with their monotonic clock, or have no other.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// Where the boot of the machine lies on this clock, so that ages longer than that have a begin too.
const BOOT_OFFSET: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// How long this process is taken to have been suspended, in nanoseconds; see [`simulate_suspension`].
static SIMULATED_SUSPENSION_NANOS: AtomicU64 = AtomicU64::new(0);

/// A moment of the steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The present moment.
    pub fn now() -> Self {
        // Every Linux since 2.6.39 has the clock; without it nothing here can be counted at all.
        let now = clock_gettime(CLOCK).map(Duration::from).unwrap_or_default();
        let suspended = Duration::from_nanos(SIMULATED_SUSPENSION_NANOS.load(Ordering::Relaxed));
        Self(BOOT_OFFSET + now + suspended)
    }

    /// The time since this moment.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// The time from an earlier moment to this one; nothing where that is later.
    pub fn duration_since(&self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// The time from an earlier moment to this one; nothing where that is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time from an earlier moment to this one; none where that is later.
    pub fn checked_duration_since(&self, earlier: Self) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// The moment so much later.
    pub fn checked_add(&self, time: Duration) -> Option<Self> {
        self.0.checked_add(time).map(Self)
    }

    /// The moment so much earlier; nothing where it lies before the begin of the clock.
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

/// Lets this process believe that its machine was suspended for so long just now. For tests only.
pub fn simulate_suspension(time: Duration) {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_NANOS.fetch_add(nanos, Ordering::Relaxed);
}
