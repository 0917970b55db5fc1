//! How far the store had come when.
//!
//! A change is heard of late where a watch was cut, its answer was lost, or another daemon has just begun to read
//! the store. What counts from the change itself must not count from then. Each read tells the store's revision:
//! a change with a higher one was made after that read began.

use driftspring_clock::Instant;
use std::collections::VecDeque;

/// Reads that are remembered; with one each 0.9 s those of the last half minute.
const REMEMBERED_READS: usize = 32;

/// What reads of the store have told, older ones first.
#[derive(Debug, Default)]
pub struct StoreProgress {
    reads: VecDeque<Read>,
}

/// A read of the store.
#[derive(Debug, Clone, Copy)]
struct Read {
    began: Instant,
    /// The store's revision when it was answered.
    revision: u64,
}

impl StoreProgress {
    /// Takes in that a read that began at `began` told the store's revision.
    pub fn note(&mut self, began: Instant, revision: u64) {
        let place = self.reads.partition_point(|read| read.began <= began);
        self.reads.insert(place, Read { began, revision });
        while self.reads.len() > REMEMBERED_READS {
            self.reads.pop_front();
        }
    }

    /// The latest moment at which the store is known not to have reached `revision`; nothing where none is known.
    pub fn not_before(&self, revision: u64) -> Option<Instant> {
        let before = self.reads.iter().rev();
        let last = before.into_iter().find(|read| read.revision < revision)?;
        Some(last.began)
    }
}
