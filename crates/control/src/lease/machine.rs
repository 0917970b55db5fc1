//! The state machine of one candidate for one lease.

use std::time::Duration;

use driftspring_types::{FencingToken, Revision};

use super::record::{LeaseHolder, LeaseRecord};

/// The times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a holder may act after it began its last successful write.
    pub term: Duration,
    /// Time between the beginnings of two renewals.
    pub renewal_interval: Duration,
    /// Time between two reads of a candidate.
    pub read_interval: Duration,
    /// The pause after a call that failed.
    pub retry_pause: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(5),
            renewal_interval: Duration::from_millis(1500),
            read_interval: Duration::from_secs(1),
            retry_pause: Duration::from_millis(300),
        }
    }
}

/// The share of a term that a candidate waits longer, for clocks that run at different rates.
const CLOCK_RATE_MARGIN: f64 = 0.1;

/// What the candidate does next. Times are of the candidate's monotonic clock, since any fixed moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing until this time.
    Wait(Duration),
    /// Read the lease object; then [`LeaseMachine::on_read`].
    Read,
    /// Write the lease object; then [`LeaseMachine::on_write`].
    Write(LeaseWrite),
}

/// A conditional write of the lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The revision that the object must have.
    pub expected: Revision,
    /// The record to write.
    pub record: LeaseRecord,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// It took effect at this revision.
    Accepted(Revision),
    /// It had no effect and never will; the object is this now, where it exists and can be read.
    Refused(Option<(Revision, LeaseRecord)>),
    /// It had no effect, or may have, or may yet.
    Unknown,
}

/// One candidate for one lease. Its caller carries out one step at a time.
#[derive(Debug, Clone)]
pub struct LeaseMachine {
    own: LeaseHolder,
    settings: LeaseSettings,
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
    next_call_at: Duration,
    gives_back: bool,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    token: FencingToken,
    revision: Revision,
    valid_until: Duration,
}

/// The object as last read.
#[derive(Debug, Clone)]
struct SeenLease {
    revision: Revision,
    record: Option<LeaseRecord>,
    /// The end of the read that first showed this revision.
    first_seen: Duration,
    /// Whether the object was read since the last step that used it.
    is_fresh: bool,
}

impl LeaseMachine {
    /// A candidate that knows nothing yet.
    pub fn new(own: LeaseHolder, settings: LeaseSettings) -> Self {
        Self {
            own,
            settings,
            held: None,
            seen: None,
            next_call_at: Duration::ZERO,
            gives_back: false,
        }
    }

    /// The token under which this daemon may act at `now`; nothing where it does not hold the lease, or
    /// its term is over. To be asked right before each order.
    pub fn token_at(&self, now: Duration) -> Option<FencingToken> {
        let held = self.held.filter(|held| now < held.valid_until)?;
        Some(held.token)
    }

    /// The token of a lease that was held and is not known to be lost, whether or not its term is over.
    pub fn last_token(&self) -> Option<FencingToken> {
        self.held.map(|held| held.token)
    }

    /// Gives the lease back as soon as possible, and acquires it no more.
    pub fn give_back(&mut self) {
        self.gives_back = true;
        self.next_call_at = Duration::ZERO;
    }

    /// The next step at `now`.
    pub fn next(&mut self, now: Duration) -> LeaseStep {
        if now < self.next_call_at {
            return LeaseStep::Wait(self.next_call_at);
        }
        if let Some(held) = self.held {
            return LeaseStep::Write(self.write_of_holder(held));
        }
        if self.gives_back {
            return LeaseStep::Wait(Duration::MAX);
        }
        let Some(seen) = self.seen.as_mut().filter(|seen| seen.is_fresh) else {
            return LeaseStep::Read;
        };
        seen.is_fresh = false;
        let seen = seen.clone();
        self.next_call_at = now + self.settings.read_interval;
        match self.write_of_candidate(now, seen) {
            Some(write) => LeaseStep::Write(write),
            None => LeaseStep::Wait(self.next_call_at),
        }
    }

