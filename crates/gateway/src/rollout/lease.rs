//! The lease under which one daemon gives orders to replicas.
//!
//! Unlike the lease of the daemon's other tasks it is taken only while there is something to order: an
//! idle one costs no call. It is an object in the store, changed on condition of its revision. A holder
//! may give orders until [`LeaseTimes::term`] after it *began* the write that gave it the lease. Another
//! daemon may take it once it has seen the object unchanged for the term and a further
//! [`LeaseTimes::handover_gap`], so that orders of two holders lie at least the distance apart, whatever
//! became of messages. Tokens rise with each acquisition, so none is used twice (see [`super::token`]).
//!
//! A process that was started again takes up the lease of the process before it, under the next token and
//! without a wait: a machine runs one gateway at a time, so the earlier one has ended and gives no more orders.
//!
//! A store that comes back from a copy, in a new era, may have lost the last holder's record. So a record that was not
//! written in the era in which it is read proves nothing of who holds the lease: whatever holder it names, also none, and also
//! where there is none, every daemon waits for the term and the distance. Only the last holder may go on, or take it again,
//! at once: up to the term and the distance after its last write nobody else can have the lease; it writes it anew under a
//! token of the new era.
//!
//! Times are of one steady clock, as durations since any fixed moment.

use std::collections::VecDeque;
use std::time::Duration;

use super::token::{MAX_TOKEN, next_token, token_bound};
use crate::protocol::{LeaseRecord, ObjectContent, StoredObject, WriteAnswer};
use crate::store::{StoreEra, StorePosition};

/// The times of the lease; all daemons must have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a holder may give orders after it began its last successful write.
    pub term: Duration,
    /// How far orders of two holders must lie apart.
    pub handover_gap: Duration,
    /// How long after a successful write the next renewal begins.
    pub renewal_interval: Duration,
    /// How long the last holder is waited for, although others could take the lease.
    pub takeover_delay: Duration,
}

/// What a daemon that wants to give orders does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// It may give orders under this token.
    Hold(u64),
    /// Write this record on condition of this position, then [`OrderLease::on_write`].
    Write {
        /// The record.
        record: LeaseRecord,
        /// The position that the object must have; none where it must not exist.
        expected: Option<StorePosition>,
    },
    /// Nothing for so long.
    Wait(Duration),
}

/// The object as last seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SeenRecord {
    position: StorePosition,
    record: LeaseRecord,
    first_seen_at: Duration,
}

impl SeenRecord {
    /// Whether it was written in the era in which it is read: one that was not may come from the copy, or may be a write of
    /// an earlier era that took effect late, whose condition meant another change.
    fn is_from_read_era(&self) -> bool {
        self.record.era == self.position.era
    }
}

/// The lease as this daemon holds or held it; nothing where another one may have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    token: u64,
    /// Until when it may give orders.
    valid_until: Duration,
    /// Until when nobody else can have taken the lease in the same era: everybody waits for the distance too.
    exclusive_until: Duration,
}

/// What a daemon knows of the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderLease {
    machine: String,
    incarnation: u64,
    times: LeaseTimes,
    is_first_start: bool,
    /// The latest era of the store that is known here.
    era: StoreEra,
    /// The object, where this era is known to have one.
    seen: Option<SeenRecord>,
    /// Whether this era is known to have the object, or not to have it.
    is_presence_known: bool,
    /// From when on nobody else holds the lease where the store has no object.
    free_if_missing_at: Duration,
    held: Option<HeldLease>,
    /// The highest token that is known, of all eras.
    highest_token: u64,
    renew_at: Duration,
    wanted_since: Option<Duration>,
    retry_at: Duration,
    /// Refusals in a row by replicas that had seen a higher token.
    refusals: u32,
    is_fenced: bool,
    consecutive_failures: u32,
    reached_positions: VecDeque<(Duration, StorePosition)>,
}

impl OrderLease {
    /// What a process on `machine` knows that knows nothing of the lease yet; `incarnation` tells it from others there.
    pub fn new(machine: &str, incarnation: u64, times: LeaseTimes) -> Self {
        Self {
            machine: machine.to_owned(),
            incarnation,
            times,
            is_first_start: false,
            era: StoreEra::UNNAMED,
            seen: None,
            is_presence_known: false,
            free_if_missing_at: Duration::ZERO,
            held: None,
            highest_token: 0,
            renew_at: Duration::ZERO,
            wanted_since: None,
            retry_at: Duration::ZERO,
            refusals: 0,
            is_fenced: false,
            consecutive_failures: 0,
            reached_positions: VecDeque::new(),
        }
    }

    /// The same where the whole system starts for the first time: nobody has held the lease before the first era that this
    /// process gets to know.
    pub fn at_first_start(mut self, is_first_start: bool) -> Self {
        self.is_first_start = is_first_start;
        self
    }

    /// Takes in that the object, or its absence, was read from the store in the latest era that is known here.
    pub fn on_list(&mut self, now: Duration, object: Option<(StorePosition, LeaseRecord)>) {
        self.is_presence_known = true;
        if let Some((position, record)) = object {
            self.on_seen(now, position, record);
        }
    }

