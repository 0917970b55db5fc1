//! Coarse time of residency entries.

use std::time::Duration;

/// The length of one tick.
pub const TICK: Duration = Duration::from_millis(4);

/// Bits of a tick that an entry stores; the count wraps after 12 days.
pub(crate) const TICK_BITS: u32 = 28;

/// The largest stored tick.
pub(crate) const TICK_MASK: u32 = (1 << TICK_BITS) - 1;

/// Ticks since the daemon started, modulo 2^28.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick(u32);

impl Tick {
    /// The tick of a time since the daemon started.
    pub fn at(since_start: Duration) -> Self {
        let ticks = since_start.as_millis() / TICK.as_millis();
        Self((ticks & u128::from(TICK_MASK)) as u32)
    }

    /// A tick from its stored number.
    pub(crate) fn from_stored(stored: u32) -> Self {
        Self(stored & TICK_MASK)
    }

    /// The number to store.
    pub(crate) fn stored(self) -> u32 {
        self.0
    }

    /// Ticks from `earlier` to `self`; 0 where `earlier` is the later one (another thread's clock
    /// reading may be a little ahead).
    pub fn since(self, earlier: Self) -> u32 {
        let difference = self.0.wrapping_sub(earlier.0) & TICK_MASK;
        let is_negative = difference > TICK_MASK / 2;
        if is_negative { 0 } else { difference }
    }

    /// Whether `self` is later than `other`.
    pub fn is_after(self, other: Self) -> bool {
        self.since(other) > 0
    }
}

/// Whole ticks of a duration.
pub(crate) fn ticks_of(duration: Duration) -> u32 {
    (duration.as_millis() / TICK.as_millis()) as u32
}
