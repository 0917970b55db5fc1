//! The records of requests that were open at replicas when these crashed.
//!
//! A crash loses everything that ran at the replica, so one crash proves nothing: it is a *strike* against
//! each request that was open there. A request with three strikes is quarantined: it is sent to no replica
//! any more. An ordinary request does not get that far:
//!
//! - A completed answer clears it, since its replica has survived it. A request that many callers send is
//!   open at many replicas at once, and keeps completing at some of them.
//! - Replicas that crash together count as two at most, and as half of one if the request was not open at all
//!   of them: a crash of many replicas is not the work of one request. Half of one still counts, since two
//!   requests that crash replicas may arrive at the same moment.
//! - Crashes caused by a quarantined request do not count against others that were open at some of them and
//!   at no other crash. If others were open at the same crashes, none explains the other: all are
//!   quarantined, and tried in isolation ([`super::isolated_trials`]).
//!
//! Gateways exchange their records. Two records of one request merge into the same result, in whatever order
//! and however often they arrive: clearing a request starts a new generation, which supersedes the earlier
//! ones.
//!
//! Parts of prompts are judged by the same rules: a crash is a strike against the shared parts of all requests that
//! were open there, and a completed answer clears its parts. A part whose crashes are all those of one quarantined
//! request is not held: that request is the narrower explanation.
//!
//! A record with one strike is known only to the request's home gateways and to those that lost an answer.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::Fingerprint;
use super::by_crash::RequestsByCrash;
use super::evidence::Crash;
use super::incarnations::{Incarnations, MIN_RESTART_TIME, PendingStrike, Successor};
use super::record::{Record, Stored, Strike};
use crate::store::StorePosition;

/// How long after the last strike a completed answer is checked for whether it clears a request that only
/// this gateway and the home gateways know of. After that no request is hashed.
const CLEARING_WINDOW: Duration = Duration::from_secs(60);

/// The maximum number of forgotten records remembered, about 100 bytes each. This is more than are forgotten
/// during the seconds by which a store backup is out of date, since each record had strikes from two crashes.
const MAX_FORGOTTEN: usize = 256;

/// The maximum number of records, about 100 bytes each; quarantined ones are evicted last.
const MAX_RECORDS: usize = 2048;

/// How to treat a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it like any other request.
    Clear,
    /// One more strike quarantines it: send it only once per attempt of the caller.
    Suspicious,
    /// Send it to no replica.
    Quarantined,
    /// It is quarantined, and due for a trial.
    TrialDue,
    /// It is quarantined, and due since this time for a trial in isolation from those with the same crashes.
    IsolatedTrialDue(Duration),
}

/// What a change of a record means for other gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordUpdate {
    /// It does not concern all gateways.
    NotShared,
    /// Every gateway has to know it.
    Shared,
    /// Every gateway has to know it, and this gateway has just decided to quarantine the request.
    Quarantined,
}

/// The records of one gateway. Times are those of [`super::Quarantine::now`].
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) records: HashMap<Fingerprint, Record>,
    pub(super) requests_by_crash: RequestsByCrash,
    /// The records that all gateways have to know, with their digests.
    shared: HashMap<Fingerprint, u64>,
    /// The sum of the digests in `shared`.
    digest: u64,
    /// Quarantined requests that were tried in isolation.
    tried_in_isolation: HashSet<Fingerprint>,
    /// Requests to look up before a request is sent and when an answer completes.
    suspects: HashSet<Fingerprint>,
    last_strike_at: Option<Duration>,
    /// When a replica last crashed, according to the records.
    last_crash_at: Option<Duration>,
    /// Crashes of replicas in order of arrival.
    pub(super) crashes: VecDeque<Crash>,
    incarnations: Incarnations,
    /// Records that were forgotten recently although the store kept them, with the replicas of their strikes.
    forgotten: VecDeque<(Fingerprint, Vec<u64>)>,
}

/// How a gateway judges a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It is a home gateway of the request: all gateways report strikes to it.
    Home,
    /// It is not.
    Other,
}

/// The result of clearing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cleared {
    /// The previous record.
    pub before: Record,
    /// Whether every gateway has to know it; otherwise only the home gateways do.
    pub is_shared: bool,
}

impl Ledger {
    /// Records that a replica crashed while the request was open there. If the run started after the crash of
    /// the named incarnation, the strike belongs to a later incarnation, and counts as soon as that one is
    /// known.
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
                    "deferring a strike: its replica restarted after incarnation {:016x}, and the next one is not known yet: fingerprint={fingerprint}",
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

