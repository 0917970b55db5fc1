//! Places in the store's history.
//!
//! A store that comes back from a copy has lost its last changes and gives their revisions out again. It names the
//! copy that answers by its era, which rises each time. So a place in its history is an era and a revision, and two
//! revisions say which change came first only within one era.

use std::fmt;

use crate::protocol::{ListPage, StoredObject, WatchPage, WriteAnswer};

/// Which copy of the store answered; eras rise. A store that names none is always in the same, earliest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreEra(Option<u64>);

impl StoreEra {
    /// The era of a store that names none.
    pub const UNNAMED: Self = Self(None);

    /// The era of this number.
    pub const fn named(number: u64) -> Self {
        Self(Some(number))
    }

    /// The era that another daemon or an object of the store tells, if any.
    pub const fn from_number(number: Option<u64>) -> Self {
        Self(number)
    }

    /// Its number; none where the store names none.
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

/// A place in the store's history. Whatever has a later era is later, whatever its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision within it.
    pub revision: u64,
}

impl StorePosition {
    /// The place of `revision` in a store that names no era, or whose era is told apart from the revision.
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

    /// Whether the store reached it before `other`, as their revisions tell: nothing tells that of two eras.
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
    /// The same as a store of `era` told it.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.position = self.position.in_era(era);
        self
    }
}

impl ListPage {
    /// The same as a store of `era` told it.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.position = self.position.in_era(era);
        for object in &mut self.items {
            object.position = object.position.in_era(era);
        }
        self
    }
}

impl WatchPage {
    /// The same as a store of `era` told it.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.position = self.position.in_era(era);
        for event in &mut self.events {
            event.object.position = event.object.position.in_era(era);
        }
        self
    }
}

impl WriteAnswer {
    /// The same as a store of `era` told it.
    pub fn in_era(self, era: StoreEra) -> Self {
        match self {
            Self::Accepted(position) => Self::Accepted(position.in_era(era)),
            Self::Conflict(object) => Self::Conflict(object.map(|object| object.in_era(era))),
            Self::Busy => Self::Busy,
            Self::Unknown => Self::Unknown,
        }
    }
}
