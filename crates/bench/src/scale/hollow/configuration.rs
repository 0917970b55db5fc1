//! How a hollow daemon learns the configuration: from the store as a reader, else from the others.

use std::sync::atomic::Ordering;
use std::time::Duration;

use driftspring_replication::{Delta, PullProgress, PullRequest, PullSession, WatchCursor};
use driftspring_types::{ObjectRecord, Revision};

use super::HollowDaemon;
use crate::scale::plan::HTTP_HEADER_BYTES;
use crate::scale::traffic::TrafficKind;

/// Bytes of one chunk of a copy, as in the daemon.
const CHUNK_BYTES: usize = 256 * 1024;

/// Time between two bookmarks of a watch.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a bookmark.
const BOOKMARK_BYTES: u64 = 24;

/// A watch of the store.
pub(super) struct Watch {
    cursor: WatchCursor,
    position: Revision,
    bookmark_at: Duration,
}

impl HollowDaemon {
    /// Copies from another daemon, chunk by chunk.
    pub(super) fn copy_from(&self, peer: usize, request: PullRequest) {
        if !self.shared.is_connected(self.number, peer) {
            return;
        }
        let mut session = PullSession::new(request);
        loop {
            let request = session.request();
            let source = &self.shared.daemons[peer];
            let delta = source.replica().changes_since(request, CHUNK_BYTES);
            let Ok(bytes) = musli::wire::to_vec(&delta) else {
                return;
            };
            // Both daemons handle these bytes.
            let handled = 2 * (bytes.len() as u64 + HTTP_HEADER_BYTES);
            self.shared.traffic.count(TrafficKind::Copies, handled);
            let Ok(delta) = musli::wire::from_slice::<Delta>(&bytes) else {
                return;
            };
            let (_, progress) = session.apply(&mut self.own().replica(), delta);
            if progress == PullProgress::Done {
                return;
            }
        }
    }

    /// Reads the store while this daemon is a reader of its zone.
    pub(super) fn read_store(&mut self, now: Duration) {
        if !self.is_reader(now) || self.shared.is_cut(self.zone) {
            self.life.watch = None;
            return;
        }
        if self.life.watch.is_none() {
            self.begin_watch(now);
        }
        let Some(watch) = &mut self.life.watch else {
            return;
        };
        let changes = self.shared.store.changes_after(watch.position);
        let mut replica = self.shared.daemons[self.number].replica();
        for record in changes {
            let traffic = &self.shared.traffic;
            traffic.count(TrafficKind::Store, record_bytes(&record));
            watch.position = record.revision;
            replica.apply_watch_event(&mut watch.cursor, record);
        }
        if now >= watch.bookmark_at {
            watch.bookmark_at = now + BOOKMARK_INTERVAL;
            let traffic = &self.shared.traffic;
            traffic.count(TrafficKind::Store, BOOKMARK_BYTES);
            replica.apply_bookmark(&mut watch.cursor, watch.position);
        }
    }

    fn begin_watch(&mut self, now: Duration) {
        let mut replica = self.shared.daemons[self.number].replica();
        if replica.complete_to() == Revision(0) {
            let (revision, records) = self.shared.store.list();
            let bytes = records.iter().map(record_bytes).sum::<u64>() + HTTP_HEADER_BYTES;
            self.shared.traffic.count(TrafficKind::Store, bytes);
            replica.apply_list(revision, records);
        }
        self.shared.store.watches.fetch_add(1, Ordering::Relaxed);
        let cursor = replica.begin_watch();
        self.life.watch = Some(Watch {
            position: cursor.from(),
            cursor,
            bookmark_at: now,
        });
    }
}

/// About the bytes of a record as a line of JSON.
fn record_bytes(record: &ObjectRecord) -> u64 {
    const FRAME_BYTES: usize = 40;
    (record.key.len() + record.value.as_ref().map_or(4, String::len) + FRAME_BYTES) as u64
}