    /// Takes in the object as read; `ended` is the time after the read.
    pub fn on_read(&mut self, ended: Duration, object: Option<(Revision, LeaseRecord)>) {
        let (revision, record) = match object {
            Some((revision, record)) => (revision, Some(record)),
            None => (Revision(0), None),
        };
        let known = self.seen.as_ref().filter(|seen| seen.revision == revision);
        self.seen = Some(SeenLease {
            revision,
            record,
            first_seen: known.map_or(ended, |seen| seen.first_seen),
            is_fresh: true,
        });
        self.next_call_at = ended;
    }

    /// A read failed.
    pub fn on_read_failed(&mut self, ended: Duration) {
        self.next_call_at = ended + self.settings.retry_pause;
    }

    /// Takes in what became of `write`, which began at `began` and ended at `ended`.
    pub fn on_write(
        &mut self,
        write: &LeaseWrite,
        began: Duration,
        ended: Duration,
        answer: LeaseAnswer,
    ) {
        match answer {
            LeaseAnswer::Accepted(revision) => self.accepted(write, began, revision),
            LeaseAnswer::Refused(current) => self.refused(ended, current),
            LeaseAnswer::Unknown => {
                // What is held stays held until its term is over: if the write took effect it was our own.
                self.seen = None;
                self.next_call_at = ended + self.settings.retry_pause;
            }
        }
    }

    fn accepted(&mut self, write: &LeaseWrite, began: Duration, revision: Revision) {
        self.seen = None;
        if write.record.holder.is_none() {
            self.held = None;
            return;
        }
        self.held = Some(HeldLease {
            token: write.record.token_at(revision),
            revision,
            valid_until: began + self.settings.term,
        });
        self.next_call_at = began + self.settings.renewal_interval;
    }

    fn refused(&mut self, ended: Duration, current: Option<(Revision, LeaseRecord)>) {
        let held = self.held.take();
        let Some((revision, record)) = current else {
            self.seen = None;
            self.next_call_at = ended;
            return;
        };
        let is_same_lease = |held: &HeldLease| {
            record.holder.as_ref() == Some(&self.own) && record.token_at(revision) == held.token
        };
        // An earlier renewal took effect though its answer was lost: renew on top of it.
        self.held = held
            .filter(is_same_lease)
            .map(|held| HeldLease { revision, ..held });
        self.on_read(ended, Some((revision, record)));
    }

    fn write_of_holder(&self, held: HeldLease) -> LeaseWrite {
        let (holder, token) = match self.gives_back {
            true => (None, None),
            false => (Some(self.own.clone()), Some(held.token)),
        };
        self.write(held.revision, holder, token)
    }

    /// The write that makes a candidate the holder, where the object read just now allows one.
    fn write_of_candidate(&self, now: Duration, seen: SeenLease) -> Option<LeaseWrite> {
        let own = Some(self.own.clone());
        let Some(record) = seen.record else {
            return Some(self.write(seen.revision, own, None));
        };
        if record.holder == own {
            // Acquired by a write whose answer was lost. It may be old, so it counts from a renewal on.
            let token = record.token_at(seen.revision);
            return Some(self.write(seen.revision, own, Some(token)));
        }
        let waits_until = seen.first_seen + record.term().mul_f64(1.0 + CLOCK_RATE_MARGIN);
        let is_free = record.holder.is_none() || now >= waits_until;
        is_free.then(|| self.write(seen.revision, own, None))
    }

    fn write(
        &self,
        expected: Revision,
        holder: Option<LeaseHolder>,
        fencing_token: Option<FencingToken>,
    ) -> LeaseWrite {
        let term_ms = u64::try_from(self.settings.term.as_millis()).unwrap_or(u64::MAX);
        LeaseWrite {
            expected,
            record: LeaseRecord {
                holder,
                fencing_token,
                term_ms,
            },
        }
    }
}
