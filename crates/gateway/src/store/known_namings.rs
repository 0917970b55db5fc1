//! Tracks the time up to which all namings of weights are known here.
//!
//! A list shows only the newest version of each model. If that is not the successor of the newest version known here, another
//! version was named in between, at any time after the one up to which all namings are known.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

use super::position::StorePosition;
use super::progress::StoreProgress;

/// Maximum delay after which a gateway that reads the store knows of a naming: the store's revision is read each 0.9 s, and
/// up to 0.5 s later a watch that has not reported the change is repeated.
const READER_LAG: Duration = Duration::from_millis(1400);

/// The time up to which all namings of weights are known.
#[derive(Debug, Default)]
pub struct KnownNamings {
    /// The position up to which all namings were read from the store.
    read: Cell<StorePosition>,
    /// The time up to which another gateway has reported all namings.
    told: Cell<Option<Instant>>,
}

impl KnownNamings {
    /// Records that all namings up to `position` were read from the store.
    pub fn note_read(&self, position: StorePosition) {
        self.read.set(self.read.get().max(position));
    }

    /// Records that another gateway has reported all namings that a reader of the store knew at `moment`.
    pub fn note_told(&self, moment: Instant) {
        let moment = moment.checked_sub(READER_LAG);
        self.told.set(self.told.get().max(moment));
    }

    /// The latest time up to which all namings are known; `progress` maps store positions to times.
    pub fn known_until(&self, progress: &StoreProgress) -> Option<Instant> {
        let read = progress.last_read_up_to(self.read.get());
        read.max(self.told.get())
    }
}
