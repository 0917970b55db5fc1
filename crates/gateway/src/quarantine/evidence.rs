//! What crashes of replicas prove against a request that was open there: which crashes happened together,
//! which ones another request explains, and how many are enough.

use std::time::Duration;

use super::Fingerprint;
use super::ledger::{Ledger, Role};
use super::record::{Record, SAME_EVENT_WINDOW, STRIKE_WEIGHT, Strike, began_after_crash};

/// The strikes after which a request is quarantined. The operator allows three crashes, and three more
/// sends.
pub const MAX_STRIKES: usize = 3;

/// The same at a gateway that is not a home of the request and hears of few other crashes. It matters at a
/// gateway that the others can't reach.
const MAX_STRIKES_NON_HOME: usize = 5;

/// The excess over the limit that a quarantined request may explain if it was open at all these crashes. That
/// request may be harmless and quarantined by mistake, so the excess is less than one crash.
const MAX_EXPLAINED_EXCESS: usize = STRIKE_WEIGHT - 1;

/// The time after a crash by which all coinciding crashes are known: every gateway that is not frozen has
/// reported by then.
const CRASH_SETTLE_TIME: Duration = Duration::from_millis(300);

/// The maximum number of crashes remembered to find out which ones coincide. At 40 bytes each, this covers
/// four incidents that crash a seventh of 3,000 replicas.
const MAX_CRASHES: usize = 2048;

/// The crash of a replica.
#[derive(Debug)]
pub(super) struct Crash {
    replica: u64,
    pub(super) at: Duration,
    /// When the replica was last known to run: the latest start of a request that ran there.
    last_alive_at: Option<Duration>,
}

impl Ledger {
    /// Remembers a crash.
    pub(super) fn note_crash(&mut self, strike: Strike) {
        let last_alive_at = strike.replica_alive_at();
        let mut crashes = self.crashes.iter_mut();
        if let Some(known) = crashes.find(|known| known.replica == strike.replica) {
            known.last_alive_at = known.last_alive_at.max(last_alive_at);
            return;
        }
        self.crashes.push_back(Crash {
            replica: strike.replica,
            at: strike.at,
            last_alive_at,
        });
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Whether other replicas, where the request was not open, crashed together with that of a strike, and no
    /// quarantined request explains it.
    fn is_coincident_strike(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
        strike: &Strike,
    ) -> bool {
        let own_last_alive_at = self
            .crash_of(strike.replica)
            .and_then(|crash| crash.last_alive_at);
        let near = self.crashes.iter().filter(|crash| {
            strike.at.abs_diff(crash.at) < SAME_EVENT_WINDOW && !record.has_strike_of(crash.replica)
        });
        let mut has_explained_crash = false;
        for other in near {
            if self.was_running_quarantined(other.replica, fingerprint) {
                has_explained_crash = true;
            } else if !is_separate_event(strike.at, own_last_alive_at, other) {
                return true;
            }
        }
        strike.is_coincident && !has_explained_crash
    }

    pub(super) fn crash_of(&self, replica: u64) -> Option<&Crash> {
        self.crashes.iter().find(|crash| crash.replica == replica)
    }

    /// Whether a quarantined request other than `except` was open at a crash.
    fn was_running_quarantined(&self, replica: u64, except: Fingerprint) -> bool {
        let mut open_there = self.requests_by_crash.requests_open_at(replica).iter();
        open_there.any(|request| {
            let record = self.records.get(request);
            *request != except && record.is_some_and(|record| record.is_quarantined)
        })
    }

    /// Marks the strikes that coincide with other crashes, once that is known. A full record has dropped
    /// strikes of its own, and can't tell these crashes from those of others.
    pub(super) fn mark_coincident(
        &self,
        fingerprint: Fingerprint,
        record: &mut Record,
        now: Duration,
    ) {
        if record.is_full() {
            return;
        }
        let is_settled = |strike: &Strike| now.saturating_sub(strike.at) >= CRASH_SETTLE_TIME;
        let coincident = record.strikes.iter().map(|strike| {
            strike.is_coincident
                || is_settled(strike) && self.is_coincident_strike(fingerprint, record, strike)
        });
        let coincident: Vec<bool> = coincident.collect();
        for (strike, is_coincident) in record.strikes.iter_mut().zip(coincident) {
            strike.is_coincident = is_coincident;
        }
    }

    /// Whether enough strikes count against a request to quarantine it.
    pub(super) fn reaches_strike_limit(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
        role: Role,
    ) -> bool {
        let limit = match role {
            Role::Home => MAX_STRIKES,
            Role::Other => MAX_STRIKES_NON_HOME,
        };
        let weight = record.weight(|strike| self.is_coincident_strike(fingerprint, record, strike));
        let reaches_limit = weight >= limit * STRIKE_WEIGHT;
        let exceeds_with_margin = weight > limit * STRIKE_WEIGHT + MAX_EXPLAINED_EXCESS;
        exceeds_with_margin
            || reaches_limit && !self.is_explained_by_quarantined(fingerprint, record)
    }

    /// Whether this is a part of prompts, and one quarantined request was open at all crashes that count against it.
    pub(super) fn is_part_explained_by_request(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
    ) -> bool {
        let Some(first) = record.strikes.first().filter(|_| fingerprint.is_part()) else {
            return false;
        };
        let explains = |other: &Record| {
            let mut crashes = record.strikes.iter();
            other.is_quarantined && crashes.all(|strike| other.has_strike_of(strike.replica))
        };
        let open_there = self.requests_by_crash.requests_open_at(first.replica);
        open_there
            .iter()
            .filter(|other| !other.is_part())
            .filter_map(|other| self.records.get(other))
            .any(explains)
    }

    /// Whether a quarantined request was open at all crashes that count against this one, and at others too.
    /// A request that ran longer there explains nothing: it is rather the one that was there by chance.
    pub(super) fn is_explained_by_quarantined(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
    ) -> bool {
        let Some(first) = record.strikes.first() else {
            return false;
        };
        let explains = |other: &Record| {
            let mut crashes = record.strikes.iter();
            other.is_quarantined
                && other.strikes.len() > record.strikes.len()
                && other.mean_run() <= record.mean_run()
                && crashes.all(|strike| other.has_strike_of(strike.replica))
        };
        let open_there = self
            .requests_by_crash
            .requests_open_at(first.replica)
            .iter();
        open_there
            .filter(|other| **other != fingerprint)
            .filter_map(|other| self.records.get(other))
            .any(explains)
    }
}

/// Whether `other` is not part of the same event as a crash at `at` of a replica last known to run at
/// `last_alive_at`: the replica that crashed later started to run a request after the earlier crash.
fn is_separate_event(at: Duration, last_alive_at: Option<Duration>, other: &Crash) -> bool {
    let (first_at, later_last_alive_at) = match other.at < at {
        true => (other.at, last_alive_at),
        false => (at, other.last_alive_at),
    };
    later_last_alive_at.is_some_and(|last_alive_at| began_after_crash(last_alive_at, first_at))
}
