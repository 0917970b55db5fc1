//! How recent a daemon's view of the replicas is, and what it does with entries that are gone after an outage.
//!
//! While the store is down replicas can't renew their entries, so after it many are gone that come back with
//! the next heartbeat. A replica whose entry is gone then stays in use for a while; if it is gone for good,
//! its address refuses, and a request names the replica it expects there.
//!
//! An old view alone is no sign of an outage: the daemon that is asked may be cut off from a store that is there for
//! all others, and an entry that is gone then tells of a replica that has left. So an outage counts only at a daemon
//! that the store has failed itself, and only for as long after that as this daemon is not yet in touch again.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

/// The age of a view from which on entries may have lapsed for want of a store.
const OUTAGE_AGE: Duration = Duration::from_millis(2500);

/// How long after a read that showed the end of an outage replicas without an entry stay in use: the pages give
/// them about two seconds to come back, and a reader learns of that up to 0.2 s later. With up to 0.8 s from the
/// store's return to that read this ends as machines are in touch again (`contactMs`, 3 s).
const RETENTION_AFTER_OUTAGE: Duration = Duration::from_millis(2200);

/// How long before it is in touch again a daemon stops using replicas without an entry, for requests that are on their
/// way: from then on it is bound to use no replica that has left.
const MARGIN_BEFORE_CONTACT: Duration = Duration::from_millis(200);

/// The age of what a daemon knows of replicas and other daemons.
#[derive(Debug, Default)]
pub struct View {
    proved_at: Cell<Option<Instant>>,
    reader: Cell<Option<u64>>,
    outage_ended_at: Cell<Option<Instant>>,
}

impl View {
    /// Takes in at `now` that all that is known here was known at `moment` to the reader of the whole store that has this
    /// log; none where its log is not told.
    pub fn prove(&self, moment: Instant, reader: Option<u64>, now: Instant) {
        let before = self.proved_at.get();
        if before.is_some_and(|before| moment <= before) {
            return;
        }
        self.reader.set(reader);
        if self.is_outage(now) {
            // Not `now`: a daemon that is told of it later counts from the same moment as the reader.
            self.outage_ended_at.set(Some(moment));
        }
        self.proved_at.set(Some(moment));
    }

    /// The log of the reader of the store that knew all that is known here.
    pub fn reader(&self) -> Option<u64> {
        self.reader.get()
    }

    /// How long before `now` a reader of the whole store knew all that is known here.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let proved_at = self.proved_at.get()?;
        Some(now.saturating_duration_since(proved_at))
    }

    /// Until when a replica stays in use whose entry is found to be gone at `now`, by a daemon that is in touch again
    /// no sooner than `in_touch_at`, after a call that the store failed it; nothing where the store was there all the
    /// time, so that the replica itself has left.
    pub fn keep_until(&self, now: Instant, in_touch_at: Option<Instant>) -> Option<Instant> {
        let ended_at = match self.is_outage(now) {
            true => now,
            false => self.outage_ended_at.get()?,
        };
        let bound_from = in_touch_at?.checked_sub(MARGIN_BEFORE_CONTACT)?;
        let until = (ended_at + RETENTION_AFTER_OUTAGE).min(bound_from);
        (until > now).then_some(until)
    }

    fn is_outage(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age >= OUTAGE_AGE)
    }
}
