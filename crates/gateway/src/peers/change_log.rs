//! Replicas and daemons in the order in which they changed.
//!
//! Each item stands once, at its last change, so the log is never longer than what it describes and the
//! tombstones of what is gone, of which only the newest are kept. A daemon that has the changes
//! up to some number gets those after it; one that has another log, or has missed tombstones, gets everything.

use std::collections::{BTreeMap, HashMap};

use super::message::{Change, Item, ItemKey, SyncQuery};

/// Tombstones that are kept.
const MAX_TOMBSTONES: usize = 256;

/// The changes of one life of a daemon.
#[derive(Debug)]
pub struct ChangeLog {
    id: u64,
    sequence: u64,
    changes: BTreeMap<u64, Change>,
    sequence_by_key: HashMap<ItemKey, u64>,
    tombstones: BTreeMap<u64, ItemKey>,
    discarded_up_to: u64,
    content_digest: u64,
    daemon_changes: u64,
}

/// A part of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// The changes.
    pub changes: Vec<Change>,
    /// The last change that they go up to.
    pub sequence: u64,
    /// Whether they begin at the beginning.
    pub is_from_start: bool,
    /// Whether more follow.
    pub has_more: bool,
    /// Whether the asking daemon has every item already, whatever log it followed.
    pub has_same_items: bool,
}

impl ChangeLog {
    /// An empty log; `id` differs from that of every other log.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            sequence: 0,
            changes: BTreeMap::new(),
            sequence_by_key: HashMap::new(),
            tombstones: BTreeMap::new(),
            discarded_up_to: 0,
            content_digest: 0,
            daemon_changes: 0,
        }
    }

    /// How often a daemon has come, changed or gone.
    pub fn daemon_changes(&self) -> u64 {
        self.daemon_changes
    }

    /// The log's id.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// A digest of all items, whatever order they came in: two logs with the same one have the same items.
    pub fn content_digest(&self) -> u64 {
        self.content_digest
    }

    /// The item with this key.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        match self.changes.get(self.sequence_by_key.get(key)?) {
            Some(Change::Put(item)) => Some(item),
            _ => None,
        }
    }

    /// Every item.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.changes.values().filter_map(|change| match change {
            Change::Put(item) => Some(item),
            Change::Removed(_) => None,
        })
    }

    /// Takes in an item; true where it is new or has changed.
    pub fn put(&mut self, item: Item) -> bool {
        let key = item.key();
        let known = self.get(&key);
        if known == Some(&item) {
            return false;
        }
        let before = known.map_or(0, Item::digest);
        self.content_digest = self
            .content_digest
            .wrapping_sub(before)
            .wrapping_add(item.digest());
        self.record(key, Change::Put(item));
        true
    }

    /// Takes in that an item is gone; true where it was there.
    pub fn remove(&mut self, key: &ItemKey) -> bool {
        let Some(known) = self.get(key) else {
            return false;
        };
        self.content_digest = self.content_digest.wrapping_sub(known.digest());
        self.record(key.clone(), Change::Removed(key.clone()));
        self.tombstones.insert(self.sequence, key.clone());
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.discard_oldest_tombstone();
        }
        true
    }

    /// The last change that the asking daemon has, 0 where it has none or not all before it; nothing where it has every item,
    /// whatever log it followed.
    pub fn sequence_known_to(&self, query: &SyncQuery) -> Option<u64> {
        if query.content_digest != 0 && query.content_digest == self.content_digest {
            return None;
        }
        let knows_enough = query.log_id == self.id
            && query.sequence >= self.discarded_up_to
            && query.sequence <= self.sequence;
        Some(if knows_enough { query.sequence } else { 0 })
    }

    /// The changes of this log that the asking daemon lacks, as many as `fits` allows, see [`Self::page_after`].
    pub fn page(&self, query: &SyncQuery, fits: impl FnMut(&Change) -> bool) -> LogPage {
        match self.sequence_known_to(query) {
            Some(after) => self.page_after(after, fits),
            None => self.empty_page(),
        }
    }

    /// The changes after the one of this number, as many as `fits` allows, but one at the least. `fits` is asked
    /// with each further change of the page in turn, and says whether that still fits.
    pub fn page_after(&self, after: u64, mut fits: impl FnMut(&Change) -> bool) -> LogPage {
        let mut page = LogPage {
            changes: Vec::new(),
            sequence: after,
            is_from_start: after == 0,
            has_more: false,
            has_same_items: false,
        };
        for (number, change) in self.changes.range(after + 1..) {
            if !fits(change) && !page.changes.is_empty() {
                page.has_more = true;
                return page;
            }
            page.changes.push(change.clone());
            page.sequence = *number;
        }
        page.sequence = self.sequence;
        page
    }

    /// The page for a daemon that has every item.
    pub fn empty_page(&self) -> LogPage {
        LogPage {
            changes: Vec::new(),
            sequence: self.sequence,
            is_from_start: false,
            has_more: false,
            has_same_items: true,
        }
    }

    fn record(&mut self, key: ItemKey, change: Change) {
        if let Some(earlier) = self.sequence_by_key.remove(&key) {
            self.changes.remove(&earlier);
            self.tombstones.remove(&earlier);
        }
        self.daemon_changes += u64::from(matches!(key, ItemKey::Daemon(_)));
        self.sequence += 1;
        self.sequence_by_key.insert(key, self.sequence);
        self.changes.insert(self.sequence, change);
    }

    fn discard_oldest_tombstone(&mut self) {
        if let Some((sequence, key)) = self.tombstones.pop_first() {
            self.changes.remove(&sequence);
            self.sequence_by_key.remove(&key);
            self.discarded_up_to = sequence;
        }
    }
}