    /// Records that a replica has restarted under its id: incarnation `after` follows `before`. Returns the
    /// updates of requests whose strikes waited for it.
    pub fn note_next_incarnation(
        &mut self,
        before: u64,
        after: u64,
        now: Duration,
    ) -> Vec<(Fingerprint, RecordUpdate)> {
        self.note_successor(before, Successor::Incarnation(after), now)
    }

    /// Records that the entry of an incarnation is gone. Returns the updates of requests whose strikes waited
    /// for its successor; these strikes count under the incarnation that was reported.
    pub fn note_removed_incarnation(
        &mut self,
        incarnation: u64,
        now: Duration,
    ) -> Vec<(Fingerprint, RecordUpdate)> {
        self.note_successor(incarnation, Successor::Removed, now)
    }

    fn note_successor(
        &mut self,
        before: u64,
        next: Successor,
        now: Duration,
    ) -> Vec<(Fingerprint, RecordUpdate)> {
        let attributed = self.incarnations.note_successor(before, next).into_iter();
        let updates = attributed.map(|pending| {
            let fingerprint = pending.fingerprint;
            let update = self.strike(fingerprint, pending.strike, pending.role, now);
            (fingerprint, update)
        });
        updates.collect()
    }

    /// Attributes a strike to the right incarnation. The error is the strike under the latest known
    /// incarnation, if the right one is not known yet.
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

    /// Whether the run of a strike started after the crash of the incarnation that it names.
    fn is_of_later_incarnation(&self, strike: &Strike) -> bool {
        let crashed_at = self.crash_of(strike.replica).map(|crash| crash.at);
        let alive_at = strike.replica_alive_at();
        crashed_at
            .zip(alive_at)
            .is_some_and(|(crashed_at, alive_at)| alive_at > crashed_at + MIN_RESTART_TIME)
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
        let reported = Record {
            generation: known.map_or(0, |known| known.generation),
            strikes: vec![strike],
            ..Record::default()
        };
        self.merge(fingerprint, reported, role, now)
    }

