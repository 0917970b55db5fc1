//! How far the store had come when.
//!
//! A change is heard of late where a watch was cut, its answer was lost, or another daemon has just begun to read
//! the store. What counts from the change itself must not count from then. Each read tells the store's position:
//! a change with a higher revision of the same era was made after that read began. Of a change of another era it says
//! nothing: a copy also brings back changes that were made long before its era.

use driftspring_clock::Instant;
use std::collections::VecDeque;

use super::position::{StoreEra, StorePosition};

/// Positions that are remembered, each with the latest read that told it: those of the last half minute where the store
/// changes about once a second.
const MAX_READS: usize = 32;

/// What reads of the store have told, older ones first.
#[derive(Debug, Default)]
pub struct StoreProgress {
    reads: VecDeque<Read>,
}

/// A read of the store.
#[derive(Debug, Clone, Copy)]
struct Read {
    began: Instant,
    /// The store's position when it was answered.
    position: StorePosition,
}

impl StoreProgress {
    /// Takes in that a read that began at `began` told the store's position.
    pub fn note(&mut self, began: Instant, position: StorePosition) {
        // One position takes one place: a daemon is told of one read many times, which must not drive out the others.
        let known = self.reads.iter().position(|read| read.position == position);
        if let Some(known) = known {
            if self.reads[known].began >= began {
                return;
            }
            self.reads.remove(known);
        }
        let place = self.reads.partition_point(|read| read.began <= began);
        self.reads.insert(place, Read { began, position });
        while self.reads.len() > MAX_READS {
            self.reads.pop_front();
        }
    }

    /// When the last read began that told a position of an earlier era than `era`.
    pub fn last_read_before_era(&self, era: StoreEra) -> Option<Instant> {
        let mut reads = self.reads.iter().rev();
        let last = reads.find(|read| read.position.era < era)?;
        Some(last.began)
    }

    /// The latest moment at which the store is known not to have gone beyond `position`; nothing where none is known.
    pub fn last_read_up_to(&self, position: StorePosition) -> Option<Instant> {
        let mut reads = self.reads.iter().rev();
        let last = reads
            .find(|read| read.position == position || read.position.is_before_in_era(position))?;
        Some(last.began)
    }

    /// The latest moment at which the store is known not to have reached `position`; nothing where none is known.
    pub fn last_read_before(&self, position: StorePosition) -> Option<Instant> {
        let before = self.reads.iter().rev();
        let last = before
            .into_iter()
            .find(|read| read.position.is_before_in_era(position))?;
        Some(last.began)
    }
}
