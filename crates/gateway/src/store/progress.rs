//! Records which position the store had reached at which time.
//!
//! A change is learned late if a watch was cut off, its answer was lost, or another gateway has just started to read the store.
//! Deadlines that count from the change must not count from that later time. Each read returns the store's position: a change
//! with a higher revision of the same era was made after that read started. Nothing follows for a change of another era, since
//! a copy also contains changes that were made long before its era.

use driftspring_clock::Instant;
use std::collections::VecDeque;

use super::position::{StoreEra, StorePosition};

/// Maximum number of positions that are remembered, each with the latest read that returned it: those of the last half minute
/// if the store changes about once a second.
const MAX_READS: usize = 32;

/// The recent reads of the store, older ones first.
#[derive(Debug, Default)]
pub struct StoreProgress {
    reads: VecDeque<Read>,
}

/// A read of the store.
#[derive(Debug, Clone, Copy)]
struct Read {
    started_at: Instant,
    /// The store's position when it answered.
    position: StorePosition,
}

impl StoreProgress {
    /// Records the position returned by a read that started at `started_at`.
    pub fn note(&mut self, started_at: Instant, position: StorePosition) {
        // Each position is stored once: a gateway hears of the same read many times, which must not displace other reads.
        let known = self.reads.iter().position(|read| read.position == position);
        if let Some(known) = known {
            if self.reads[known].started_at >= started_at {
                return;
            }
            self.reads.remove(known);
        }
        let place = self
            .reads
            .partition_point(|read| read.started_at <= started_at);
        self.reads.insert(
            place,
            Read {
                started_at,
                position,
            },
        );
        while self.reads.len() > MAX_READS {
            self.reads.pop_front();
        }
    }

    /// The start of the last read that returned a position of an earlier era than `era`.
    pub fn last_read_before_era(&self, era: StoreEra) -> Option<Instant> {
        let mut reads = self.reads.iter().rev();
        let last = reads.find(|read| read.position.era < era)?;
        Some(last.started_at)
    }

    /// The latest time at which the store is known not to have advanced beyond `position`, if any.
    pub fn last_read_up_to(&self, position: StorePosition) -> Option<Instant> {
        let mut reads = self.reads.iter().rev();
        let last = reads
            .find(|read| read.position == position || read.position.is_before_in_era(position))?;
        Some(last.started_at)
    }

    /// The latest time at which the store is known not to have reached `position`, if any.
    pub fn last_read_before(&self, position: StorePosition) -> Option<Instant> {
        let before = self.reads.iter().rev();
        let last = before
            .into_iter()
            .find(|read| read.position.is_before_in_era(position))?;
        Some(last.started_at)
    }
}
