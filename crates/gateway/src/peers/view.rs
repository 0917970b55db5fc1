//! How recent a gateway's view of the replicas is, and how long removed entries are tolerated after an outage.
//!
//! During an outage of the store replicas can't renew their entries, so afterwards many entries are missing that return
//! with the next heartbeat. A replica whose entry is missing then stays in use for a while; if it is gone for good, its
//! address refuses connections, and a request names the replica that it expects there.
//!
//! An old view alone doesn't indicate an outage: the source may be cut off from a store that all other gateways reach,
//! and a missing entry then means that the replica has left. So an outage counts only at a gateway that itself failed to
//! reach the store, and only until this gateway is in touch again.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

/// The age of a view from which entries may have expired because of an outage of the store.
const OUTAGE_AGE: Duration = Duration::from_millis(2500);

/// How long replicas without an entry stay in use after the read that showed the end of an outage: they are given about
/// two seconds to return, and a reader learns of it up to 0.2 s later. With up to 0.8 s from the store's recovery to
/// that read, this period ends when machines are in touch again (`contactMs`, 3 s).
const RETENTION_AFTER_OUTAGE: Duration = Duration::from_millis(2200);

/// How long before it is in touch again a gateway stops using replicas without an entry, as a margin for requests in
/// flight: from then on it must not use any replica that has left.
const MARGIN_BEFORE_CONTACT: Duration = Duration::from_millis(200);

/// The longest time between two proofs of a view for it to count as uninterrupted. A replica that comes and goes stays
/// listed for longer: one that leaves for as long as it drains (`drainMs`, 2 s and more), one that crashes until three of
/// its heartbeats are missing.
pub const MAX_INTERRUPTION: Duration = Duration::from_secs(2);

/// The age of a gateway's knowledge of replicas and other gateways.
#[derive(Debug, Default)]
pub struct View {
    proved_at: Cell<Option<Instant>>,
    uninterrupted_since: Cell<Option<Instant>>,
    reader: Cell<Option<u64>>,
    outage_ended_at: Cell<Option<Instant>>,
}

impl View {
    /// Records at `now` that the reader of the whole store with this log id had the known state at `moment`; `reader`
    /// is none if the log id is not known.
    pub fn prove(&self, moment: Instant, reader: Option<u64>, now: Instant) {
        let before = self.proved_at.get();
        if before.is_some_and(|before| moment <= before) {
            return;
        }
        self.reader.set(reader);
        let is_interrupted =
            before.is_none_or(|before| moment.saturating_duration_since(before) > MAX_INTERRUPTION);
        if is_interrupted {
            self.uninterrupted_since.set(Some(moment));
        }
        if self.is_outage(now) {
            // Not `now`, so that a gateway that learns of it later counts from the same moment as the reader.
            self.outage_ended_at.set(Some(moment));
        }
        self.proved_at.set(Some(moment));
    }

    /// The log id of the reader of the store from which the known state came.
    pub fn reader(&self) -> Option<u64> {
        self.reader.get()
    }

    /// Since when every replica that was listed has been seen here.
    pub fn uninterrupted_since(&self) -> Option<Instant> {
        self.uninterrupted_since.get()
    }

    /// How long before `now` a reader of the whole store had the known state.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let proved_at = self.proved_at.get()?;
        Some(now.saturating_duration_since(proved_at))
    }

    /// Until when a replica stays in use whose entry is found missing at `now`, by a gateway whose own call to the store
    /// has failed and that is in touch again no sooner than `in_touch_at`; `None` if the store was available all the
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
