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
//! - What a quarantined request has ended does not count against others that were open at some of these ends, but at no other
//!   one. Where others were open at the same ends none explains the other: all are quarantined, and tried apart
//!   ([`super::isolated_trials`]).
//!
//! Daemons tell each other their records. Two records of one request merge into the same one, in whatever order and
//! however often they are told: a clearing begins a new generation, which beats the earlier ones.
//!
//! A record with one strike is known only to the daemons that count for its request, and to those that lost an answer.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::Fingerprint;
use super::by_crash::RequestsByCrash;
use super::evidence::Crash;
use super::incarnations::{Incarnations, MIN_RESTART_TIME, PendingStrike, Successor};
use super::record::{Record, Stored, Strike};
use crate::store::StorePosition;

/// For how long after the last strike answers that come whole are looked at whether they clear a request that only
/// its home and this daemon know of. Nothing is hashed after that.
const CLEARING_WINDOW: Duration = Duration::from_secs(60);

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
    TrialDue,
    /// The same, apart from those that were open at the same ends, since this moment.
    IsolatedTrialDue(Duration),
}

/// What a change of a record means for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordUpdate {
    /// It is of no interest to all.
    NotShared,
    /// Every daemon is to know it.
    Shared,
    /// The same; and this daemon has just found that it is to be quarantined.
    Quarantined,
}

/// The records of one daemon. Times are those of [`super::Quarantine::now`].
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) records: HashMap<Fingerprint, Record>,
    pub(super) requests_by_crash: RequestsByCrash,
    /// Those that all daemons are to know, with the digests of their records.
    shared: HashMap<Fingerprint, u64>,
    /// The sum of these digests.
    digest: u64,
    /// Those in quarantine that were tried apart.
    tried_in_isolation: HashSet<Fingerprint>,
    /// Those with which requests are compared before they are sent, and when they end well.
    suspects: HashSet<Fingerprint>,
    last_strike_at: Option<Duration>,
    /// When the last replica ended, as far as any record tells.
    last_crash_at: Option<Duration>,
    /// Replicas that ended, those told of last at the end.
    pub(super) crashes: VecDeque<Crash>,
    incarnations: Incarnations,
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
    pub is_shared: bool,
}

