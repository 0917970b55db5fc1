//! Positions in the store's history.
//!
//! A store that is restored from a copy has lost its latest changes and assigns their revisions again. It identifies the copy
//! that answers by its era, which increases with each restore. So a position consists of an era and a revision, and revisions
//! order changes only within one era.

use std::fmt;

use crate::protocol::{ListPage, StoredObject, WatchPage, WriteAnswer};

/// Identifies the copy of the store that answered; eras increase. A store that names no era is always in the same, earliest
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreEra(Option<u64>);

impl StoreEra {
    /// The era of a store that names no era.
    pub const UNNAMED: Self = Self(None);

    /// The era with this number.
    pub const fn named(number: u64) -> Self {
        Self(Some(number))
    }

    /// The era with this number, as reported by another gateway or stored in an object; unnamed for `None`.
    pub const fn from_number(number: Option<u64>) -> Self {
        Self(number)
    }

    /// The era's number; `None` if it is unnamed.
    pub const fn number(self) -> Option<u64> {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(formatter, "{number}"),
            None => formatter.write_str("unnamed"),
        }
    }
}

/// A position in the store's history. Positions of a later era are later whatever their revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision within it.
    pub revision: u64,
}

impl StorePosition {
    /// The position of `revision` in a store that names no era, or whose era is reported separately.
    pub const fn unnamed(revision: u64) -> Self {
        Self {
            era: StoreEra::UNNAMED,
            revision,
        }
    }

    /// The same revision in `era`.
    pub const fn in_era(self, era: StoreEra) -> Self {
        Self {
            era,
            revision: self.revision,
        }
    }

    /// Whether the store reached this position before `other` within the same era; false for different eras.
    pub fn is_before_in_era(self, other: Self) -> bool {
        self.era == other.era && self.revision < other.revision
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}

impl StoredObject {
    /// The same with its positions in `era`.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.position = self.position.in_era(era);
        self
    }
}

impl ListPage {
    /// The same with its positions in `era`.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.position = self.position.in_era(era);
        for object in &mut self.items {
            object.position = object.position.in_era(era);
        }
        self
    }
}

impl WatchPage {
    /// The same with its positions in `era`.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.position = self.position.in_era(era);
        for event in &mut self.events {
            event.object.position = event.object.position.in_era(era);
        }
        self
    }
}

impl WriteAnswer {
    /// The same with its positions in `era`.
    pub fn in_era(self, era: StoreEra) -> Self {
        match self {
            Self::Accepted(position) => Self::Accepted(position.in_era(era)),
            Self::Conflict(object) => Self::Conflict(object.map(|object| object.in_era(era))),
            Self::Busy => Self::Busy,
            Self::Unknown => Self::Unknown,
        }
    }
}
