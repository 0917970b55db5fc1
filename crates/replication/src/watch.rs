//! The position of one watch of the object store.

use driftspring_types::Revision;

/// How far one watch has come. Made by [`crate::Replica::begin_watch`], for one connection only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchCursor {
    from: Revision,
    position: Revision,
}

impl WatchCursor {
    pub(crate) fn new(from: Revision) -> Self {
        Self {
            from,
            position: from,
        }
    }

    /// The revision to ask the store for: it sends every change after it.
    pub fn from(&self) -> Revision {
        self.from
    }

    /// Moves to `revision`; false where the watch was there before, as in a replay of old changes.
    pub(crate) fn advance(&mut self, revision: Revision) -> bool {
        let is_new = revision > self.position;
        self.position = self.position.max(revision);
        is_new
    }
}
