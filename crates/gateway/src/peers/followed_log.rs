//! A gateway's position in the change log of its source.
//!
//! What the gateway learns elsewhere, from its own lists of the store or from another gateway, is not in that log, so it
//! then restarts from the beginning. If both have the same items by then, as their digests show, nothing is sent.

use std::collections::HashSet;
use std::time::Duration;

use super::change_log::ChangeLog;
use super::message::{Change, Item, ItemKey, SyncReply};

/// The maximum difference between the ages of the same view at its sender and at its receiver: ages are rounded up.
const AGE_ROUNDING: Duration = Duration::from_millis(2);

/// The position in the source's change log.
#[derive(Debug, Default)]
pub struct FollowedLog {
    log_id: u64,
    sequence: u64,
    queried_digest: Option<u64>,
    is_complete: bool,
    unconfirmed: HashSet<ItemKey>,
}

impl FollowedLog {
    /// Restarts from the beginning with the next query.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The log id, the last known change and the digest of all items for the next query of a gateway whose items are
    /// `own`.
    pub fn query_fields(&mut self, own: &ChangeLog) -> (u64, u64, u64) {
        self.queried_digest = Some(own.content_digest());
        (self.log_id, self.sequence, own.content_digest())
    }

    /// Whether the reply of a gateway that wasn't followed so far would replace the own view, which is `own_view_age`
    /// old, with an older one. This gateway would then use replicas again that it knows to have left: a source that
    /// was cut off may relay what others reported earlier. A source with the same items is not older, whatever the age
    /// of its proof.
    pub fn has_older_view(&self, answer: &SyncReply, own_view_age: Option<Duration>) -> bool {
        let told_age = answer.view_age_ms.map(Duration::from_millis);
        let ages = told_age.zip(own_view_age);
        let is_older = ages.is_some_and(|(told, own)| told > own + AGE_ROUNDING);
        is_older && !answer.has_same_items && answer.log_id != self.log_id
    }

    /// Whether the last reply was complete, so that everything its sender knew is known here. It isn't before the last
    /// page of a transfer, and a partial state must not be passed on as complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Applies a reply; returns the resulting changes to the items `own` of this gateway.
    pub fn apply(&mut self, answer: &SyncReply, own: &ChangeLog) -> Vec<Change> {
        self.is_complete = false;
        if answer.has_same_items {
            if self.queried_digest == Some(own.content_digest()) {
                self.is_complete = true;
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
        self.is_complete = !answer.has_more;
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
