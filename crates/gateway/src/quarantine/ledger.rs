//! What is known of requests that were open at replicas as these ended.
//!
//! A replica that ends takes all that it ran with it, so one end proves nothing: it is a *strike* against each request
//! that was open there. A request with three strikes is quarantined: no replica gets it any more. An ordinary request
//! does not come so far:
//!
//! - An answer that came whole clears it, since its replica has survived it. A request that many callers send is open at many
//!   replicas at once, and ends well at some all the time.
//! - Replicas that end together count as two at the most, and as half of one if the request was not open at all of them: a crash
//!   of many is not the work of one request. Half of one still counts, since two such requests may come at the same moment.
//! - What a quarantined request has ended does not count against others.
//!
//! Daemons tell each other their records. Two records of one request merge into the same one, in whatever order and
//! however often they are told: a clearing begins a new generation, which beats the earlier ones.
//!
//! A record with one strike is known only to the daemons that count for its request, and to those that lost an answer.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::Fingerprint;
use super::record::{ONE_CRASH, Record, Stored, Strike, WEIGHT};
use crate::store::StorePosition;

/// Strikes after which a request is quarantined. The operator allows three ends, and three more sends.
pub const MAX_STRIKES: usize = 3;

/// The same at a daemon that does not count for the request, and hears of few of the replicas that ended besides. It
/// matters to one that the others can't reach.
const MAX_STRIKES_ELSEWHERE: usize = 5;

/// How long after the end of a replica it is known which others ended with it: within that time every daemon that was not
/// frozen has told.
const SETTLED: Duration = Duration::from_millis(300);

/// Ends of replicas that are remembered, to know which ended together: 16 bytes each, four crashes of a seventh of 3,000
/// replicas.
const MAX_ENDS: usize = 2048;

/// For how long after the last strike answers that come whole are looked at whether they clear a request that only
/// its home and this daemon know of. Nothing is hashed after that.
const CLEARING: Duration = Duration::from_secs(60);

/// Forgotten records that are remembered, about 100 bytes each: more than are forgotten in the seconds by which a copy of
/// the store is old, since each was struck by two ends of replicas.
const MAX_FORGOTTEN: usize = 256;

/// Records that are kept, about 100 bytes each; quarantined ones go last.
const MAX_RECORDS: usize = 2048;

/// What is to be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is a request like any other.
    Clear,
    /// One more end, and it is quarantined: it is not sent a second time within one try.
    Suspicious,
    /// It goes to no replica.
    Quarantined,
    /// It is in quarantine, and due to be tried.
    Due,
}

/// What a change of a record means for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// It is of no interest to all.
    Nothing,
    /// Every daemon is to know it.
    Changed,
    /// The same; and this daemon has just found that it is to be quarantined.
    Quarantined,
}

/// The records of one daemon. Times are those of [`super::Quarantine::now`].
#[derive(Debug, Default)]
pub struct Ledger {
    records: HashMap<Fingerprint, Record>,
    /// Those that all daemons are to know, with the digests of their records.
    told: HashMap<Fingerprint, u64>,
    /// The sum of these digests.
    digest: u64,
    /// Those with which requests are compared before they are sent, and when they end well.
    suspects: HashSet<Fingerprint>,
    last_strike: Option<Duration>,
    /// Replicas that ended, and when, the latest last.
    ends: VecDeque<(u64, Duration)>,
    /// Those that were forgotten lately though the store kept them, with the replicas that their strikes named.
    forgotten: VecDeque<(Fingerprint, Vec<u64>)>,
}

/// How a daemon judges a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It counts for the request: strikes of all daemons come to it.
    Home,
    /// It does not.
    Other,
}

/// What was cleared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cleared {
    /// Its record before.
    pub before: Record,
    /// Whether every daemon is to know it; else those that count for the request.
    pub is_for_all: bool,
}

