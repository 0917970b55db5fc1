//! The records of this gateway, and what it has to announce to other gateways and to the store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use tokio::sync::Notify;

use super::Fingerprint;
use super::ledger::{Cleared, Ledger, RecordUpdate, Role, Verdict};
use super::lost_answers::LostAnswers;
use super::record::{Record, Stored, Strike};
use crate::store::StorePosition;

/// How often an update is announced: a datagram may be lost, and receivers ignore what they know already.
const ANNOUNCEMENTS: u8 = 3;

/// The time between two announcements of an update; three of them end well before others must know it
/// (`contact_seconds`).
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(350);

/// The reading of the records' clock when this gateway starts, so that times before the start, which other
/// gateways report, can be represented. It is longer than anything is remembered.
const CLOCK_ORIGIN: Duration = Duration::from_secs(30 * 24 * 3600);

/// A stored object that is to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// The request whose record the object keeps.
    pub fingerprint: Fingerprint,
    /// Where the object was last changed.
    pub position: StorePosition,
}

/// What to send to other gateways.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Strikes, for the home gateways of their requests.
    pub strikes: Vec<(Fingerprint, Strike)>,
    /// Requests that were cleared, for their home gateways.
    pub cleared: Vec<Fingerprint>,
    /// Requests whose records all gateways have to know.
    pub updates: Vec<Fingerprint>,
}

/// An update that is announced repeatedly.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    left: u8,
    next_at: Duration,
}

/// The records of this gateway.
#[derive(Debug)]
pub struct Quarantine {
    began: Instant,
    /// Lost answers, until it is known whether their replica has crashed.
    pub(super) lost_answers: LostAnswers,
    ledger: RefCell<Ledger>,
    outbox: RefCell<Outbox>,
    announcements: RefCell<HashMap<Fingerprint, Announcement>>,
    removals: RefCell<Vec<Removal>>,
    /// Wakes the task that announces updates to other gateways.
    pub announce_wakeup: Notify,
    /// Wakes the task that keeps records in the store.
    pub store_wakeup: Notify,
}

/// The source of a record or strike, for the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// This gateway observed it.
    Own,
    /// Another gateway.
    Peer,
    /// The store.
    Store,
    /// The list of replicas, which named the incarnation of a strike reported earlier.
    Replicas,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            lost_answers: LostAnswers::default(),
            ledger: RefCell::default(),
            outbox: RefCell::default(),
            announcements: RefCell::default(),
            removals: RefCell::default(),
            announce_wakeup: Notify::new(),
            store_wakeup: Notify::new(),
        }
    }
}

impl Quarantine {
    /// The current time on the clock of the records.
    pub fn now(&self) -> Duration {
        CLOCK_ORIGIN + self.began.elapsed()
    }

    /// Records that a replica crashed while a request of this gateway was open there, and announces it.
    pub fn strike(&self, fingerprint: Fingerprint, strike: Strike, role: Role) {
        self.outbox.borrow_mut().strikes.push((fingerprint, strike));
        self.announce_wakeup.notify_one();
        self.record_strike(fingerprint, strike, role, RecordSource::Own);
    }

    /// Records a strike.
    pub fn record_strike(
        &self,
        fingerprint: Fingerprint,
        strike: Strike,
        role: Role,
        source: RecordSource,
    ) {
        let mut ledger = self.ledger.borrow_mut();
        let update = ledger.strike(fingerprint, strike, role, self.now());
        let count = ledger.get(fingerprint).map_or(0.0, Record::count);
        drop(ledger);
        log_event!(
            gateway::REQUEST_STRUCK,
            "fingerprint={fingerprint} replica_digest={:016x} count={count} told_by={source:?}",
            strike.replica
        );
        self.handle_update(fingerprint, update, source);
    }

    /// Records that a replica has restarted under its id: incarnation `after` follows `before`, both given by
    /// their digests.
    pub fn note_next_incarnation(&self, before: u64, after: u64) {
        let mut ledger = self.ledger.borrow_mut();
        let updates = ledger.note_next_incarnation(before, after, self.now());
        drop(ledger);
        self.log_attributed(updates, after);
    }

    /// Records that the entry of a replica's incarnation, given by its digest, is gone.
    pub fn note_removed_incarnation(&self, incarnation: u64) {
        let mut ledger = self.ledger.borrow_mut();
        let updates = ledger.note_removed_incarnation(incarnation, self.now());
        drop(ledger);
        self.log_attributed(updates, incarnation);
    }

