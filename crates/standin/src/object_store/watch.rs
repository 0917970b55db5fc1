//! A watch: the changes after a revision, then new ones as they come, with bookmarks in between.

use std::sync::Arc;
use std::time::Duration;

use ntex::util::{Bytes, BytesMut};
use serde_json::json;
use tokio::sync::watch::Receiver;

use super::objects::ObjectStore;
use crate::streaming::{PartSource, StreamBroken, json_line};

/// The silence after which a bookmark is sent.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(1);

/// The source of one watch's lines.
pub(super) struct WatchSource {
    store: Arc<ObjectStore>,
    prefix: String,
    sent_to: u64,
    /// Whether changes that the watcher has seen are still to be replayed.
    replay: bool,
    revisions: Receiver<u64>,
}

impl WatchSource {
    /// A watch of the changes after `from`; a stale one begins with older changes.
    pub(super) fn new(store: Arc<ObjectStore>, from: u64, prefix: String, stale: bool) -> Self {
        Self {
            revisions: store.subscribe(),
            store,
            prefix,
            sent_to: from,
            replay: stale,
        }
    }

    /// The lines of the changes after `from`, if there are any.
    fn lines_after(&mut self, from: u64) -> Result<Option<Bytes>, StreamBroken> {
        let changes = self.store.changes_after(from, &self.prefix);
        let (changes, revision) = changes.map_err(|_| StreamBroken)?;
        self.sent_to = revision;
        if changes.is_empty() {
            return Ok(None);
        }
        let mut lines = BytesMut::new();
        for change in &changes {
            lines.extend_from_slice(&json_line(change));
        }
        Ok(Some(lines.freeze()))
    }

    fn bookmark(&self) -> Bytes {
        json_line(&json!({"bookmark": self.sent_to}))
    }
}

impl PartSource for WatchSource {
    async fn next_part(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        if std::mem::take(&mut self.replay)
            && let Ok(Some(lines)) = self.lines_after(0)
        {
            return Ok(Some(lines));
        }
        loop {
            self.revisions.mark_unchanged();
            if let Some(lines) = self.lines_after(self.sent_to)? {
                return Ok(Some(lines));
            }
            let news = tokio::time::timeout(BOOKMARK_INTERVAL, self.revisions.changed()).await;
            if news.is_err() {
                return Ok(Some(self.bookmark()));
            }
        }
    }
}