impl Ledger {
    /// Takes in that a replica has ended while the request was open there.
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        strike: Strike,
        role: Role,
        now: Duration,
    ) -> News {
        self.last_strike = self.last_strike.max(Some(strike.at));
        self.note_end(strike);
        let known = self.records.get(&fingerprint);
        let told = Record {
            generation: known.map_or(0, |known| known.generation),
            strikes: vec![strike],
            ..Record::default()
        };
        self.merge(fingerprint, told, role, now)
    }

    /// Takes in what another daemon, or the store, says of a request.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        mut told: Record,
        role: Role,
        now: Duration,
    ) -> News {
        self.void_explained(fingerprint, &mut told);
        self.make_room(fingerprint);
        let mut record = self.records.remove(&fingerprint).unwrap_or_default();
        let before = record.clone();
        record.merge(told);
        self.settle(&mut record, now);
        let is_found_here = !record.is_quarantined && self.is_guilty(&record, role);
        record.is_quarantined |= is_found_here;
        let has_changed = record != before;
        let is_for_all = record.is_known_to_all() || before.is_known_to_all();
        let is_quarantined_now = record.is_quarantined && !before.is_quarantined;
        self.records.insert(fingerprint, record);
        self.index(fingerprint);
        if is_quarantined_now {
            self.explain(fingerprint);
        }
        match (is_found_here, has_changed && is_for_all) {
            (true, _) => News::Quarantined,
            (false, true) => News::Changed,
            (false, false) => News::Nothing,
        }
    }

    /// Takes in that an answer to the request came whole, or that an operator has released it; nothing where nothing was
    /// held against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) -> Option<Cleared> {
        let record = self.records.get_mut(&fingerprint)?;
        if record.strikes.is_empty() && !record.is_quarantined {
            return None;
        }
        let before = record.clone();
        let is_for_all = before.is_known_to_all();
        match is_for_all {
            true => {
                *record = Record {
                    generation: before.generation + 1,
                    cleared_at: now,
                    ..Record::default()
                }
            }
            false => drop(self.records.remove(&fingerprint)),
        }
        self.index(fingerprint);
        Some(Cleared { before, is_for_all })
    }

    /// What is to be done with the request at `now`.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) if record.is_quarantined => match record.is_due(now) {
                true => Verdict::Due,
                false => Verdict::Quarantined,
            },
            Some(record) if record.is_suspect() => Verdict::Suspicious,
            _ => Verdict::Clear,
        }
    }

    /// Takes in that the request is tried in quarantine.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trials += 1;
        }
        self.index(fingerprint);
    }

    /// Takes in how the store keeps the record.
    pub fn note_stored(
        &mut self,
        fingerprint: Fingerprint,
        position: StorePosition,
        is_quarantined: bool,
    ) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            let stored = Stored {
                position: Some(position),
                is_quarantined,
            };
            record.stored = record.stored.max(stored);
        }
    }

    /// The record of a request.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// Every record that all daemons are to know.
    pub fn known_to_all(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let told = self.told.keys();
        told.filter_map(|fingerprint| Some((*fingerprint, self.records.get(fingerprint)?)))
    }

    /// A digest of [`Ledger::known_to_all`]: two daemons with the same one know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Those that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let known = self.known_to_all();
        known.filter(|(_, record)| record.is_quarantined)
    }

    /// Whether a request must be looked up before it is sent: some were open at more than one replica that ended.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether an answer that came whole at `now` may clear a request.
    pub fn may_clear(&self, now: Duration) -> bool {
        let is_lately = |at: Duration| now.saturating_sub(at) < CLEARING;
        self.last_strike.is_some_and(is_lately) || self.has_suspects()
    }

    /// Forgets strikes that count no more; those forgotten that the store keeps, with where they are.
    pub fn forget_old(&mut self, now: Duration) -> Vec<(Fingerprint, StorePosition)> {
        let records = self.records.iter();
        let old = records.filter(|(_, record)| !record.is_quarantined && !record.is_recent(now));
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| *fingerprint).collect();
        let mut kept_in_store = Vec::new();
        for fingerprint in old {
            let record = self.records.remove(&fingerprint);
            self.index(fingerprint);
            let Some(record) = record else {
                continue;
            };
            if let Some(position) = record.stored.position {
                kept_in_store.push((fingerprint, position));
                self.note_forgotten(fingerprint, &record);
            }
        }
        kept_in_store
    }

    fn note_forgotten(&mut self, fingerprint: Fingerprint, record: &Record) {
        let replicas = record.strikes.iter().map(|strike| strike.replica);
        let replicas: Vec<u64> = replicas.collect();
        self.forgotten.push_back((fingerprint, replicas));
        if self.forgotten.len() > MAX_FORGOTTEN {
            self.forgotten.pop_front();
        }
    }

    /// Whether a record that names these replicas was forgotten lately, so that an object that says so is one which came
    /// back with a copy of the store.
    pub fn has_forgotten(&self, fingerprint: Fingerprint, replicas: &[u64]) -> bool {
        let mut forgotten = self.forgotten.iter();
        forgotten.any(|(known, known_replicas)| {
            *known == fingerprint
                && replicas
                    .iter()
                    .all(|replica| known_replicas.contains(replica))
        })
    }

    /// Remembers the end of a replica.
    fn note_end(&mut self, strike: Strike) {
        if self.ends.iter().any(|(known, _)| *known == strike.replica) {
            return;
        }
        self.ends.push_back((strike.replica, strike.at));
        if self.ends.len() > MAX_ENDS {
            self.ends.pop_front();
        }
    }

    /// Whether other replicas ended with that of a strike, where the request was not open.
    fn coincides(&self, record: &Record, strike: &Strike) -> bool {
        let is_together = |at: Duration| strike.at.abs_diff(at) < ONE_CRASH;
        let mut ends = self.ends.iter();
        strike.is_coincident
            || ends.any(|(replica, at)| is_together(*at) && !record.has_ended(*replica))
    }

    /// Notes for good which strikes coincide with other ends, once that is known.
    fn settle(&self, record: &mut Record, now: Duration) {
        let is_settled = |strike: &Strike| now.saturating_sub(strike.at) >= SETTLED;
        let coincident = record.strikes.iter().map(|strike| {
            strike.is_coincident || is_settled(strike) && self.coincides(record, strike)
        });
        let coincident: Vec<bool> = coincident.collect();
        for (strike, is_coincident) in record.strikes.iter_mut().zip(coincident) {
            strike.is_coincident = is_coincident;
        }
    }

    /// Whether so many strikes count against a request that it is quarantined.
    fn is_guilty(&self, record: &Record, role: Role) -> bool {
        let limit = match role {
            Role::Home => MAX_STRIKES,
            Role::Other => MAX_STRIKES_ELSEWHERE,
        };
        record.weight(|strike| self.coincides(record, strike)) >= limit * WEIGHT
    }

    /// Drops strikes that a quarantined request explains from what is told of another one.
    fn void_explained(&self, fingerprint: Fingerprint, told: &mut Record) {
        if told.is_quarantined {
            return;
        }
        for (other, record) in self.quarantined() {
            if other != fingerprint {
                told.strikes
                    .retain(|strike| !record.has_ended(strike.replica));
            }
        }
    }

    /// Drops the strikes of others that a request explains which is quarantined now.
    fn explain(&mut self, fingerprint: Fingerprint) {
        let Some(explaining) = self.records.get(&fingerprint).cloned() else {
            return;
        };
        let mut explained = Vec::new();
        for (other, record) in &mut self.records {
            if *other == fingerprint || record.is_quarantined {
                continue;
            }
            let before = record.strikes.len();
            record
                .strikes
                .retain(|strike| !explaining.has_ended(strike.replica));
            if record.strikes.len() != before {
                explained.push(*other);
            }
        }
        for other in explained {
            self.index(other);
        }
    }

    /// Puts a request among those that all are to know and those that are suspects, or takes it out.
    fn index(&mut self, fingerprint: Fingerprint) {
        let record = self.records.get(&fingerprint);
        let told = record.filter(|record| record.is_known_to_all());
        let digest = told.map(|record| record.digest(fingerprint));
        let is_suspect = record.is_some_and(Record::is_to_be_compared);
        let before = match digest {
            Some(digest) => self.told.insert(fingerprint, digest),
            None => self.told.remove(&fingerprint),
        };
        self.digest = self
            .digest
            .wrapping_sub(before.unwrap_or(0))
            .wrapping_add(digest.unwrap_or(0));
        match is_suspect {
            true => self.suspects.insert(fingerprint),
            false => self.suspects.remove(&fingerprint),
        };
    }

    /// Drops the record that matters least where there are too many: the oldest one that is not quarantined, else the
    /// oldest one.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            return;
        }
        let importance = |record: &Record| (record.is_quarantined, record.last_at());
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| importance(record));
        if let Some(least) = least.map(|(least, _)| *least) {
            self.records.remove(&least);
            self.index(least);
        }
    }
}
