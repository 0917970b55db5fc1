//! One copy from another replica, in one or more chunks.

use std::collections::HashMap;

use driftspring_types::{Incarnation, Revision};

use crate::gaps::ListGap;
use crate::message::{Delta, PullRequest};
use crate::replica::{Change, Replica};

/// What a pull needs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PullProgress {
    /// Send this request to the same peer.
    Ask(PullRequest),
    /// The copy is whole.
    Done,
    /// The peer was restarted meanwhile and may know less than it claimed. What came is kept.
    Abandoned,
}

/// One copy from one peer. Its chunks must all come from that peer's same life.
///
/// Records are merged as they come, but only a whole copy moves `complete_to`, and only to what the
/// peer claimed in its *first* chunk: a record that the peer replaces in between moves to a later
/// chunk, so whatever the peer held at the first one has arrived by the last.
#[derive(Debug)]
pub struct PullSession {
    request: PullRequest,
    first: Option<FirstChunk>,
    seen: HashMap<String, Revision>,
}

#[derive(Debug)]
struct FirstChunk {
    life: Incarnation,
    base: Revision,
    complete_to: Revision,
    gaps: Vec<ListGap>,
}

impl PullSession {
    /// A copy that begins with `request`, which [`Replica::on_notice`] made.
    pub fn new(request: PullRequest) -> Self {
        Self {
            request,
            first: None,
            seen: HashMap::new(),
        }
    }

    /// The request to send next.
    pub fn request(&self) -> PullRequest {
        self.request
    }

    /// Takes one chunk of the peer's answer into `replica`.
    pub fn apply(&mut self, replica: &mut Replica, delta: Delta) -> (Change, PullProgress) {
        let first = self.first.get_or_insert_with(|| FirstChunk {
            life: delta.life,
            base: delta.base,
            complete_to: delta.complete_to,
            gaps: delta.gaps.clone(),
        });
        let is_same_life = first.life == delta.life;
        let last_revision = delta.records.last().map(|record| record.revision);
        let mut change = Change::default();
        for record in delta.records {
            self.seen.insert(record.key.clone(), record.revision);
            change |= replica.merge(record);
        }
        if !is_same_life {
            return (change, PullProgress::Abandoned);
        }
        if let (true, Some(since)) = (delta.more, last_revision) {
            self.request = PullRequest {
                since,
                continues: true,
            };
            return (change, PullProgress::Ask(self.request));
        }
        change |= replica.drop_missing(first.base, first.complete_to, &self.seen);
        change |= replica.complete_copy(first.complete_to, &first.gaps);
        (change, PullProgress::Done)
    }
}
