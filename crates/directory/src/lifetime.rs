//! How long an engine keeps a block after its last use.
//!
//! Engines evict the least recently used blocks, so a block is resident about as long as its last
//! use is younger than some time that depends on the engine's traffic (the cache's characteristic
//! time). The estimate follows the truth of answers: it shrinks where a block believed resident was
//! missing, grows where a block believed expired was still there, and so settles where both errors
//! are equally frequent.

use std::time::Duration;

use crate::sync::{AtomicU32, Ordering};
use crate::tick::{TICK, ticks_of};

/// The estimate never falls below this.
pub const SHORTEST_LIFETIME: Duration = Duration::from_millis(500);

/// The estimate never rises above this.
pub const LONGEST_LIFETIME: Duration = Duration::from_secs(120);

/// One correction changes the estimate by a sixteenth.
const STEP_DIVISOR: u32 = 16;

/// A running estimate in ticks.
#[derive(Debug)]
pub(crate) struct LifetimeEstimate {
    ticks: AtomicU32,
}

impl LifetimeEstimate {
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            ticks: AtomicU32::new(ticks_of(initial)),
        }
    }

    /// The present estimate in ticks.
    pub(crate) fn ticks(&self) -> u32 {
        self.ticks.load(Ordering::Relaxed)
    }

    /// The present estimate.
    pub(crate) fn duration(&self) -> Duration {
        TICK * self.ticks()
    }

    /// A block believed resident was missing.
    pub(crate) fn shrink(&self) {
        let ticks = self.ticks();
        self.store(ticks - ticks / STEP_DIVISOR);
    }

    /// A block believed expired was there.
    pub(crate) fn grow(&self) {
        let ticks = self.ticks();
        self.store(ticks + ticks / STEP_DIVISOR);
    }

    /// Two corrections at once may count as one, which does no harm to an estimate.
    fn store(&self, ticks: u32) {
        let bounded = ticks.clamp(ticks_of(SHORTEST_LIFETIME), ticks_of(LONGEST_LIFETIME));
        self.ticks.store(bounded, Ordering::Relaxed);
    }
}
