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
pub const MAX_GONE_LIVES: usize = 1024;

/// How long a life is remembered after its entry was gone: copies are some seconds old.
pub const GONE_MEMORY: Duration = Duration::from_secs(60);

/// How long an entry is held back. The platform removes one after three silent heartbeats (`heartbeatMs`, 1.2 s), here with room
/// for twice that; one that is still there belongs to a replica that lives, and whose heartbeats change nothing in it.
pub const HELD_BACK: Duration = Duration::from_secs(10);

/// A life whose entry is gone.
#[derive(Debug)]
struct GoneLife {
    born: Option<u64>,
    gone_at: Instant,
    /// How often the store had changed its era by then.
    era_changes: u64,
    /// Whether it had said that it is leaving.
    has_left: bool,
    held_back: Option<HeldBack>,
}

/// An entry that stands in a copy.
#[derive(Debug)]
struct HeldBack {
    entry: WireReplica,
    since: Instant,
    /// How often the store had changed its era as the entry was told first.
    era_changes: u64,
}

impl GoneLife {
    /// Whether it need not be remembered any longer at `now`.
    fn is_over(&self, now: Instant) -> bool {
        let (since, time) = match &self.held_back {
            Some(held) => (held.since, HELD_BACK),
            None => (self.gone_at, GONE_MEMORY),
        };
        now.saturating_duration_since(since) >= time
    }
}

/// The lives that are remembered, by the replica's id.
#[derive(Debug, Default)]
pub struct GoneLives {
    by_id: HashMap<String, GoneLife>,
}

impl GoneLives {
    /// Takes in that the entry of this life is gone, at `now`, when the store had changed its era so often.
    pub fn note_gone(&mut self, id: &str, born: Option<u64>, era_changes: u64, now: Instant) {
        if self.by_id.len() >= MAX_GONE_LIVES && !self.by_id.contains_key(id) {
            self.forget_oldest();
        }
        let life = GoneLife {
            born,
            gone_at: now,
            era_changes,
            has_left: false,
            held_back: None,
        };
        self.by_id.insert(id.to_owned(), life);
    }

    /// Takes in that the life of this replica that is gone had said that it is leaving.
    pub fn note_left(&mut self, id: &str) {
        if let Some(life) = self.by_id.get_mut(id) {
            life.has_left = true;
        }
    }

    /// Takes in that the replica has written its entry anew: nothing is held back, unless it had left.
    pub fn forget(&mut self, id: &str) {
        if self.by_id.get(id).is_some_and(|life| !life.has_left) {
            self.by_id.remove(id);
        }
    }

    /// Whether an entry that is told when the store has changed its era `era_changes` times may be that of a life that was gone
    /// before: it is held back then.
    pub fn holds_back(&mut self, told: &WireReplica, era_changes: u64, now: Instant) -> bool {
        let Some(gone) = self.by_id.get_mut(&told.id) else {
            return false;
        };
        let is_later_life = told.born > gone.born;
        if gone.has_left && !is_later_life && !gone.is_over(now) {
            return true;
        }
        let is_same_era = gone.era_changes == era_changes;
        // In a further era it may be that of an older copy.
        let held = gone.held_back.take();
        let held = held.filter(|held| held.era_changes == era_changes);
        let is_changed = held.as_ref().is_some_and(|held| held.entry != *told);
        gone.held_back = held;
        if is_later_life || is_same_era || is_changed || gone.is_over(now) {
            self.by_id.remove(&told.id);
            return false;
        }
        gone.held_back.get_or_insert_with(|| HeldBack {
            entry: told.clone(),
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
    pub fn note_removed(&mut self, id: &str, era_changes: u64, now: Instant) {
        let held = self.by_id.get_mut(id);
        if let Some(life) = held.filter(|life| life.held_back.is_some()) {
            life.held_back = None;
            life.gone_at = now;
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
    pub fn take_over(&mut self, now: Instant) -> Vec<WireReplica> {
        let over = self.by_id.extract_if(|_, life| life.is_over(now));
        let released = over.filter_map(|(_, life)| life.held_back);
        released.map(|held| held.entry).collect()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.by_id.iter().min_by_key(|(_, life)| life.gone_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }
}