impl Ledger {
    /// Takes in that a replica has ended while the request was open there. Where the run began after the end of the life that is
    /// named, it is the end of a later one: it counts as that one's, as soon as that is known.
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        strike: Strike,
        role: Role,
        now: Duration,
    ) -> RecordUpdate {
        match self.attribute_to_incarnation(strike) {
            Ok(strike) => self.apply_strike(fingerprint, strike, role, now),
            Err(strike) => {
                log::info!(
                    "an end is of a life after {:016x} that was not heard of yet: fingerprint={fingerprint}",
                    strike.replica
                );
                self.incarnations.defer(PendingStrike {
                    fingerprint,
                    strike,
                    role,
                });
                RecordUpdate::NotShared
            }
        }
    }

    /// Takes in that a replica has started again under its id: the life `after` follows `before`. What that means for
    /// requests whose strikes waited for it.
    pub fn note_next_incarnation(
        &mut self,
        before: u64,
        after: u64,
        now: Duration,
    ) -> Vec<(Fingerprint, RecordUpdate)> {
        self.note_successor(before, Successor::Incarnation(after), now)
    }

    /// Takes in that the entry of a life is gone. What that means for requests whose strikes waited for its next life: they
    /// count under the name that was told.
    pub fn note_removed_incarnation(
        &mut self,
        life: u64,
        now: Duration,
    ) -> Vec<(Fingerprint, RecordUpdate)> {
        self.note_successor(life, Successor::Removed, now)
    }

    fn note_successor(
        &mut self,
        before: u64,
        next: Successor,
        now: Duration,
    ) -> Vec<(Fingerprint, RecordUpdate)> {
        let named = self.incarnations.note_successor(before, next).into_iter();
        let struck = named.map(|waiting| {
            let fingerprint = waiting.fingerprint;
            let news = self.strike(fingerprint, waiting.strike, waiting.role, now);
            (fingerprint, news)
        });
        struck.collect()
    }

    /// The strike under the name of the life that it is of; an error where that one was not heard of yet, with the latest one that
    /// was.
    fn attribute_to_incarnation(&self, mut strike: Strike) -> Result<Strike, Strike> {
        while self.is_of_later_incarnation(&strike) {
            match self.incarnations.successor(strike.replica) {
                Some(Successor::Incarnation(successor)) => strike.replica = successor,
                Some(Successor::Removed) => return Ok(strike),
                None => return Err(strike),
            }
        }
        Ok(strike)
    }

    /// Whether the run of a strike began after the life that it names had ended.
    fn is_of_later_incarnation(&self, strike: &Strike) -> bool {
        let ended_at = self.crash_of(strike.replica).map(|end| end.at);
        let alive_at = strike.replica_alive_at();
        ended_at
            .zip(alive_at)
            .is_some_and(|(ended_at, alive_at)| alive_at > ended_at + MIN_RESTART_TIME)
    }

    fn apply_strike(
        &mut self,
        fingerprint: Fingerprint,
        strike: Strike,
        role: Role,
        now: Duration,
    ) -> RecordUpdate {
        self.last_strike_at = self.last_strike_at.max(Some(strike.at));
        self.note_crash(strike);
        let known = self.records.get(&fingerprint);
        let shared = Record {
            generation: known.map_or(0, |known| known.generation),
            strikes: vec![strike],
            ..Record::default()
        };
        self.merge(fingerprint, shared, role, now)
    }

    /// Takes in what another daemon, or the store, says of a request.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        shared: Record,
        role: Role,
        now: Duration,
    ) -> RecordUpdate {
        self.evict_if_full(fingerprint);
        let before = self.records.get(&fingerprint).cloned();
        let before = before.unwrap_or_default();
        let mut record = before.clone();
        record.merge(shared);
        let last = record.strikes.last().map(|strike| strike.at);
        self.last_crash_at = self.last_crash_at.max(last);
        self.mark_coincident(fingerprint, &mut record, now);
        let is_newly_quarantined =
            !record.is_quarantined && self.exceeds_strike_limit(fingerprint, &record, role);
        record.is_quarantined |= is_newly_quarantined;
        let has_changed = record != before;
        let is_shared = record.is_shared() || before.is_shared();
        self.replace(fingerprint, Some(record));
        match (is_newly_quarantined, has_changed && is_shared) {
            (true, _) => RecordUpdate::Quarantined,
            (false, true) => RecordUpdate::Shared,
            (false, false) => RecordUpdate::NotShared,
        }
    }

    /// Takes in that an answer to the request came whole; nothing where nothing was held against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) -> Option<Cleared> {
        let record = self.records.get_mut(&fingerprint)?;
        record.completions = record.completions.saturating_add(1);
        self.release(fingerprint, now)
    }

    /// Takes in that an operator has released the request; nothing where nothing was held against it.
    pub fn release(&mut self, fingerprint: Fingerprint, now: Duration) -> Option<Cleared> {
        let before = self.records.get(&fingerprint)?.clone();
        if before.strikes.is_empty() && !before.is_quarantined {
            return None;
        }
        let is_shared = before.is_shared();
        let after = is_shared.then(|| Record {
            generation: before.generation + 1,
            cleared_at: now,
            completions: before.completions,
            ..Record::default()
        });
        self.replace(fingerprint, after);
        Some(Cleared { before, is_shared })
    }

    /// What is to be done with the request at `now`.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) if record.is_quarantined => {
                let apart = self.isolated_trial_due_at(fingerprint);
                match apart.filter(|from| now >= *from) {
                    Some(from) => Verdict::IsolatedTrialDue(from),
                    None if record.is_trial_due(now) => Verdict::TrialDue,
                    None => Verdict::Quarantined,
                }
            }
            Some(record)
                if record.is_suspect()
                    && !self.is_explained_by_quarantined(fingerprint, record) =>
            {
                Verdict::Suspicious
            }
            _ => Verdict::Clear,
        }
    }

    /// Takes in that the request is tried in quarantine.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trials += 1;
        }
        self.update_indexes(fingerprint);
    }

    /// Takes in that the request is tried apart.
    pub fn begin_isolated_trial(&mut self, fingerprint: Fingerprint, now: Duration) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.isolated_trials += 1;
            record.isolated_trial_at = now;
        }
        self.update_indexes(fingerprint);
    }

    /// Takes in how the store keeps the record.
    pub fn note_stored(&mut self, fingerprint: Fingerprint, stored: Stored) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.stored = record.stored.max(stored);
        }
    }

    /// The record of a request.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// Every record that all daemons are to know.
    pub fn shared_records(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let shared = self.shared.keys();
        shared.filter_map(|fingerprint| Some((*fingerprint, self.records.get(fingerprint)?)))
    }

    /// A digest of [`Ledger::shared_records`]: two daemons with the same one know the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Those that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let known = self.shared_records();
        known.filter(|(_, record)| record.is_quarantined)
    }

    /// Whether a request must be looked up before it is sent: some were open at more than one replica that ended.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether an answer that came whole at `now` may clear a request.
    pub fn may_clear(&self, now: Duration) -> bool {
        let is_lately = |at: Duration| now.saturating_sub(at) < CLEARING_WINDOW;
        self.last_strike_at.is_some_and(is_lately) || self.has_suspects()
    }

    /// Forgets strikes that count no more; those forgotten that the store keeps, with where they are.
    pub fn forget_old(&mut self, now: Duration) -> Vec<(Fingerprint, StorePosition)> {
        let records = self.records.iter();
        let old = records.filter(|(_, record)| !record.is_quarantined && !record.is_recent(now));
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| *fingerprint).collect();
        let mut kept_in_store = Vec::new();
        for fingerprint in old {
            let Some(record) = self.replace(fingerprint, None) else {
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

    /// The quarantined requests that were open at some of the ends that count against this one.
    pub(super) fn rivals(&self, fingerprint: Fingerprint) -> Vec<(Fingerprint, &Record)> {
        let crashes = self.records.get(&fingerprint).into_iter();
        let crashes = crashes.flat_map(|record| &record.strikes);
        let mut rivals: Vec<Fingerprint> = crashes
            .flat_map(|strike| self.requests_by_crash.requests_open_at(strike.replica))
            .filter(|other| **other != fingerprint)
            .copied()
            .collect();
        rivals.sort_unstable();
        rivals.dedup();
        let rivals = rivals.into_iter();
        rivals
            .filter_map(|other| Some((other, self.records.get(&other)?)))
            .filter(|(_, record)| record.is_quarantined)
            .collect()
    }

    /// Those in quarantine that were tried apart, another one than `fingerprint`.
    pub(super) fn isolated_trials_of_others(
        &self,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = &Record> {
        let others = self.tried_in_isolation.iter();
        let others = others.filter(move |other| **other != fingerprint);
        others.filter_map(|other| self.records.get(other))
    }

    /// When the last replica ended that this daemon knows of.
    pub(super) fn last_crash_at(&self) -> Option<Duration> {
        self.last_crash_at
    }

    /// Puts a record in the place of the one before, which it gives back; nothing takes it away.
    fn replace(&mut self, fingerprint: Fingerprint, record: Option<Record>) -> Option<Record> {
        let crashes: &[Strike] = record.as_ref().map_or(&[], |record| &record.strikes);
        self.requests_by_crash.add(fingerprint, crashes);
        let before = match record {
            Some(record) => self.records.insert(fingerprint, record),
            None => self.records.remove(&fingerprint),
        };
        let after = self.records.get(&fingerprint);
        let is_gone = |end: &&Strike| !after.is_some_and(|after| after.has_strike_of(end.replica));
        let gone = before.iter().flat_map(|before| &before.strikes);
        let gone: Vec<Strike> = gone.filter(is_gone).copied().collect();
        self.requests_by_crash.remove(fingerprint, &gone);
        self.update_indexes(fingerprint);
        before
    }

    /// Puts a request among those that all are to know and those that are suspects, or takes it out.
    fn update_indexes(&mut self, fingerprint: Fingerprint) {
        let record = self.records.get(&fingerprint);
        let shared = record.filter(|record| record.is_shared());
        let digest = shared.map(|record| record.digest(fingerprint));
        let is_suspect = record.is_some_and(Record::needs_lookup);
        let is_tried_apart =
            record.is_some_and(|record| record.is_quarantined && record.isolated_trials > 0);
        let before = match digest {
            Some(digest) => self.shared.insert(fingerprint, digest),
            None => self.shared.remove(&fingerprint),
        };
        self.digest = self
            .digest
            .wrapping_sub(before.unwrap_or(0))
            .wrapping_add(digest.unwrap_or(0));
        match is_suspect {
            true => self.suspects.insert(fingerprint),
            false => self.suspects.remove(&fingerprint),
        };
        match is_tried_apart {
            true => self.tried_in_isolation.insert(fingerprint),
            false => self.tried_in_isolation.remove(&fingerprint),
        };
    }

    /// Drops the record that matters least where there are too many: the oldest one that is not quarantined, else the
    /// oldest one.
    fn evict_if_full(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            return;
        }
        let importance = |record: &Record| (record.is_quarantined, record.last_event_at());
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| importance(record));
        if let Some(least) = least.map(|(least, _)| *least) {
            self.replace(least, None);
        }
    }
}
