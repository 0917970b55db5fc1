//! The replica: records by key, an index by revision, and what it is complete to.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::BitOrAssign;
use std::sync::Arc;

use driftspring_types::{Incarnation, ObjectKind, ObjectRecord, Revision};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gaps::{ListGap, ListGaps};
use crate::message::{Delta, Notice, PullRequest};
use crate::watch::WatchCursor;

/// Which of two records of one object is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MergeRule {
    /// The one with the higher revision.
    #[default]
    HighestRevision,
    /// The one that arrived last; only to show that the proofs need the other rule.
    LastArrival,
}

/// What a step changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Change {
    /// A record changed.
    pub records: bool,
    /// `complete_to` rose.
    pub complete_to: bool,
}

impl Change {
    /// Whether anything changed.
    pub fn any(self) -> bool {
        self.records || self.complete_to
    }
}

impl BitOrAssign for Change {
    fn bitor_assign(&mut self, other: Self) {
        self.records |= other.records;
        self.complete_to |= other.complete_to;
    }
}

/// The configuration objects as one daemon knows them.
///
/// Invariant: for each object, the record held is at least as new as the object's newest change at or
/// below `complete_to`; an object that did not exist at that revision has no record, or a deletion.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    rule: MergeRule,
    life: Incarnation,
    defaults: BTreeMap<String, ObjectRecord>,
    records: BTreeMap<Arc<str>, ObjectRecord>,
    by_revision: BTreeSet<(Revision, Arc<str>)>,
    complete_to: Revision,
    gaps: ListGaps,
}

impl Replica {
    /// An empty replica of a daemon's present life, in which `defaults` hold until a record of the same
    /// key is known.
    pub fn new(
        rule: MergeRule,
        life: Incarnation,
        defaults: impl IntoIterator<Item = ObjectRecord>,
    ) -> Self {
        let defaults = defaults.into_iter();
        Self {
            rule,
            life,
            defaults: defaults
                .map(|record| (record.key.clone(), record))
                .collect(),
            ..Self::default()
        }
    }

    /// The revision up to which this replica holds every accepted change.
    pub fn complete_to(&self) -> Revision {
        self.complete_to
    }

    /// The record of `key`, deletions included.
    pub fn get(&self, key: &str) -> Option<&ObjectRecord> {
        self.records.get(key).or_else(|| self.defaults.get(key))
    }

    /// Whether `key` is an object of the settings file.
    pub fn is_default(&self, key: &str) -> bool {
        self.defaults.contains_key(key)
    }

    /// Whether a change of `key` at `revision` is in force here, or a later one.
    pub fn holds(&self, key: &str, revision: Revision) -> bool {
        let held = self.records.get(key);
        self.complete_to >= revision || held.is_some_and(|record| record.revision >= revision)
    }

    /// The records in force, by key, deletions included.
    pub fn records(&self) -> impl Iterator<Item = &ObjectRecord> {
        let unreplaced = self
            .defaults
            .values()
            .filter(|record| !self.records.contains_key(record.key.as_str()));
        unreplaced.chain(self.records.values())
    }

    /// What to tell other daemons.
    pub fn notice(&self) -> Notice {
        Notice {
            complete_to: self.complete_to,
            highest: self.highest(),
            listed_to: self.gaps.newest_end(),
            loose_digest: self.loose_digest(),
        }
    }

    /// Compares a peer's notice with this replica; asks for a copy where the peer may know more.
    ///
    /// Where the peer knows no record and no list above `complete_to`, its claim is taken over at once.
    pub fn on_notice(&mut self, notice: &Notice) -> (Change, Option<PullRequest>) {
        let nothing_above =
            notice.highest <= self.complete_to && notice.listed_to <= self.complete_to;
        if nothing_above {
            return (self.raise_complete_to(notice.complete_to), None);
        }
        let may_know_more = if notice.complete_to == self.complete_to {
            notice.loose_digest != self.loose_digest()
        } else {
            notice.complete_to > self.complete_to || notice.highest > self.highest()
        };
        let request = may_know_more.then_some(PullRequest {
            since: self.complete_to,
            continues: false,
        });
        (Change::default(), request)
    }

    /// The answer to a peer's request: records by rising revision, about `max_bytes` of them at most.
    pub fn changes_since(&self, request: PullRequest, max_bytes: usize) -> Delta {
        let base = match request.continues {
            true => request.since,
            false => self.gaps.base_for(request.since),
        };
        let mut delta = Delta {
            life: self.life,
            base,
            complete_to: self.complete_to,
            gaps: self.gaps.above(base),
            ..Delta::default()
        };
        let mut bytes = 0;
        let mut last_revision = base;
        for (revision, key) in self.index_above(base) {
            if bytes >= max_bytes && *revision > last_revision {
                delta.more = true;
                break;
            }
            let record = &self.records[key];
            bytes += record_bytes(record);
            last_revision = *revision;
            delta.records.push(record.clone());
        }
        delta
    }