    /// Takes in that the store had reached `position` by `now`: whatever has it or an earlier one was written
    /// before, even if it is seen later.
    pub fn on_store_position(&mut self, now: Duration, position: StorePosition) {
        self.enter_era(now, position.era);
        let is_new = self
            .reached_positions
            .back()
            .is_none_or(|(_, known)| *known < position);
        if is_new {
            self.reached_positions.push_back((now, position));
        }
        while self.reached_positions.len() > MAX_REACHED_POSITIONS {
            self.reached_positions.pop_front();
        }
    }

    /// The earliest time by which the store is known to have reached `position`.
    fn reached_at(&self, position: StorePosition) -> Option<Duration> {
        let mut reached_positions = self.reached_positions.iter();
        let first = reached_positions.find(|(_, known)| *known >= position)?;
        Some(first.0)
    }

    /// Takes in an era of the store. In a later one than was known nothing that was seen counts any more; the lease that is
    /// held lasts until its term ends, and is written anew at once.
    fn enter_era(&mut self, now: Duration, era: StoreEra) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == StoreEra::UNNAMED;
        self.era = era;
        self.seen = None;
        self.is_presence_known = false;
        if !(is_first && self.is_first_start) {
            self.free_if_missing_at = now + self.times.term + self.times.handover_gap;
        }
        self.renew_at = now;
    }

    /// Takes in a token that was given out, or that another daemon knows.
    pub fn on_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token.min(MAX_TOKEN));
    }

    /// The highest token that is known; 0 for none.
    pub fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Takes in the object as seen; earlier positions are ignored, but for their tokens.
    pub fn on_seen(&mut self, now: Duration, position: StorePosition, record: LeaseRecord) {
        self.on_token(record.token);
        self.enter_era(now, position.era);
        let seen = self.seen.as_ref();
        let is_stale = seen.is_some_and(|seen| seen.position >= position);
        if is_stale || position.era < self.era {
            return;
        }
        let reached_at = self.reached_at(position);
        let seen = SeenRecord {
            position,
            record,
            first_seen_at: reached_at.map_or(now, |reached_at| reached_at.min(now)),
        };
        if self.shows_other_holder(&seen) {
            self.held = None;
        }
        self.seen = Some(seen);
        self.is_presence_known = true;
    }

    /// The object as last seen, with its position.
    pub fn seen(&self) -> Option<(StorePosition, &LeaseRecord)> {
        let seen = self.seen.as_ref()?;
        Some((seen.position, &seen.record))
    }

    /// The token under which an order may be given at `now`.
    pub fn token_at(&self, now: Duration) -> Option<u64> {
        let held = self.held.filter(|held| now < held.valid_until)?;
        Some(held.token)
    }

    /// A replica has seen a higher token: this one may not be used again.
    pub fn on_fenced(&mut self) {
        self.is_fenced = true;
        self.refusals += 1;
        self.held = None;
    }

    /// There is nothing to order any more.
    pub fn on_idle(&mut self) {
        self.wanted_since = None;
        self.refusals = 0;
    }

    /// The record that gives the lease back, with the position that the object must have; nothing where this
    /// daemon does not hold it. It must give no order from now on.
    pub fn release(&mut self) -> Option<(LeaseRecord, StorePosition)> {
        self.held = None;
        let seen = self
            .seen
            .as_ref()
            .filter(|seen| seen.is_from_read_era() && self.is_own_record(&seen.record))?;
        let record = LeaseRecord {
            holder: String::new(),
            incarnation: 0,
            token: seen.record.token,
            renewal: seen.record.renewal + 1,
            era: self.era,
        };
        Some((record, seen.position))
    }

    /// Forgets what lies before `now`: the lease that was held, waits.
    pub fn clear_past_times(&mut self, now: Duration) {
        self.held = self.held.filter(|held| now < held.exclusive_until);
        for moment in [
            &mut self.renew_at,
            &mut self.retry_at,
            &mut self.free_if_missing_at,
        ] {
            if *moment <= now {
                *moment = Duration::ZERO;
            }
        }
    }

    /// What to do at `now` in order to give orders; `jitter` sets daemons apart that begin together.
    pub fn next_action(&mut self, now: Duration, jitter: Duration) -> LeaseAction {
        self.clear_past_times(now);
        let wanted_since = *self.wanted_since.get_or_insert(now);
        if let Some(token) = self.token_at(now)
            && now < self.renew_at
        {
            return LeaseAction::Hold(token);
        }
        if !self.is_presence_known {
            return LeaseAction::Wait(self.times.takeover_delay);
        }
        if now < self.retry_at {
            return LeaseAction::Wait(self.retry_at - now);
        }
        let is_last_holder = self.held.is_some();
        let Some(seen) = &self.seen else {
            if is_last_holder {
                return self.write_action(None, true);
            }
            let takeover_at = wanted_since + jitter;
            return self.write_after(takeover_at.max(self.free_if_missing_at), now, None);
        };
        let is_from_read_era = seen.is_from_read_era();
        if is_from_read_era && self.is_own_record(&seen.record) {
            return self.write_action(Some(seen), self.is_fenced);
        }
        if is_last_holder && !is_from_read_era
            || (is_from_read_era && seen.record.holder == self.machine)
        {
            return self.write_action(Some(seen), true);
        }
        let is_free = is_from_read_era && seen.record.holder.is_empty();
        let (term, takeover_delay) = match is_free {
            true => (Duration::ZERO, Duration::ZERO),
            false => (self.times.term, self.times.takeover_delay),
        };
        let free_at = seen.first_seen_at + term + self.times.handover_gap;
        let takeover_at = wanted_since + takeover_delay + jitter;
        self.write_after(free_at.max(takeover_at), now, Some(seen))
    }

    /// Takes in what became of a write that began at `started_at` and ended at `ended_at`.
    pub fn on_write(
        &mut self,
        record: LeaseRecord,
        started_at: Duration,
        ended_at: Duration,
        answer: WriteAnswer,
    ) {
        match answer {
            // It took effect in another era than that of its condition: the object there may have been another holder's.
            WriteAnswer::Accepted(position) if position.era != record.era => {
                self.on_seen(ended_at, position, record);
                self.retry_at = ended_at + RETRY_BACKOFF;
            }
            WriteAnswer::Accepted(position) => {
                self.on_token(record.token);
                self.is_fenced = false;
                self.consecutive_failures = 0;
                self.held = Some(HeldLease {
                    token: record.token,
                    valid_until: started_at + self.times.term,
                    exclusive_until: started_at + self.times.term + self.times.handover_gap,
                });
                self.renew_at = started_at + self.times.renewal_interval;
                self.seen = Some(SeenRecord {
                    position,
                    record,
                    first_seen_at: ended_at,
                });
            }
            WriteAnswer::Conflict(Some(object)) => {
                self.on_seen(ended_at, object.position, lease_record(&object));
                self.retry_at = ended_at + RETRY_BACKOFF;
            }
            WriteAnswer::Conflict(None) | WriteAnswer::Busy | WriteAnswer::Unknown => {
                if matches!(answer, WriteAnswer::Conflict(None)) && self.seen.take().is_some() {
                    // It is gone, and so is what it said of a holder.
                    self.free_if_missing_at = ended_at + self.times.term + self.times.handover_gap;
                }
                let backoff = RETRY_BACKOFF.saturating_mul(1 << self.consecutive_failures.min(4));
                self.consecutive_failures += 1;
                self.retry_at = ended_at + backoff;
            }
        }
    }

    fn is_own_record(&self, record: &LeaseRecord) -> bool {
        record.holder == self.machine && record.incarnation == self.incarnation
    }

    /// Whether an object as seen shows that another daemon holds the lease. A write of an earlier era that took effect late
    /// does not: its writer does not count it. A daemon that knows nothing of eras does.
    fn shows_other_holder(&self, seen: &SeenRecord) -> bool {
        let is_late = !seen.is_from_read_era() && seen.record.era != StoreEra::UNNAMED;
        !is_late && !self.is_own_record(&seen.record)
    }

    fn write_after(&self, at: Duration, now: Duration, seen: Option<&SeenRecord>) -> LeaseAction {
        match now < at {
            true => LeaseAction::Wait(at - now),
            false => self.write_action(seen, true),
        }
    }

    fn write_action(&self, seen: Option<&SeenRecord>, raises_token: bool) -> LeaseAction {
        let (token, renewal) = match seen {
            Some(seen) if !raises_token => (seen.record.token, seen.record.renewal + 1),
            _ => {
                let token = next_token(self.highest_token, self.era, self.refusals);
                (token, 0)
            }
        };
        LeaseAction::Write {
            record: LeaseRecord {
                holder: self.machine.clone(),
                incarnation: self.incarnation,
                token,
                renewal,
                era: self.era,
            },
            expected: seen.map(|seen| seen.position),
        }
    }
}

/// The record in the lease's object. One that can't be read, or whose token is none, counts as held by another: nobody knows
/// who wrote it.
pub fn lease_record(object: &StoredObject) -> LeaseRecord {
    match &object.content {
        Ok(ObjectContent::Lease(record)) if record.token < MAX_TOKEN => record.clone(),
        _ => LeaseRecord {
            holder: UNKNOWN_HOLDER.to_owned(),
            incarnation: 0,
            token: token_bound(object.position),
            renewal: 0,
            era: object.position.era,
        },
    }
}

/// Who holds a lease that can't be read; no machine has this name.
const UNKNOWN_HOLDER: &str = "?";

/// The pause after the first write that failed; each further one in a row twice as long, up to 16 times.
const RETRY_BACKOFF: Duration = Duration::from_millis(60);

/// Positions of the store whose time is remembered.
const MAX_REACHED_POSITIONS: usize = 64;
