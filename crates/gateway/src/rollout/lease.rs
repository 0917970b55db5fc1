//! Lease under which one gateway gives orders to replicas.
//!
//! Unlike the lease of the gateway's other tasks it is acquired only while there is something to order, so an idle
//! lease costs no calls. The lease is an object in the store that is written on condition of its revision. A holder may
//! give orders until [`LeaseTimes::term`] after the *start* of the write that gave it the lease. Another gateway may
//! take the lease once it has seen the object unchanged for the term plus [`LeaseTimes::handover_gap`], so that orders
//! of two holders are at least the gap apart, even if messages are lost or delayed. The token rises with each
//! acquisition, so none is used twice (see [`super::token`]).
//!
//! A restarted process takes over the lease of its predecessor at once, under the next token: a machine runs one
//! gateway at a time, so the predecessor has ended and gives no more orders.
//!
//! A store that comes back from a copy, in a new era, may have lost the record of the last holder. A record that was
//! not written in the era in which it is read therefore does not prove who holds the lease. If the record is of another
//! era or missing, every gateway waits for the term plus the gap, whatever holder the record names. Only the last
//! holder may continue, or acquire the lease again, at once: until the term plus the gap after its last write no other
//! gateway can have the lease. It writes the lease again under a token of the new era.
//!
//! All times are durations since the same arbitrary moment, measured by one monotonic clock.

use std::collections::VecDeque;
use std::time::Duration;

use super::token::{MAX_TOKEN, next_token, token_bound};
use crate::protocol::{LeaseRecord, ObjectContent, StoredObject, WriteAnswer};
use crate::store::{StoreEra, StorePosition};

/// Times of the lease; they must be the same on all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a holder may give orders after the start of its last successful write.
    pub term: Duration,
    /// Minimum time between orders of two holders.
    pub handover_gap: Duration,
    /// Time from the start of a successful write to the next renewal.
    pub renewal_interval: Duration,
    /// How long other gateways give the last holder the chance to take the lease again, although they could take it.
    pub takeover_delay: Duration,
}

/// Next step of a gateway that wants to give orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Give orders under this token.
    Hold(u64),
    /// Write this record on condition of this position, then call [`OrderLease::on_write`].
    Write {
        /// Record to write.
        record: LeaseRecord,
        /// Position that the object must have; `None` if it must not exist.
        expected: Option<StorePosition>,
    },
    /// Wait for this long.
    Wait(Duration),
}

/// The lease object as last seen in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SeenRecord {
    position: StorePosition,
    record: LeaseRecord,
    first_seen_at: Duration,
}

impl SeenRecord {
    /// Whether the record was written in the era in which it was read. Otherwise it may come from the copy, or be a
    /// late write of an earlier era whose condition referred to a different change.
    fn is_from_read_era(&self) -> bool {
        self.record.era == self.position.era
    }
}

/// The lease as this gateway holds or last held it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    token: u64,
    /// Time until which this gateway may give orders.
    valid_until: Duration,
    /// Time until which no other gateway can have taken the lease in the same era, since others also wait for the
    /// handover gap.
    exclusive_until: Duration,
}

/// State of the lease as known to one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderLease {
    machine: String,
    incarnation: u64,
    times: LeaseTimes,
    is_first_start: bool,
    /// Latest known era of the store.
    era: StoreEra,
    /// The lease object, if it is known to exist in this era.
    seen: Option<SeenRecord>,
    /// Whether it is known if the object exists in this era.
    is_presence_known: bool,
    /// Time from which a missing object means that no gateway holds the lease.
    free_if_missing_at: Duration,
    held: Option<HeldLease>,
    /// Highest known token of all eras.
    highest_token: u64,
    renew_at: Duration,
    wanted_since: Option<Duration>,
    retry_at: Duration,
    /// Number of consecutive refusals by replicas that had seen a higher token.
    refusals: u32,
    is_fenced: bool,
    consecutive_failures: u32,
    reached_positions: VecDeque<(Duration, StorePosition)>,
}

impl OrderLease {
    /// Creates the state of a process on `machine` that knows nothing of the lease yet; `incarnation` identifies the
    /// process among those of the machine.
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

    /// Sets whether the whole system starts for the first time. In this case no gateway has held the lease before the
    /// first era that this process learns of.
    pub fn at_first_start(mut self, is_first_start: bool) -> Self {
        self.is_first_start = is_first_start;
        self
    }