    /// Logs and announces strikes that waited until their incarnation was known.
    fn log_attributed(&self, updates: Vec<(Fingerprint, RecordUpdate)>, incarnation: u64) {
        for (fingerprint, update) in updates {
            log_event!(
                gateway::REQUEST_STRUCK,
                "fingerprint={fingerprint} replica_digest={incarnation:016x} count={} told_by={:?}",
                self.read(|ledger| ledger.get(fingerprint).map_or(0.0, Record::count)),
                RecordSource::Replicas
            );
            self.handle_update(fingerprint, update, RecordSource::Replicas);
        }
    }

    /// Merges a record from another gateway or the store; returns whether that changed something.
    pub fn merge_record(
        &self,
        fingerprint: Fingerprint,
        record: Record,
        role: Role,
        source: RecordSource,
    ) -> bool {
        let was_quarantined = self.is_quarantined(fingerprint);
        let mut ledger = self.ledger.borrow_mut();
        let update = ledger.merge(fingerprint, record, role, self.now());
        drop(ledger);
        let is_quarantined = self.is_quarantined(fingerprint);
        match update {
            RecordUpdate::Quarantined => self.handle_update(fingerprint, update, source),
            RecordUpdate::Shared if is_quarantined && !was_quarantined => {
                self.log_quarantined(fingerprint, source);
            }
            RecordUpdate::Shared if was_quarantined && !is_quarantined => {
                log_event!(
                    gateway::REQUEST_CLEARED,
                    "fingerprint={fingerprint} told_by={source:?}"
                );
            }
            RecordUpdate::Shared | RecordUpdate::NotShared => {}
        }
        self.store_wakeup.notify_one();
        update != RecordUpdate::NotShared
    }

    /// Records that an answer to a request completed: its replica has survived it.
    pub fn clear(&self, fingerprint: Fingerprint, source: RecordSource) {
        let cleared = self.ledger.borrow_mut().clear(fingerprint, self.now());
        let Some(cleared) = self.announce_if_shared(fingerprint, cleared) else {
            return;
        };
        log_event!(
            gateway::REQUEST_CLEARED,
            "fingerprint={fingerprint} count={} good_ends={} was_quarantined={} told_by={source:?}",
            cleared.before.count(),
            cleared.before.completions,
            cleared.before.is_quarantined
        );
        if let Some(position) = cleared.before.stored.position {
            self.remove(Removal {
                fingerprint,
                position,
            });
        }
        if !cleared.is_shared && source == RecordSource::Own {
            self.outbox.borrow_mut().cleared.push(fingerprint);
            self.announce_wakeup.notify_one();
        }
    }

    /// Records that an operator removed a request from the store.
    pub fn release(&self, fingerprint: Fingerprint) {
        let released = self.ledger.borrow_mut().release(fingerprint, self.now());
        if let Some(cleared) = self.announce_if_shared(fingerprint, released) {
            log_event!(
                gateway::REQUEST_RELEASED,
                "fingerprint={fingerprint} count={} was_quarantined={}",
                cleared.before.count(),
                cleared.before.is_quarantined
            );
        }
    }

    /// Compares with the complete list of stored records, read at `position`: records that the store kept
    /// before in the same era, and that are missing in the list, were released. Those that it kept in an
    /// earlier era may have been lost.
    pub fn release_missing(&self, listed: &[Fingerprint], position: StorePosition) {
        let ledger = self.ledger.borrow();
        let is_in_list = |stored: StorePosition| stored.era == position.era && stored <= position;
        let stored = ledger
            .shared_records()
            .filter(|(_, record)| record.stored.position.is_some_and(is_in_list));
        let missing = stored.map(|(fingerprint, _)| fingerprint);
        let missing: Vec<Fingerprint> = missing
            .filter(|missing| !listed.contains(missing))
            .collect();
        drop(ledger);
        for fingerprint in missing {
            self.release(fingerprint);
        }
    }

    /// Records that the quarantined request is tried after a long time.
    pub fn begin_trial(&self, fingerprint: Fingerprint) {
        self.ledger.borrow_mut().begin_trial(fingerprint);
        log_event!(
            gateway::REQUEST_TRIED,
            "fingerprint={fingerprint} why=long_in_quarantine"
        );
        self.announce(fingerprint);
    }

    /// Records that the request is tried in isolation from those that were open at the same crashes.
    pub fn begin_isolated_trial(&self, fingerprint: Fingerprint) {
        self.ledger
            .borrow_mut()
            .begin_isolated_trial(fingerprint, self.now());
        log_event!(
            gateway::REQUEST_TRIED,
            "fingerprint={fingerprint} why=others_have_the_same_ends rivals={}",
            self.ledger.borrow().rivals(fingerprint).len()
        );
        self.announce(fingerprint);
    }

