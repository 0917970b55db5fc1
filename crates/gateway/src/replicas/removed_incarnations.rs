//! Lives of replicas whose entries were gone before the store came back from a copy.
//!
//! The entry of such a life may stand in the copy, though the replica has ended. It is held back until the replica has written
//! it anew, or for as long as the platform may need to see that nobody renews it.
//!
//! A life that had said that it is leaving never comes back: where its entry does, a heartbeat of before took effect late. Requests
//! must not reach it later than 2 s after it was gone (`drainMs`).

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::peers::message::WireReplica;

/// Lives that are remembered; the oldest are forgotten first.
pub const MAX_REMOVED_INCARNATIONS: usize = 1024;

/// How long a life is remembered after its entry was gone: copies are some seconds old.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// How long an entry is held back. The platform removes one after three silent heartbeats (`heartbeatMs`, 1.2 s), here with room
/// for twice that; one that is still there belongs to a replica that lives, and whose heartbeats change nothing in it.
pub const HOLD_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// A life whose entry is gone.
#[derive(Debug)]
struct RemovedIncarnation {
    born: Option<u64>,
    removed_at: Instant,
    /// How often the store had changed its era by then.
    era_changes: u64,
    /// Whether it had said that it is leaving.
    has_announced_leaving: bool,
    held_back: Option<HeldEntry>,
}

/// An entry that stands in a copy.
#[derive(Debug)]
struct HeldEntry {
    entry: WireReplica,
    since: Instant,
    /// How often the store had changed its era as the entry was told first.
    era_changes: u64,
}

impl RemovedIncarnation {
    /// Whether it need not be remembered any longer at `now`.
    fn is_expired(&self, now: Instant) -> bool {
        let (since, time) = match &self.held_back {
            Some(held) => (held.since, HOLD_BACK_TIMEOUT),
            None => (self.removed_at, REMOVED_RETENTION),
        };
        now.saturating_duration_since(since) >= time
    }
}

/// The lives that are remembered, by the replica's id.
#[derive(Debug, Default)]
pub struct RemovedIncarnations {
    by_id: HashMap<String, RemovedIncarnation>,
}

impl RemovedIncarnations {
    /// Takes in that the entry of this life is gone, at `now`, when the store had changed its era so often.
    pub fn record_removal(&mut self, id: &str, born: Option<u64>, era_changes: u64, now: Instant) {
        if self.by_id.len() >= MAX_REMOVED_INCARNATIONS && !self.by_id.contains_key(id) {
            self.evict_oldest();
        }
        let life = RemovedIncarnation {
            born,
            removed_at: now,
            era_changes,
            has_announced_leaving: false,
            held_back: None,
        };
        self.by_id.insert(id.to_owned(), life);
    }

    /// Takes in that the life of this replica that is gone had said that it is leaving.
    pub fn record_leaving(&mut self, id: &str) {
        if let Some(life) = self.by_id.get_mut(id) {
            life.has_announced_leaving = true;
        }
    }

    /// Takes in that the replica has written its entry anew: nothing is held back, unless it had left.
    pub fn record_rewrite(&mut self, id: &str) {
        if self
            .by_id
            .get(id)
            .is_some_and(|life| !life.has_announced_leaving)
        {
            self.by_id.remove(id);
        }
    }

    /// Whether an entry that is told when the store has changed its era `era_changes` times may be that of a life that was gone
    /// before: it is held back then.
    pub fn hold_back(&mut self, entry: &WireReplica, era_changes: u64, now: Instant) -> bool {
        let Some(removed) = self.by_id.get_mut(&entry.id) else {
            return false;
        };
        let is_later_incarnation = entry.born > removed.born;
        if removed.has_announced_leaving && !is_later_incarnation && !removed.is_expired(now) {
            return true;
        }
        let is_same_era = removed.era_changes == era_changes;
        // In a further era it may be that of an older copy.
        let held = removed.held_back.take();
        let held = held.filter(|held| held.era_changes == era_changes);
        let is_changed = held.as_ref().is_some_and(|held| held.entry != *entry);
        removed.held_back = held;
        if is_later_incarnation || is_same_era || is_changed || removed.is_expired(now) {
            self.by_id.remove(&entry.id);
            return false;
        }
        removed.held_back.get_or_insert_with(|| HeldEntry {
            entry: entry.clone(),
            since: now,
            era_changes,
        });
        true
    }

    /// Whether the entry of this replica is held back.
    pub fn is_held_back(&self, id: &str) -> bool {
        let life = self.by_id.get(id);
        life.is_some_and(|life| life.held_back.is_some())
    }

    /// Takes in that the entry of this replica is gone again, if it was held back.
    pub fn record_repeated_removal(&mut self, id: &str, era_changes: u64, now: Instant) {
        let held = self.by_id.get_mut(id);
        if let Some(life) = held.filter(|life| life.held_back.is_some()) {
            life.held_back = None;
            life.removed_at = now;
            life.era_changes = era_changes;
        }
    }

    /// The replicas whose entries are held back.
    pub fn held_back(&self) -> Vec<String> {
        let held = self
            .by_id
            .iter()
            .filter(|(_, life)| life.held_back.is_some());
        held.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets what need not be remembered any longer at `now`; the entries that are held back no more.
    pub fn release_expired(&mut self, now: Instant) -> Vec<WireReplica> {
        let expired = self.by_id.extract_if(|_, life| life.is_expired(now));
        let released = expired.filter_map(|(_, life)| life.held_back);
        released.map(|held| held.entry).collect()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.by_id.iter().min_by_key(|(_, life)| life.removed_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }
}
