//! The objects, their history and the single order of revisions.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;

/// One object.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Object {
    /// `<kind>/<name>`.
    pub key: String,
    /// The revision of its last write.
    pub revision: u64,
    /// Its value.
    pub value: Value,
}

/// One accepted write; a removal has no value.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// `<kind>/<name>`.
    pub key: String,
    /// The revision of the write.
    pub revision: u64,
    /// The value written.
    pub value: Option<Value>,
}

/// A list of objects as of one revision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct ObjectList {
    pub(crate) revision: u64,
    pub(crate) objects: Vec<Object>,
}

/// The object has another revision than the writer expected.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct RevisionConflict {
    pub(crate) revision: u64,
    pub(crate) value: Option<Value>,
}

/// The history before this revision is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Compacted;

/// How often each call was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct StoreCounters {
    /// Lists of objects.
    pub lists: u64,
    /// Reads of one object.
    pub gets: u64,
    /// Watches begun.
    pub watches: u64,
    /// Writes and removals, refused ones included.
    pub writes: u64,
}

/// Counters that are raised without a lock.
#[derive(Debug, Default)]
pub(crate) struct AtomicCounters {
    pub(crate) lists: AtomicU64,
    pub(crate) gets: AtomicU64,
    pub(crate) watches: AtomicU64,
    pub(crate) writes: AtomicU64,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    /// Changes up to here are compacted.
    compacted_to: u64,
    objects: BTreeMap<String, Object>,
    history: Vec<Change>,
}

/// All objects.
#[derive(Debug)]
pub struct ObjectStore {
    contents: Mutex<Contents>,
    newest_revision: watch::Sender<u64>,
    pub(crate) counters: AtomicCounters,
}

impl Default for ObjectStore {
    fn default() -> Self {
        Self {
            contents: Mutex::default(),
            newest_revision: watch::Sender::new(0),
            counters: AtomicCounters::default(),
        }
    }
}

impl ObjectStore {
    /// The revision of the newest write.
    pub fn revision(&self) -> u64 {
        self.contents().revision
    }

    /// Writes an object whatever its revision, and returns the new one; for the set-up of a run.
    pub fn set(&self, key: &str, value: Value) -> u64 {
        self.apply(&mut self.contents(), key, Some(value))
    }

    /// Every accepted write that is not compacted, in order.
    pub fn history(&self) -> Vec<Change> {
        self.contents().history.clone()
    }

    /// How often each call was made.
    pub fn counters(&self) -> StoreCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StoreCounters {
            lists: read(&self.counters.lists),
            gets: read(&self.counters.gets),
            watches: read(&self.counters.watches),
            writes: read(&self.counters.writes),
        }
    }

    /// Forgets the history up to and including `revision`.
    pub fn compact(&self, revision: u64) {
        let mut contents = self.contents();
        let revision = revision.min(contents.revision);
        contents.compacted_to = contents.compacted_to.max(revision);
        contents.history.retain(|change| change.revision > revision);
    }

    /// The object `key`.
    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        self.contents().objects.get(key).cloned()
    }

    /// The objects whose key begins with `prefix`.
    pub(crate) fn list(&self, prefix: &str) -> ObjectList {
        let contents = self.contents();
        let objects = contents.objects.values();
        let matching = objects.filter(|object| object.key.starts_with(prefix));
        ObjectList {
            revision: contents.revision,
            objects: matching.cloned().collect(),
        }
    }

    /// The list as it was `age` revisions ago, as far as the history goes back.
    pub(crate) fn old_list(&self, prefix: &str, age: u64) -> ObjectList {
        let contents = self.contents();
        if contents.compacted_to > 0 {
            drop(contents);
            return self.list(prefix);
        }
        let revision = contents.revision.saturating_sub(age);
        let history = contents.history.iter();
        let mut objects = BTreeMap::new();
        for change in history.take_while(|change| change.revision <= revision) {
            match change.value.clone() {
                Some(value) => objects.insert(
                    change.key.clone(),
                    Object {
                        key: change.key.clone(),
                        revision: change.revision,
                        value,
                    },
                ),
                None => objects.remove(&change.key),
            };
        }
        objects.retain(|key, _| key.starts_with(prefix));
        ObjectList {
            revision,
            objects: objects.into_values().collect(),
        }
    }

    /// Writes or removes `key` if its revision is `expected` (0: absent); returns the new revision.
    pub(crate) fn write(
        &self,
        key: &str,
        expected: u64,
        value: Option<Value>,
    ) -> Result<u64, RevisionConflict> {
        let mut contents = self.contents();
        let current = contents.objects.get(key);
        let current_revision = current.map_or(0, |object| object.revision);
        if current_revision != expected {
            return Err(RevisionConflict {
                revision: current_revision,
                value: current.map(|object| object.value.clone()),
            });
        }
        Ok(self.apply(&mut contents, key, value))
    }

    /// The changes after `from` whose key begins with `prefix`, and the revision that they reach.
    pub(crate) fn changes_after(
        &self,
        from: u64,
        prefix: &str,
    ) -> Result<(Vec<Change>, u64), Compacted> {
        let contents = self.contents();
        if from < contents.compacted_to {
            return Err(Compacted);
        }
        let first = contents
            .history
            .partition_point(|change| change.revision <= from);
        let changes = contents.history[first..]
            .iter()
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect();
        Ok((changes, contents.revision))
    }

    /// Tells of each new revision.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.newest_revision.subscribe()
    }

    fn apply(&self, contents: &mut Contents, key: &str, value: Option<Value>) -> u64 {
        contents.revision += 1;
        let revision = contents.revision;
        let key = key.to_owned();
        match value.clone() {
            Some(value) => {
                let object = Object {
                    key: key.clone(),
                    revision,
                    value,
                };
                contents.objects.insert(key.clone(), object);
            }
            None => {
                contents.objects.remove(&key);
            }
        }
        contents.history.push(Change {
            key,
            revision,
            value,
        });
        self.newest_revision.send_replace(revision);
        revision
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
