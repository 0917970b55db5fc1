//! The lease under which one daemon gives orders to replicas.
//!
//! Unlike the lease of the daemon's other tasks it is taken only while there is something to order: an
//! idle one costs no call. It is an object in the store, changed on condition of its revision. A holder
//! may give orders until [`LeaseTimes::term`] after it *began* the write that gave it the lease. Another
//! daemon may take it once it has seen the object unchanged for the term and a further
//! [`LeaseTimes::distance`], so that orders of two holders lie at least the distance apart, whatever
//! became of messages. Tokens rise by one with each acquisition, so none is used twice.
//!
//! A process that was started again takes up the lease of the process before it, under the next token and
//! without a wait: a machine runs one gateway at a time, so the earlier one has ended and gives no more orders.
//!
//! Times are of one steady clock, as durations since any fixed moment.

use std::collections::VecDeque;
use std::time::Duration;

use crate::protocol::{LeaseRecord, ObjectContent, StoredObject, WriteAnswer};
use crate::store::StorePosition;

/// The times of the lease; all daemons must have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long a holder may give orders after it began its last successful write.
    pub term: Duration,
    /// How far orders of two holders must lie apart.
    pub distance: Duration,
    /// How long after a successful write the next renewal begins.
    pub renewal: Duration,
    /// How long the last holder is waited for, although others could take the lease.
    pub deference: Duration,
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
#[derive(Debug, Clone)]
struct Seen {
    position: StorePosition,
    record: LeaseRecord,
    first_seen: Duration,
}

/// What a daemon knows of the lease.
#[derive(Debug)]
pub struct OrderLease {
    machine: String,
    life: u64,
    times: LeaseTimes,
    seen: Option<Seen>,
    is_informed: bool,
    valid_until: Option<Duration>,
    renew_at: Duration,
    wanted_since: Option<Duration>,
    retry_at: Duration,
    is_fenced: bool,
    failures_in_row: u32,
    reached: VecDeque<(Duration, StorePosition)>,
}

impl OrderLease {
    /// What a process on `machine` knows that knows nothing of the lease yet; `life` tells it from others there.
    pub fn new(machine: &str, life: u64, times: LeaseTimes) -> Self {
        Self {
            machine: machine.to_owned(),
            life,
            times,
            seen: None,
            is_informed: false,
            valid_until: None,
            renew_at: Duration::ZERO,
            wanted_since: None,
            retry_at: Duration::ZERO,
            is_fenced: false,
            failures_in_row: 0,
            reached: VecDeque::new(),
        }
    }

    /// Takes in that the object, or its absence, was read from the store.
    pub fn on_list(&mut self, now: Duration, object: Option<(StorePosition, LeaseRecord)>) {
        self.is_informed = true;
        if let Some((position, record)) = object {
            self.on_seen(now, position, record);
        }
    }

    /// Takes in that the store had reached `position` by `now`: whatever has it or an earlier one was written
    /// before, even if it is seen later.
    pub fn on_store_position(&mut self, now: Duration, position: StorePosition) {
        let is_news = self
            .reached
            .back()
            .is_none_or(|(_, known)| *known < position);
        if is_news {
            self.reached.push_back((now, position));
        }
        while self.reached.len() > REMEMBERED_POSITIONS {
            self.reached.pop_front();
        }
    }

    /// The earliest time by which the store is known to have reached `position`.
    fn reached_at(&self, position: StorePosition) -> Option<Duration> {
        let mut reached = self.reached.iter();
        let first = reached.find(|(_, known)| *known >= position)?;
        Some(first.0)
    }