    /// Takes in a list of the store as of `revision`. An object that it lacks had been deleted.
    pub fn apply_list(&mut self, revision: Revision, records: Vec<ObjectRecord>) -> Change {
        let mut change = Change::default();
        let mut listed = HashMap::with_capacity(records.len());
        for record in records {
            listed.insert(record.key.clone(), record.revision);
            change |= self.merge(record);
        }
        change |= self.drop_missing(Revision(0), revision, &listed);
        let gap = ListGap {
            from: self.complete_to,
            to: revision,
        };
        self.gaps.add(gap);
        change |= self.raise_complete_to(revision);
        change
    }

    /// Begins a watch; its cursor says from which revision on.
    pub fn begin_watch(&self) -> WatchCursor {
        WatchCursor::new(self.complete_to)
    }

    /// Takes in one change of a watch. Replayed old changes never move anything back.
    pub fn apply_watch_event(&mut self, cursor: &mut WatchCursor, record: ObjectRecord) -> Change {
        let revision = record.revision;
        let mut change = self.merge(record);
        change |= self.apply_bookmark(cursor, revision);
        change
    }

    /// Takes in the store's word that a watch has sent every change up to `revision`.
    pub fn apply_bookmark(&mut self, cursor: &mut WatchCursor, revision: Revision) -> Change {
        match cursor.advance(revision) {
            true => self.raise_complete_to(revision),
            false => Change::default(),
        }
    }

    /// Takes in a write of this daemon that the store accepted.
    pub fn apply_own_write(&mut self, record: ObjectRecord) -> Change {
        self.merge(record)
    }

    /// Keeps `record` where the rule prefers it; leases are not replicated.
    pub(crate) fn merge(&mut self, record: ObjectRecord) -> Change {
        if is_lease(&record.key) || !self.prefers(&record) {
            return Change::default();
        }
        let key: Arc<str> = Arc::from(record.key.as_str());
        let revision = record.revision;
        if let Some(replaced) = self.records.insert(Arc::clone(&key), record) {
            self.by_revision
                .remove(&(replaced.revision, Arc::clone(&key)));
        }
        self.by_revision.insert((revision, key));
        Change {
            records: true,
            complete_to: false,
        }
    }

    /// Marks as deleted, as of `to`, what is held of revisions above `base` up to `to` but is not, or only
    /// with an older revision, `present` at a source that is complete to `to`.
    pub(crate) fn drop_missing(
        &mut self,
        base: Revision,
        to: Revision,
        present: &HashMap<String, Revision>,
    ) -> Change {
        let missing: Vec<String> = self
            .index_above(base)
            .take_while(|(revision, _)| *revision <= to)
            .filter(|(revision, key)| present.get(&**key).is_none_or(|seen| seen < revision))
            .filter(|(_, key)| self.records[key].value.is_some())
            .map(|(_, key)| key.to_string())
            .collect();
        let mut change = Change::default();
        for key in missing {
            change |= self.merge(ObjectRecord {
                key,
                revision: to,
                value: None,
            });
        }
        change
    }

    /// Ends a whole copy from a peer that was complete to `complete_to`.
    pub(crate) fn complete_copy(&mut self, complete_to: Revision, gaps: &[ListGap]) -> Change {
        for gap in gaps {
            self.gaps.add(*gap);
        }
        self.raise_complete_to(complete_to)
    }

    fn prefers(&self, record: &ObjectRecord) -> bool {
        let held = self.records.get(record.key.as_str());
        match self.rule {
            // A change at or below `complete_to` that is not held is over, perhaps by a deletion that
            // a list did not show.
            MergeRule::HighestRevision => {
                let newest = held.map_or(Revision(0), |held| held.revision);
                record.revision > newest.max(self.complete_to)
            }
            MergeRule::LastArrival => held.is_none_or(|held| held != record),
        }
    }

    fn raise_complete_to(&mut self, revision: Revision) -> Change {
        let rises = revision > self.complete_to;
        self.complete_to = self.complete_to.max(revision);
        Change {
            records: false,
            complete_to: rises,
        }
    }

    fn highest(&self) -> Revision {
        self.by_revision
            .last()
            .map_or(Revision(0), |(revision, _)| *revision)
    }

    fn index_above(&self, base: Revision) -> impl Iterator<Item = &(Revision, Arc<str>)> {
        let first: (Revision, Arc<str>) = (Revision(base.0.saturating_add(1)), Arc::from(""));
        self.by_revision.range(first..)
    }

    /// A sum over the records above `complete_to`, the same in any order.
    fn loose_digest(&self) -> u32 {
        self.index_above(self.complete_to)
            .map(|(revision, key)| xxh3_64_with_seed(key.as_bytes(), revision.0) as u32)
            .fold(0, u32::wrapping_add)
    }
}

/// Leases change with every renewal and matter to their holders only.
fn is_lease(key: &str) -> bool {
    let prefix = ObjectKind::Leases.prefix();
    key.strip_prefix(prefix)
        .is_some_and(|rest| rest.starts_with('/'))
}

/// About the size of a record on the wire, in bytes.
fn record_bytes(record: &ObjectRecord) -> usize {
    const OVERHEAD_BYTES: usize = 16;
    OVERHEAD_BYTES + record.key.len() + record.value.as_ref().map_or(0, String::len)
}
