//! What the ends of replicas prove against a request that was open there: which of them came together, which are the work of
//! another request, and how many are enough.

use std::time::Duration;

use super::Fingerprint;
use super::ledger::{Ledger, Role};
use super::record::{Record, SAME_EVENT_WINDOW, STRIKE_WEIGHT, Strike, began_after_crash};

/// Strikes after which a request is quarantined. The operator allows three ends, and three more sends.
pub const MAX_STRIKES: usize = 3;

/// The same at a daemon that does not count for the request, and hears of few of the replicas that ended besides. It
/// matters to one that the others can't reach.
const MAX_STRIKES_NON_HOME: usize = 5;

/// How much more than that may be the work of a quarantined request that was open at all these ends: that one may be harmless and
/// held by mistake, so less than one end.
const MAX_EXPLAINED_EXCESS: usize = STRIKE_WEIGHT - 1;

/// How long after the end of a replica it is known which others ended with it: within that time every daemon that was not
/// frozen has told.
const CRASH_SETTLE_TIME: Duration = Duration::from_millis(300);

/// Ends of replicas that are remembered, to know which ended together: 40 bytes each, four crashes of a seventh of 3,000
/// replicas.
const MAX_CRASHES: usize = 2048;

/// The end of a replica.
#[derive(Debug)]
pub(super) struct Crash {
    replica: u64,
    pub(super) at: Duration,
    /// When it was there yet: the latest that a request which ran there began to.
    last_alive_at: Option<Duration>,
}

impl Ledger {
    /// Remembers the end of a replica.
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

    /// Whether other replicas ended with that of a strike, where the request was not open, by no request that is known to end
    /// replicas.
    fn is_coincident_strike(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
        strike: &Strike,
    ) -> bool {
        let own_last_alive_at = self
            .crash_of(strike.replica)
            .and_then(|end| end.last_alive_at);
        let near = self.crashes.iter().filter(|end| {
            strike.at.abs_diff(end.at) < SAME_EVENT_WINDOW && !record.has_strike_of(end.replica)
        });
        let mut has_explained_crash = false;
        for other in near {
            if self.was_hit_by_quarantined(other.replica, fingerprint) {
                has_explained_crash = true;
            } else if !is_separate_event(strike.at, own_last_alive_at, other) {
                return true;
            }
        }
        strike.is_coincident && !has_explained_crash
    }

    pub(super) fn crash_of(&self, replica: u64) -> Option<&Crash> {
        self.crashes.iter().find(|end| end.replica == replica)
    }

    /// Whether a quarantined request, other than `but`, was open at a replica as it ended.
    fn was_hit_by_quarantined(&self, replica: u64, but: Fingerprint) -> bool {
        let mut open_there = self.requests_by_crash.requests_open_at(replica).iter();
        open_there.any(|request| {
            let record = self.records.get(request);
            *request != but && record.is_some_and(|record| record.is_quarantined)
        })
    }

    /// Notes for good which strikes coincide with other ends, once that is known. A full record has dropped ends at which its
    /// request was open too, and can't tell them from others.
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

    /// Whether so many strikes count against a request that it is quarantined.
    pub(super) fn exceeds_strike_limit(
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

    /// Whether a quarantined request was open at all ends that count against this one, and at others besides. One that had run longer
    /// there explains nothing: it rather is the one that was there by chance.
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

/// Whether another replica ended in another crash than one that ended at `at` and was there yet at `last_alive_at`: the later one
/// began to run something after the earlier one had ended.
fn is_separate_event(at: Duration, last_alive_at: Option<Duration>, other: &Crash) -> bool {
    let (first_at, later_last_alive_at) = match other.at < at {
        true => (other.at, last_alive_at),
        false => (at, other.last_alive_at),
    };
    later_last_alive_at.is_some_and(|last_alive_at| began_after_crash(last_alive_at, first_at))
}
