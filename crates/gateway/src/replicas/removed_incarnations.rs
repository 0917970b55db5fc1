//! Incarnations of replicas whose entries were removed before the store was restored from a copy.
//!
//! The copy may contain the entry of such an incarnation although the replica has ended. The entry is held back
//! until the replica has written it again, or for as long as the platform may need to detect that nobody renews
//! it.
//!
//! An incarnation that has announced that it is leaving never returns. If its entry does, a heartbeat from
//! before the removal has taken effect late. Requests must not reach the replica later than 2 s after the
//! removal (`drainMs`).

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::peers::message::WireReplica;

/// Limit of the remembered incarnations; the oldest are evicted first.
pub const MAX_REMOVED_INCARNATIONS: usize = 1024;

/// How long an incarnation is remembered after the removal of its entry. Copies are some seconds old.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// How long an entry is held back. The platform removes an entry after three missed heartbeats (`heartbeatMs`,
/// 1.2 s); this leaves room for twice that. An entry that still exists belongs to a live replica whose
/// heartbeats don't change it.
pub const HOLD_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// An incarnation whose entry was removed.
#[derive(Debug)]
struct RemovedIncarnation {
    born: Option<u64>,
    removed_at: Instant,
    /// Number of era changes of the store before the removal.
    era_changes: u64,
    /// Whether the incarnation had announced that it is leaving.
    has_announced_leaving: bool,
    held_back: Option<HeldEntry>,
}

/// An entry that is held back because it may come from a copy of the store.
#[derive(Debug)]
struct HeldEntry {
    entry: WireReplica,
    since: Instant,
    /// Number of era changes of the store before the entry was first received.
    era_changes: u64,
}

impl RemovedIncarnation {
    /// Whether the incarnation can be forgotten at `now`.
    fn is_expired(&self, now: Instant) -> bool {
        let (since, time) = match &self.held_back {
            Some(held) => (held.since, HOLD_BACK_TIMEOUT),
            None => (self.removed_at, REMOVED_RETENTION),
        };
        now.saturating_duration_since(since) >= time
    }
}

/// The remembered incarnations, by the id of the replica.
#[derive(Debug, Default)]
pub struct RemovedIncarnations {
    by_id: HashMap<String, RemovedIncarnation>,
}

impl RemovedIncarnations {
    /// Records that the entry of this incarnation was removed at `now`, after `era_changes` era changes of the
    /// store.
    pub fn record_removal(&mut self, id: &str, born: Option<u64>, era_changes: u64, now: Instant) {
        if self.by_id.len() >= MAX_REMOVED_INCARNATIONS && !self.by_id.contains_key(id) {
            self.evict_oldest();
        }
        let incarnation = RemovedIncarnation {
            born,
            removed_at: now,
            era_changes,
            has_announced_leaving: false,
            held_back: None,
        };
        self.by_id.insert(id.to_owned(), incarnation);
    }

    /// Records that the removed incarnation of this replica had announced that it is leaving.
    pub fn record_leaving(&mut self, id: &str) {
        if let Some(incarnation) = self.by_id.get_mut(id) {
            incarnation.has_announced_leaving = true;
        }
    }

    /// Records that the replica has written its entry again. It is not held back from then on, unless the
    /// replica had announced that it is leaving.
    pub fn record_rewrite(&mut self, id: &str) {
        if self
            .by_id
            .get(id)
            .is_some_and(|incarnation| !incarnation.has_announced_leaving)
        {
            self.by_id.remove(id);
        }
    }

    /// Whether an entry that is received after `era_changes` era changes of the store may be that of an
    /// incarnation that was removed before. If so, it is held back.
    pub fn hold_back(&mut self, entry: &WireReplica, era_changes: u64, now: Instant) -> bool {
        let Some(removed) = self.by_id.get_mut(&entry.id) else {
            return false;
        };
        let is_later_incarnation = entry.born > removed.born;
        if removed.has_announced_leaving && !is_later_incarnation && !removed.is_expired(now) {
            return true;
        }
        let is_same_era = removed.era_changes == era_changes;
        // In a further era the entry may come from an older copy.
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
        let incarnation = self.by_id.get(id);
        incarnation.is_some_and(|incarnation| incarnation.held_back.is_some())
    }

    /// Records that the entry of this replica was removed again, if it was held back.
    pub fn record_repeated_removal(&mut self, id: &str, era_changes: u64, now: Instant) {
        let held = self.by_id.get_mut(id);
        if let Some(incarnation) = held.filter(|incarnation| incarnation.held_back.is_some()) {
            incarnation.held_back = None;
            incarnation.removed_at = now;
            incarnation.era_changes = era_changes;
        }
    }

    /// The replicas whose entries are held back.
    pub fn held_back(&self) -> Vec<String> {
        let held = self
            .by_id
            .iter()
            .filter(|(_, incarnation)| incarnation.held_back.is_some());
        held.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets the incarnations that need not be remembered any longer at `now`. Returns the entries that are
    /// no longer held back.
    pub fn release_expired(&mut self, now: Instant) -> Vec<WireReplica> {
        let expired = self
            .by_id
            .extract_if(|_, incarnation| incarnation.is_expired(now));
        let released = expired.filter_map(|(_, incarnation)| incarnation.held_back);
        released.map(|held| held.entry).collect()
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .by_id
            .iter()
            .min_by_key(|(_, incarnation)| incarnation.removed_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }
}
