//! Replicas and gateways in the order in which they changed.
//!
//! Each item occurs once, at its last change, so the log has one entry for each item and for each tombstone of a
//! removed item, of which only the newest are kept. A gateway that has the changes up to some number gets the later
//! ones; a gateway that followed another log, or missed discarded tombstones, gets everything.

use std::collections::{BTreeMap, HashMap};

use super::message::{Change, Item, ItemKey, SyncQuery};

/// The number of tombstones that are kept.
const MAX_TOMBSTONES: usize = 256;

/// The change log of one incarnation of a gateway.
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

/// A page of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// The number of the last change up to which the page is complete.
    pub sequence: u64,
    /// Whether the page starts at the beginning of the log.
    pub is_from_start: bool,
    /// Whether more changes follow.
    pub has_more: bool,
    /// Whether the querying gateway already has every item, regardless of the log that it followed.
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

    /// The number of times that a gateway was added, changed or removed.
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

    /// A digest of all items, independent of their order: two logs with the same digest have the same items.
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

    /// All items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.changes.values().filter_map(|change| match change {
            Change::Put(item) => Some(item),
            Change::Removed(_) => None,
        })
    }

    /// Adds or updates an item; true if it is new or has changed.
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

    /// Removes an item; true if it was present.
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

    /// The number of the last change that the querying gateway has, or 0 if it lacks earlier ones; `None` if it has
    /// every item, regardless of the log that it followed.
    pub fn sequence_known_to(&self, query: &SyncQuery) -> Option<u64> {
        if query.content_digest != 0 && query.content_digest == self.content_digest {
            return None;
        }
        let knows_enough = query.log_id == self.id
            && query.sequence >= self.discarded_up_to
            && query.sequence <= self.sequence;
        Some(if knows_enough { query.sequence } else { 0 })
    }

    /// The changes that the querying gateway lacks, as many as `fits` allows, see [`Self::page_after`].
    pub fn page(&self, query: &SyncQuery, fits: impl FnMut(&Change) -> bool) -> LogPage {
        match self.sequence_known_to(query) {
            Some(after) => self.page_after(after, fits),
            None => self.empty_page(),
        }
    }

    /// The changes after the number `after`, as many as `fits` allows but at least one. `fits` is called with each
    /// further change in turn, and says whether the page still has room for it.
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

    /// The page for a gateway that has every item.
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
