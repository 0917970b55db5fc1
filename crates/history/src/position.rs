//! Places in the history of the store of configuration objects.
//!
//! A store that comes back from a copy has lost its last changes, and gives their revisions out again. It names the copy
//! that answers by its era, which rises each time. So a place is an era and a revision.

use std::fmt;

use driftspring_types::Revision;
use serde::{Deserialize, Serialize};

/// Which copy of the store answered; 0 where the store names none.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// The era of a store that names none.
    pub const UNNAMED: Self = Self(0);

    fn is_unnamed(&self) -> bool {
        *self == Self::UNNAMED
    }
}

/// A place in the store's history. Whatever has a later era is later, whatever its revision.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(from = "RecordedPosition")]
pub struct StorePosition {
    /// The era.
    #[serde(default, skip_serializing_if = "StoreEra::is_unnamed")]
    pub era: StoreEra,
    /// The revision within it; 0 for an object that was never written.
    pub revision: Revision,
}

impl StorePosition {
    /// The place of `revision` in `era`.
    pub const fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// The place of `revision` in a store that names no era.
    pub const fn unnamed(revision: Revision) -> Self {
        Self::new(StoreEra::UNNAMED, revision)
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { era, revision } = self;
        match era.is_unnamed() {
            true => write!(formatter, "{revision}"),
            false => write!(formatter, "{}/{revision}", era.0),
        }
    }
}

/// How recordings tell a position. Those of runs without eras may hold a bare revision.
#[derive(Deserialize)]
#[serde(untagged)]
enum RecordedPosition {
    Revision(Revision),
    Position {
        #[serde(default)]
        era: StoreEra,
        revision: Revision,
    },
}

impl From<RecordedPosition> for StorePosition {
    fn from(recorded: RecordedPosition) -> Self {
        match recorded {
            RecordedPosition::Revision(revision) => Self::unnamed(revision),
            RecordedPosition::Position { era, revision } => Self::new(era, revision),
        }
    }
}
