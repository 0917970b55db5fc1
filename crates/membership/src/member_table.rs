//! The table of members: records by name, by tag, and their digest.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{DaemonId, MemberRecord, MemberState, Revision};

use crate::digest::TableDigest;
use crate::merge::merge_members;
use crate::rows::MemberChange;
use crate::tag::{MemberTag, ZoneTag, member_digest};

/// Buckets in which member tables are compared: two records each at 380 members.
const MEMBER_BUCKETS: usize = 192;

/// One member.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// The merged record.
    pub record: MemberRecord,
    /// The tag of the record's life.
    pub tag: MemberTag,
    /// The tag of its zone.
    pub zone: ZoneTag,
    /// Its parsed peer address.
    pub peer: Option<SocketAddr>,
    /// When the state last changed.
    pub changed_at: Duration,
}

/// What the merge of a record did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberMerge {
    /// The table knew all of it, and more.
    Older,
    /// The table knew exactly this.
    Known,
    /// The record is of an unknown member or of a new life.
    NewLife,
    /// The refutation number or state is new.
    NewState,
}

/// All members known, the own one included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    entries: BTreeMap<DaemonId, MemberEntry>,
    by_tag: BTreeMap<MemberTag, DaemonId>,
    digest: TableDigest,
    version: u64,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            by_tag: BTreeMap::new(),
            digest: TableDigest::new(MEMBER_BUCKETS),
            version: 0,
        }
    }
}

impl MemberTable {
    /// The member `id`.
    pub fn get(&self, id: &DaemonId) -> Option<&MemberEntry> {
        self.entries.get(id)
    }

    /// The member whose present life has `tag`.
    pub fn by_tag(&self, tag: MemberTag) -> Option<&MemberEntry> {
        self.entries.get(self.by_tag.get(&tag)?)
    }

    /// All members in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// The members of one bucket of the digest.
    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = &MemberEntry> {
        self.iter()
            .filter(move |entry| self.bucket_of(&entry.record.id) == bucket)
    }

    /// The bucket of the member `id`.
    pub fn bucket_of(&self, id: &DaemonId) -> usize {
        self.digest.bucket_of(id.as_str())
    }

    /// The digest of all members that are not dead.
    pub fn digest(&self) -> &TableDigest {
        &self.digest
    }

    /// Rises with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Merges `record`. A dead member that is not known is not added: nobody needs it.
    pub fn merge(&mut self, now: Duration, record: &MemberRecord) -> MemberMerge {
        let Some(known) = self.entries.get(&record.id) else {
            if record.state == MemberState::Dead {
                return MemberMerge::Known;
            }
            self.store(now, record.clone());
            return MemberMerge::NewLife;
        };
        let merged = merge_members(&known.record, record);
        if merged == known.record {
            let same = merge_members(record, record) == known.record;
            return if same {
                MemberMerge::Known
            } else {
                MemberMerge::Older
            };
        }
        let outcome = if merged.incarnation != known.record.incarnation {
            MemberMerge::NewLife
        } else if (merged.refutation, merged.state) != (known.record.refutation, known.record.state)
        {
            MemberMerge::NewState
        } else {
            MemberMerge::Known
        };
        self.store(now, merged);
        outcome
    }

    /// The record that `change` would make of the known one; nothing where its tag is unknown.
    pub fn changed(&self, change: &MemberChange) -> Option<MemberRecord> {
        let mut record = self.by_tag(change.tag)?.record.clone();
        record.refutation = change.refutation;
        record.state = change.state;
        Some(record)
    }

    /// Notes up to which revision the member `id` holds the configuration.
    pub fn note_complete_to(&mut self, id: &DaemonId, complete_to: Revision) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if complete_to > entry.record.complete_to {
            entry.record.complete_to = complete_to;
            self.version += 1;
        }
    }

    /// Replaces the record, whatever the merge order: for the own record only.
    pub fn store(&mut self, now: Duration, record: MemberRecord) {
        let id = record.id.clone();
        let tag = MemberTag::of(&record);
        let old = self.entries.get(&id);
        let old_digest = old.map_or(0, |entry| member_digest(&entry.record));
        let changed_at = match old {
            Some(entry) if entry.tag == tag && entry.record.state == record.state => {
                entry.changed_at
            }
            _ => now,
        };
        if let Some(old_tag) = old.map(|entry| entry.tag) {
            self.by_tag.remove(&old_tag);
        }
        self.digest
            .replace(id.as_str(), old_digest, member_digest(&record));
        self.by_tag.insert(tag, id.clone());
        let entry = MemberEntry {
            tag,
            zone: ZoneTag::of(&record.zone),
            peer: record.peer_socket(),
            changed_at,
            record,
        };
        self.entries.insert(id, entry);
        self.version += 1;
    }

    /// Forgets members that have been dead for longer than `retention`.
    pub fn forget_dead(&mut self, now: Duration, retention: Duration) {
        let expired: Vec<DaemonId> = self
            .iter()
            .filter(|entry| entry.record.state == MemberState::Dead)
            .filter(|entry| now.saturating_sub(entry.changed_at) > retention)
            .map(|entry| entry.record.id.clone())
            .collect();
        for id in expired {
            if let Some(entry) = self.entries.remove(&id) {
                self.by_tag.remove(&entry.tag);
                self.version += 1;
            }
        }
    }
}