    /// Merges a record from another gateway or from the store.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        reported: Record,
        role: Role,
        now: Duration,
    ) -> RecordUpdate {
        self.evict_if_full(fingerprint);
        let before = self.records.get(&fingerprint).cloned();
        let before = before.unwrap_or_default();
        let mut record = before.clone();
        record.merge(reported);
        let last = record.strikes.last().map(|strike| strike.at);
        self.last_crash_at = self.last_crash_at.max(last);
        self.mark_coincident(fingerprint, &mut record, now);
        let is_newly_quarantined =
            !record.is_quarantined && self.reaches_strike_limit(fingerprint, &record, role);
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

    /// Records that an answer to the request completed; returns `None` if nothing counted against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) -> Option<Cleared> {
        let record = self.records.get_mut(&fingerprint)?;
        record.completions = record.completions.saturating_add(1);
        self.release(fingerprint, now)
    }

    /// Records that an operator released the request; returns `None` if nothing counted against it.
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

    /// Decides how to treat the request at `now`.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record)
                if record.is_quarantined
                    && !self.is_part_explained_by_request(fingerprint, record) =>
            {
                let apart = self.isolated_trial_due_at(fingerprint);
                match apart.filter(|from| now >= *from) {
                    Some(from) => Verdict::IsolatedTrialDue(from),
                    None if record.is_trial_due(now) => Verdict::TrialDue,
                    None => Verdict::Quarantined,
                }
            }
            Some(record)
                if record.is_suspect()
                    && !record.is_quarantined
                    && !self.is_explained_by_quarantined(fingerprint, record) =>
            {
                Verdict::Suspicious
            }
            _ => Verdict::Clear,
        }
    }

    /// Counts a trial of the quarantined request.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trials += 1;
        }
        self.update_indexes(fingerprint);
    }

    /// Counts an isolated trial of the quarantined request.
    pub fn begin_isolated_trial(&mut self, fingerprint: Fingerprint, now: Duration) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.isolated_trials += 1;
            record.isolated_trial_at = now;
        }
        self.update_indexes(fingerprint);
    }

    /// Records how the store keeps the record.
    pub fn note_stored(&mut self, fingerprint: Fingerprint, stored: Stored) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.stored = record.stored.max(stored);
        }
    }

    /// Returns the record of a request, if there is one.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// The records that all gateways have to know.
    pub fn shared_records(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let shared = self.shared.keys();
        shared.filter_map(|fingerprint| Some((*fingerprint, self.records.get(fingerprint)?)))
    }

    /// A digest of [`Ledger::shared_records`]: two gateways with equal digests have the same records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The quarantined requests.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let known = self.shared_records();
        known.filter(|(_, record)| record.is_quarantined)
    }

    /// Whether requests must be looked up before they are sent, since some were open at more than one crash.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether an answer completed at `now` may clear a request.
    pub fn may_clear(&self, now: Duration) -> bool {
        let is_lately = |at: Duration| now.saturating_sub(at) < CLEARING_WINDOW;
        self.last_strike_at.is_some_and(is_lately) || self.has_suspects()
    }

    /// Forgets strikes that have expired; returns the forgotten records that the store keeps, with their
    /// positions.
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

    /// Whether a record with these replicas was forgotten recently, so that a stored object with them came
    /// back with a restored backup of the store.
    pub fn has_forgotten(&self, fingerprint: Fingerprint, replicas: &[u64]) -> bool {
        let mut forgotten = self.forgotten.iter();
        forgotten.any(|(known, known_replicas)| {
            *known == fingerprint
                && replicas
                    .iter()
                    .all(|replica| known_replicas.contains(replica))
        })
    }

    /// The quarantined requests that were open at some of the crashes that count against this one. The parts of a
    /// request that crashes replicas are no rivals of it, nor is any request one of a part.
    pub(super) fn rivals(&self, fingerprint: Fingerprint) -> Vec<(Fingerprint, &Record)> {
        let strikes = self.records.get(&fingerprint).into_iter();
        let strikes = strikes.flat_map(|record| &record.strikes);
        let mut rivals: Vec<Fingerprint> = strikes
            .flat_map(|strike| self.requests_by_crash.requests_open_at(strike.replica))
            .filter(|other| **other != fingerprint && (other.is_part() || !fingerprint.is_part()))
            .copied()
            .collect();
        rivals.sort_unstable();
        rivals.dedup();
        let rivals = rivals.into_iter();
        rivals
            .filter_map(|other| Some((other, self.records.get(&other)?)))
            .filter(|(other, record)| {
                record.is_quarantined && !self.is_part_explained_by_request(*other, record)
            })
            .collect()
    }

    /// Quarantined requests other than `fingerprint` that were tried in isolation.
    pub(super) fn isolated_trials_of_others(
        &self,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = &Record> {
        let others = self.tried_in_isolation.iter();
        let others = others.filter(move |other| **other != fingerprint);
        others.filter_map(|other| self.records.get(other))
    }

    /// When a replica last crashed, as far as this gateway knows.
    pub(super) fn last_crash_at(&self) -> Option<Duration> {
        self.last_crash_at
    }

    /// Inserts a record, or removes it if `record` is `None`; returns the previous one.
    fn replace(&mut self, fingerprint: Fingerprint, record: Option<Record>) -> Option<Record> {
        let strikes: &[Strike] = record.as_ref().map_or(&[], |record| &record.strikes);
        self.requests_by_crash.add(fingerprint, strikes);
        let before = match record {
            Some(record) => self.records.insert(fingerprint, record),
            None => self.records.remove(&fingerprint),
        };
        let after = self.records.get(&fingerprint);
        let is_dropped =
            |strike: &&Strike| !after.is_some_and(|after| after.has_strike_of(strike.replica));
        let dropped = before.iter().flat_map(|before| &before.strikes);
        let dropped: Vec<Strike> = dropped.filter(is_dropped).copied().collect();
        self.requests_by_crash.remove(fingerprint, &dropped);
        self.update_indexes(fingerprint);
        before
    }

    /// Adds a request to the indexes of shared records and suspects, or removes it.
    fn update_indexes(&mut self, fingerprint: Fingerprint) {
        let record = self.records.get(&fingerprint);
        let shared = record.filter(|record| record.is_shared());
        let digest = shared.map(|record| record.digest(fingerprint));
        let is_suspect = record.is_some_and(Record::needs_lookup);
        let is_tried_in_isolation =
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
        match is_tried_in_isolation {
            true => self.tried_in_isolation.insert(fingerprint),
            false => self.tried_in_isolation.remove(&fingerprint),
        };
    }

    /// Drops the least important record if there are too many: the oldest that is not quarantined, otherwise
    /// the oldest.
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
