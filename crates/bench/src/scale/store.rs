//! A hollow object store: one order of accepted writes, listed and watched by zone readers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use driftspring_types::{ObjectRecord, Revision};

/// The accepted writes, in order.
#[derive(Debug, Default)]
pub struct HollowStore {
    writes: Mutex<Vec<ObjectRecord>>,
    /// Lists served.
    pub lists: AtomicU64,
    /// Watches opened.
    pub watches: AtomicU64,
}

impl HollowStore {
    /// Accepts a write.
    pub fn put(&self, key: &str, value: String) -> Revision {
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = Revision(writes.len() as u64 + 1);
        writes.push(ObjectRecord {
            key: key.to_owned(),
            revision,
            value: Some(value),
        });
        revision
    }

    /// Every object as of now, and the revision of that.
    pub fn list(&self) -> (Revision, Vec<ObjectRecord>) {
        self.lists.fetch_add(1, Ordering::Relaxed);
        let changes = self.changes_after(Revision(0));
        let revision = changes.last().map_or(Revision(0), |record| record.revision);
        let mut newest = std::collections::BTreeMap::new();
        for record in changes {
            newest.insert(record.key.clone(), record);
        }
        (revision, newest.into_values().collect())
    }

    /// The writes after `revision`.
    pub fn changes_after(&self, revision: Revision) -> Vec<ObjectRecord> {
        let writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        let start = usize::try_from(revision.0).unwrap_or(usize::MAX);
        writes.get(start..).unwrap_or_default().to_vec()
    }
}
