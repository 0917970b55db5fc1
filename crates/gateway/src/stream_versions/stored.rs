//! The records of versions in the store, which outlive all gateways.
//!
//! One record for each service with resumable streams names the versions that were in use lately. It is written when a
//! version appears, and when the last stream of one is over, not for each stream. Its absence proves nothing, and neither
//! does a record that is incomplete or was restored from a copy of the store.

use std::collections::BTreeSet;
use std::time::Duration;

use super::history::{VERSION_RETENTION, VersionSet};
use crate::protocol::{SoftwareVersion, VersionRecord};
use crate::store::{StoreEra, StorePosition};

/// A service's record as it was last read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record; none if it can't be parsed.
    pub record: Option<VersionRecord>,
    /// The store's position at its last change.
    pub position: StorePosition,
}

impl StoredRecord {
    /// Whether it shows that `version` is the only one that was in use, in the era `era` of the store.
    pub fn proves_only(&self, version: SoftwareVersion, era: StoreEra) -> bool {
        self.record.as_ref().is_some_and(|record| {
            record.is_complete && record.era == era && record.versions == BTreeSet::from([version])
        })
    }
}

/// What the store says of the versions of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredVersions {
    /// It was not read since the start.
    Unread,
    /// It could not be read.
    Unreadable,
    /// It has no valid record.
    Absent,
    /// The record names an earlier era: it was restored from a copy.
    Restored,
    /// The record does not name all versions that were in use.
    Incomplete,
    /// The record names all versions that were in use.
    Complete,
}

impl StoredVersions {
    /// What this record says in the era `era` of the store.
    pub fn of(stored: Option<&StoredRecord>, era: StoreEra) -> Self {
        match stored.and_then(|stored| stored.record.as_ref()) {
            None => Self::Absent,
            Some(record) if record.era != era => Self::Restored,
            Some(record) if !record.is_complete => Self::Incomplete,
            Some(_) => Self::Complete,
        }
    }
}

/// The record to be written in place of `stored` by a gateway that knows the versions `in_use`, and that these are all as far
/// back as `span`; none if the stored one is up to date.
///
/// A gateway that knows less than the stored record does not take its completeness away.
pub fn record_to_write(
    stored: Option<&VersionRecord>,
    in_use: &VersionSet,
    span: Duration,
    era: StoreEra,
) -> Option<VersionRecord> {
    let versions: BTreeSet<SoftwareVersion> = in_use.iter().flatten().copied().collect();
    let has_unknown = in_use.contains(&None);
    let is_complete = span >= VERSION_RETENTION && !has_unknown;
    let is_outdated = |stored: &VersionRecord| {
        let is_incomplete = is_complete && !stored.is_complete;
        let is_overstated = has_unknown && stored.is_complete;
        stored.versions != versions || stored.era != era || is_incomplete || is_overstated
    };
    let is_needed = !versions.is_empty() && stored.is_none_or(is_outdated);
    is_needed.then_some(VersionRecord {
        versions,
        is_complete,
        era,
    })
}
