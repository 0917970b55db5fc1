//! Up to when all namings of weights are known here.
//!
//! A list shows the newest version of a model only. Where it is not the one after the newest that is known here, another
//! one was named in between, at any moment since all namings were known.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

use super::position::StorePosition;
use super::progress::StoreProgress;

/// How much later than the store a daemon that reads it may know of a naming: the store's revision is read each 0.9 s, and
/// 0.5 s later a watch that has not told of it is asked again.
const READER_LAG: Duration = Duration::from_millis(1400);

/// Up to when all namings of weights are known.
#[derive(Debug, Default)]
pub struct KnownNamings {
    /// Up to here they were read from the store.
    read: Cell<StorePosition>,
    /// Up to here another daemon told them.
    told: Cell<Option<Instant>>,
}

impl KnownNamings {
    /// Takes in that all were read from the store up to `position`.
    pub fn note_read(&self, position: StorePosition) {
        self.read.set(self.read.get().max(position));
    }

    /// Takes in that another daemon has told all that a reader of the store knew at `moment`.
    pub fn note_told(&self, moment: Instant) {
        let moment = moment.checked_sub(READER_LAG);
        self.told.set(self.told.get().max(moment));
    }

    /// The latest moment up to which all are known, where `progress` tells how far the store had come when.
    pub fn until(&self, progress: &StoreProgress) -> Option<Instant> {
        let read = progress.last_read_up_to(self.read.get());
        read.max(self.told.get())
    }
}
