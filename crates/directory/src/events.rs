//! Cache events of one engine and the order in which they must come.

use driftspring_prefix::BlockHash;
use driftspring_types::Incarnation;
use serde::{Deserialize, Serialize};

/// What a cache event says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The blocks are cached now.
    Stored,
    /// The blocks were evicted.
    Removed,
    /// Everything was dropped.
    Cleared,
}

/// One cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event of one incarnation.
    pub sequence: u64,
    /// The engine's life.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: CacheEventKind,
    /// The blocks concerned; none for `cleared`.
    #[serde(default)]
    pub hashes: Vec<BlockHash>,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventStep {
    /// It is the next one: apply it.
    Apply,
    /// Events before it were lost: what was known becomes uncertain, then apply it.
    ApplyAfterGap,
    /// It was seen before.
    Skip,
    /// It belongs to another life of the engine.
    OtherIncarnation,
}

/// The reader's position in one engine's events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventCursor {
    incarnation: Incarnation,
    next_sequence: u64,
}

impl EventCursor {
    /// A cursor that expects `next_sequence` of `incarnation`, as a stream's first line says.
    pub fn new(incarnation: Incarnation, next_sequence: u64) -> Self {
        Self {
            incarnation,
            next_sequence,
        }
    }

    /// Where to resume reading.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Judges the event `sequence` of `incarnation` and moves on.
    pub fn step(&mut self, incarnation: Incarnation, sequence: u64) -> EventStep {
        if incarnation != self.incarnation {
            return EventStep::OtherIncarnation;
        }
        if sequence < self.next_sequence {
            return EventStep::Skip;
        }
        let is_next = sequence == self.next_sequence;
        self.next_sequence = sequence + 1;
        if is_next {
            EventStep::Apply
        } else {
            EventStep::ApplyAfterGap
        }
    }
}