    /// Decides how to treat a request. `fingerprint` is only computed if there are suspects.
    pub fn verdict(&self, fingerprint: impl FnOnce() -> Fingerprint) -> Verdict {
        let ledger = self.ledger.borrow();
        match ledger.has_suspects() {
            true => ledger.verdict(fingerprint(), self.now()),
            false => Verdict::Clear,
        }
    }

    /// Whether some records have to be compared with requests before these are sent.
    pub fn has_suspects(&self) -> bool {
        self.ledger.borrow().has_suspects()
    }

    /// Whether a completed answer may clear a request.
    pub fn may_clear(&self) -> bool {
        self.ledger.borrow().may_clear(self.now())
    }

    /// Calls `read` with the records.
    pub fn read<R>(&self, read: impl FnOnce(&Ledger) -> R) -> R {
        read(&self.ledger.borrow())
    }

    /// Records how the store keeps a record, and announces it to all gateways.
    pub fn note_stored(&self, fingerprint: Fingerprint, stored: Stored) {
        self.ledger.borrow_mut().note_stored(fingerprint, stored);
        self.announce(fingerprint);
    }

    /// Schedules the removal of a stored object.
    pub fn remove(&self, removal: Removal) {
        self.removals.borrow_mut().push(removal);
        self.store_wakeup.notify_one();
    }

    /// Schedules another attempt to remove an object, without waking the task.
    pub fn retry_removal(&self, removal: Removal) {
        self.removals.borrow_mut().push(removal);
    }

    /// Takes the objects to remove from the store; failed removals go to [`Self::retry_removal`].
    pub fn take_removals(&self) -> Vec<Removal> {
        self.removals.take()
    }

    /// Forgets records that are too old to count; returns the removals for those that the store keeps.
    pub fn forget_old(&self) -> Vec<Removal> {
        let kept_in_store = self.ledger.borrow_mut().forget_old(self.now());
        let removals = kept_in_store.into_iter();
        let removals = removals.map(|(fingerprint, position)| Removal {
            fingerprint,
            position,
        });
        removals.collect()
    }

    /// Takes what is to be sent now.
    pub fn take_outbox(&self) -> Outbox {
        let now = self.now();
        let mut outbox = self.outbox.take();
        let mut announcements = self.announcements.borrow_mut();
        for (fingerprint, announcement) in announcements.iter_mut() {
            if announcement.next_at <= now {
                outbox.updates.push(*fingerprint);
                announcement.left -= 1;
                announcement.next_at = now + ANNOUNCE_INTERVAL;
            }
        }
        announcements.retain(|_, announcement| announcement.left > 0);
        outbox
    }

    /// Whether updates remain to be announced again.
    pub fn has_announcements(&self) -> bool {
        !self.announcements.borrow().is_empty()
    }

    fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let ledger = self.ledger.borrow();
        let record = ledger.get(fingerprint);
        record.is_some_and(|record| record.is_quarantined)
    }

    fn announce_if_shared(
        &self,
        fingerprint: Fingerprint,
        cleared: Option<Cleared>,
    ) -> Option<Cleared> {
        let cleared = cleared?;
        if cleared.is_shared {
            self.announce(fingerprint);
        }
        Some(cleared)
    }

    fn handle_update(&self, fingerprint: Fingerprint, update: RecordUpdate, source: RecordSource) {
        if update == RecordUpdate::Quarantined {
            self.log_quarantined(fingerprint, source);
        }
        if update != RecordUpdate::NotShared {
            self.announce(fingerprint);
        }
    }

    fn announce(&self, fingerprint: Fingerprint) {
        let announcement = Announcement {
            left: ANNOUNCEMENTS,
            next_at: Duration::ZERO,
        };
        self.announcements
            .borrow_mut()
            .insert(fingerprint, announcement);
        self.announce_wakeup.notify_one();
        self.store_wakeup.notify_one();
    }

    fn log_quarantined(&self, fingerprint: Fingerprint, source: RecordSource) {
        let ledger = self.ledger.borrow();
        let Some(record) = ledger.get(fingerprint) else {
            return;
        };
        let replicas = record.strikes.iter();
        let replicas: Vec<String> = replicas
            .map(|strike| format!("{:016x}", strike.replica))
            .collect();
        log_event!(
            gateway::REQUEST_QUARANTINED,
            "fingerprint={fingerprint} count={} replica_digests={replicas:?} generation={} good_ends={} rivals={} told_by={source:?}",
            record.count(),
            record.generation,
            record.completions,
            ledger.rivals(fingerprint).len()
        );
    }
}
