//! Where a daemon stands in the change log of the daemon that it asks.
//!
//! What it learns elsewhere, from its own lists of the store or from another daemon, is not in that log; so
//! it then starts anew. Where both have the same items by then, as their digests show, nothing is sent.

use std::collections::HashSet;
use std::time::Duration;

use super::change_log::ChangeLog;
use super::message::{Change, Item, ItemKey, SyncReply};

/// By how much the age of one and the same view may differ between its teller and one who was told: ages are rounded up.
const AGE_ROUNDING: Duration = Duration::from_millis(2);

/// The place in the log of the daemon that is asked.
#[derive(Debug, Default)]
pub struct FollowedLog {
    log_id: u64,
    sequence: u64,
    queried_digest: Option<u64>,
    knows_all: bool,
    unconfirmed: HashSet<ItemKey>,
}

impl FollowedLog {
    /// Starts anew with the next question.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// What is said in a question of a daemon whose own items are `own`: the log, the last change that is
    /// known of it, the digest of its items.
    pub fn query_fields(&mut self, own: &ChangeLog) -> (u64, u64, u64) {
        self.queried_digest = Some(own.content_digest());
        (self.log_id, self.sequence, own.content_digest())
    }

    /// Whether a daemon whose own view is `own_view_age` old would go back to an older one with the answer of a daemon that
    /// it does not follow yet, and so use replicas again that it knows to have left: one that was cut off may tell what
    /// others told it before. One that has the same items is not behind, however old its proof.
    pub fn has_older_view(&self, answer: &SyncReply, own_view_age: Option<Duration>) -> bool {
        let told_age = answer.view_age_ms.map(Duration::from_millis);
        let ages = told_age.zip(own_view_age);
        let is_older = ages.is_some_and(|(told, own)| told > own + AGE_ROUNDING);
        is_older && !answer.has_same_items && answer.log_id != self.log_id
    }

    /// Whether the last answer left nothing out: what its teller knew is known here. Before the last page of a
    /// transfer it is not, and others must not be told what is here as if it were all.
    pub fn knows_all(&self) -> bool {
        self.knows_all
    }

    /// The changes that follow from an answer for a daemon whose own items are `own`.
    pub fn apply(&mut self, answer: &SyncReply, own: &ChangeLog) -> Vec<Change> {
        self.knows_all = false;
        if answer.has_same_items {
            if self.queried_digest == Some(own.content_digest()) {
                self.knows_all = true;
                self.set_position(answer);
                self.unconfirmed.clear();
            }
            return Vec::new();
        }
        if answer.is_from_start {
            self.unconfirmed = own.items().map(Item::key).collect();
        } else if answer.log_id != self.log_id {
            return Vec::new();
        }
        self.set_position(answer);
        self.knows_all = !answer.has_more;
        for change in &answer.changes {
            self.unconfirmed.remove(&change.key());
        }
        let mut changes = answer.changes.clone();
        if !answer.has_more {
            changes.extend(self.unconfirmed.drain().map(Change::Removed));
        }
        changes
    }

    fn set_position(&mut self, answer: &SyncReply) {
        self.log_id = answer.log_id;
        self.sequence = answer.sequence;
    }
}