    /// Takes in the object as seen; earlier positions are ignored.
    pub fn on_seen(&mut self, now: Duration, position: StorePosition, record: LeaseRecord) {
        let is_older = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.position >= position);
        if is_older {
            return;
        }
        if !self.is_own(&record) {
            self.valid_until = None;
        }
        let reached_at = self.reached_at(position);
        self.seen = Some(Seen {
            position,
            record,
            first_seen: reached_at.map_or(now, |reached_at| reached_at.min(now)),
        });
    }

    /// The object as last seen, with its position.
    pub fn seen(&self) -> Option<(StorePosition, &LeaseRecord)> {
        let seen = self.seen.as_ref()?;
        Some((seen.position, &seen.record))
    }

    /// The token under which an order may be given at `now`.
    pub fn token_at(&self, now: Duration) -> Option<u64> {
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        let seen = self.seen.as_ref().filter(|_| is_valid && !self.is_fenced)?;
        Some(seen.record.token)
    }

    /// A replica has seen a higher token: this one may not be used again.
    pub fn on_fenced(&mut self) {
        self.is_fenced = true;
        self.valid_until = None;
    }

    /// There is nothing to order any more.
    pub fn rest(&mut self) {
        self.wanted_since = None;
    }

    /// The record that gives the lease back, with the position that the object must have; nothing where this
    /// daemon does not hold it. It must give no order from now on.
    pub fn give_back(&mut self) -> Option<(LeaseRecord, StorePosition)> {
        self.valid_until = None;
        let seen = self
            .seen
            .as_ref()
            .filter(|seen| self.is_own(&seen.record))?;
        let record = LeaseRecord {
            holder: String::new(),
            life: 0,
            token: seen.record.token,
            renewal: seen.record.renewal + 1,
        };
        Some((record, seen.position))
    }

    /// What to do at `now` in order to give orders; `jitter` sets daemons apart that begin together.
    pub fn next(&mut self, now: Duration, jitter: Duration) -> LeaseAction {
        let wanted_since = *self.wanted_since.get_or_insert(now);
        if let Some(token) = self.token_at(now)
            && now < self.renew_at
        {
            return LeaseAction::Hold(token);
        }
        if !self.is_informed {
            return LeaseAction::Wait(self.times.deference);
        }
        if now < self.retry_at {
            return LeaseAction::Wait(self.retry_at - now);
        }
        let Some(seen) = &self.seen else {
            return self.after_wait(wanted_since + jitter, now, None);
        };
        if self.is_own(&seen.record) {
            return self.write(Some(seen.clone()), self.is_fenced);
        }
        if seen.record.holder == self.machine {
            return self.write(Some(seen.clone()), true);
        }
        let (term, deference) = match seen.record.holder.is_empty() {
            true => (Duration::ZERO, Duration::ZERO),
            false => (self.times.term, self.times.deference),
        };
        let free_at = seen.first_seen + term + self.times.distance;
        let polite_at = wanted_since + deference + jitter;
        let seen = seen.clone();
        self.after_wait(free_at.max(polite_at), now, Some(seen))
    }

    /// Takes in what became of a write that began at `began` and ended at `ended`.
    pub fn on_write(
        &mut self,
        record: LeaseRecord,
        began: Duration,
        ended: Duration,
        answer: WriteAnswer,
    ) {
        match answer {
            WriteAnswer::Accepted(position) => {
                self.is_fenced = false;
                self.failures_in_row = 0;
                self.valid_until = Some(began + self.times.term);
                self.renew_at = began + self.times.renewal;
                self.seen = Some(Seen {
                    position,
                    record,
                    first_seen: ended,
                });
            }
            WriteAnswer::Conflict(Some(object)) => {
                self.on_seen(ended, object.position, record_in(&object));
                self.retry_at = ended + RETRY_PAUSE;
            }
            WriteAnswer::Conflict(None) | WriteAnswer::Busy | WriteAnswer::Unknown => {
                let pause = RETRY_PAUSE.saturating_mul(1 << self.failures_in_row.min(4));
                self.failures_in_row += 1;
                self.retry_at = ended + pause;
            }
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.machine && record.life == self.life
    }

    fn after_wait(&self, at: Duration, now: Duration, seen: Option<Seen>) -> LeaseAction {
        match now < at {
            true => LeaseAction::Wait(at - now),
            false => self.write(seen, true),
        }
    }

    fn write(&self, seen: Option<Seen>, raises_token: bool) -> LeaseAction {
        let (token, renewal) = match &seen {
            Some(seen) if raises_token => (seen.record.token + 1, 0),
            Some(seen) => (seen.record.token, seen.record.renewal + 1),
            None => (1, 0),
        };
        LeaseAction::Write {
            record: LeaseRecord {
                holder: self.machine.clone(),
                life: self.life,
                token,
                renewal,
            },
            expected: seen.map(|seen| seen.position),
        }
    }
}

/// The record in the lease's object. One that can't be read counts as held by another: nobody knows who wrote it. No token
/// so far is higher than its revision, since each was given by a write, so the next one is higher than all of them.
pub fn record_in(object: &StoredObject) -> LeaseRecord {
    match &object.content {
        Ok(ObjectContent::Lease(record)) => record.clone(),
        _ => LeaseRecord {
            holder: UNKNOWN_HOLDER.to_owned(),
            life: 0,
            token: object.position.revision,
            renewal: 0,
        },
    }
}

/// Who holds a lease that can't be read; no machine has this name.
const UNKNOWN_HOLDER: &str = "?";

/// The pause after the first write that failed; each further one in a row twice as long, up to 16 times.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Positions of the store whose time is remembered.
const REMEMBERED_POSITIONS: usize = 64;