    /// Records that the object, or its absence, was read from the store in the latest known era.
    pub fn on_list(&mut self, now: Duration, object: Option<(StorePosition, LeaseRecord)>) {
        self.is_presence_known = true;
        if let Some((position, record)) = object {
            self.on_seen(now, position, record);
        }
    }

    /// Records that the store had reached `position` by `now`: objects with this position or an earlier one were
    /// written before `now`, even if they are seen later.
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

    /// Earliest time by which the store is known to have reached `position`.
    fn reached_at(&self, position: StorePosition) -> Option<Duration> {
        let mut reached_positions = self.reached_positions.iter();
        let first = reached_positions.find(|(_, known)| *known >= position)?;
        Some(first.0)
    }

    /// Handles an era named by the store. A later era than the known one invalidates the record that was seen; a held
    /// lease stays valid until its term ends, and is written again at once.
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

    /// Records a token that was given out or that another gateway knows.
    pub fn on_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token.min(MAX_TOKEN));
    }

    /// Highest known token; 0 if none is known.
    pub fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Records the object as seen in the store. Of an object with an earlier position only the token is used.
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

    /// Token under which orders may be given at `now`; `None` if this gateway may not give any.
    pub fn token_at(&self, now: Duration) -> Option<u64> {
        let held = self.held.filter(|held| now < held.valid_until)?;
        Some(held.token)
    }

    /// Handles the refusal of an order by a replica that has seen a higher token: the current token must not be used
    /// again.
    pub fn on_fenced(&mut self) {
        self.is_fenced = true;
        self.refusals += 1;
        self.held = None;
    }

    /// Records that there is nothing to order any more.
    pub fn on_idle(&mut self) {
        self.wanted_since = None;
        self.refusals = 0;
    }

    /// Releases the lease. Returns the record that makes it free, and the position that the object must have; `None` if
    /// this gateway does not hold the lease. The gateway must give no more orders.
    pub fn release(&mut self) -> Option<(LeaseRecord, StorePosition)> {
        self.held = None;
        let seen = self
            .seen
            .as_ref()
            .filter(|seen| seen.is_from_read_era() && self.is_own_record(&seen.record))?;
        let record = LeaseRecord {
            holder: String::new(),
            life: 0,
            token: seen.record.token,
            renewal: seen.record.renewal + 1,
            era: self.era,
        };
        Some((record, seen.position))
    }

    /// Clears times that have passed: those of the held lease and of waits.
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

    /// Next step at `now` towards giving orders; `jitter` spreads the attempts of gateways that start at the same time.
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

    /// Handles the answer of a write that lasted from `started_at` to `ended_at`.
    pub fn on_write(
        &mut self,
        record: LeaseRecord,
        started_at: Duration,
        ended_at: Duration,
        answer: WriteAnswer,
    ) {
        match answer {
            // The write took effect in an era other than that of its condition, so it may have replaced another
            // holder's object.
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
                    // The object has been removed, so its record no longer tells who holds the lease.
                    self.free_if_missing_at = ended_at + self.times.term + self.times.handover_gap;
                }
                let backoff = RETRY_BACKOFF.saturating_mul(1 << self.consecutive_failures.min(4));
                self.consecutive_failures += 1;
                self.retry_at = ended_at + backoff;
            }
        }
    }

    fn is_own_record(&self, record: &LeaseRecord) -> bool {
        record.holder == self.machine && record.life == self.incarnation
    }

    /// Whether the object shows that another gateway holds the lease. A late write of an earlier era does not, since
    /// its writer does not count it as acquired. A record without an era does: it was written by a gateway that knows
    /// nothing of eras.
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
                life: self.incarnation,
                token,
                renewal,
                era: self.era,
            },
            expected: seen.map(|seen| seen.position),
        }
    }
}

/// Returns the record of the lease object. A lease that can't be read, or whose token is out of range, counts as held
/// by another gateway, since its writer is unknown.
pub fn lease_record(object: &StoredObject) -> LeaseRecord {
    match &object.content {
        Ok(ObjectContent::Lease(record)) if record.token < MAX_TOKEN => record.clone(),
        _ => LeaseRecord {
            holder: UNKNOWN_HOLDER.to_owned(),
            life: 0,
            token: token_bound(object.position),
            renewal: 0,
            era: object.position.era,
        },
    }
}

/// Holder of a lease that can't be read; no machine has this name.
const UNKNOWN_HOLDER: &str = "?";

/// Backoff after the first failed write; it doubles with each further failure in a row, up to 16 times.
const RETRY_BACKOFF: Duration = Duration::from_millis(60);

/// Maximum number of store positions whose times are kept.
const MAX_REACHED_POSITIONS: usize = 64;
