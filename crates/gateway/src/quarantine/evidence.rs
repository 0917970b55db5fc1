//! What the ends of replicas prove against a request that was open there: which of them came together, which are the work of
//! another request, and how many are enough.

use std::time::Duration;

use super::Fingerprint;
use super::ledger::{Ledger, Role};
use super::record::{ONE_CRASH, Record, Strike, WEIGHT, is_after};

/// Strikes after which a request is quarantined. The operator allows three ends, and three more sends.
pub const MAX_STRIKES: usize = 3;

/// The same at a daemon that does not count for the request, and hears of few of the replicas that ended besides. It
/// matters to one that the others can't reach.
const MAX_STRIKES_ELSEWHERE: usize = 5;

/// How much more than that may be the work of a quarantined request that was open at all these ends: that one may be harmless and
/// held by mistake, so less than one end.
const MOST_EXCUSED: usize = WEIGHT - 1;

/// How long after the end of a replica it is known which others ended with it: within that time every daemon that was not
/// frozen has told.
const SETTLED: Duration = Duration::from_millis(300);

/// Ends of replicas that are remembered, to know which ended together: 40 bytes each, four crashes of a seventh of 3,000
/// replicas.
const MAX_ENDS: usize = 2048;

/// The end of a replica.
#[derive(Debug)]
pub(super) struct End {
    replica: u64,
    pub(super) at: Duration,
    /// When it was there yet: the latest that a request which ran there began to.
    alive_at: Option<Duration>,
}

impl Ledger {
    /// Remembers the end of a replica.
    pub(super) fn note_end(&mut self, strike: Strike) {
        let alive_at = strike.showed_alive_at();
        let mut ends = self.ends.iter_mut();
        if let Some(known) = ends.find(|known| known.replica == strike.replica) {
            known.alive_at = known.alive_at.max(alive_at);
            return;
        }
        self.ends.push_back(End {
            replica: strike.replica,
            at: strike.at,
            alive_at,
        });
        if self.ends.len() > MAX_ENDS {
            self.ends.pop_front();
        }
    }

    /// Whether other replicas ended with that of a strike, where the request was not open, by no request that is known to end
    /// replicas.
    fn coincides(&self, fingerprint: Fingerprint, record: &Record, strike: &Strike) -> bool {
        let own_alive_at = self.end_of(strike.replica).and_then(|end| end.alive_at);
        let near = self
            .ends
            .iter()
            .filter(|end| strike.at.abs_diff(end.at) < ONE_CRASH && !record.has_ended(end.replica));
        let mut has_explained = false;
        for other in near {
            if self.is_of_quarantined(other.replica, fingerprint) {
                has_explained = true;
            } else if !is_apart(strike.at, own_alive_at, other) {
                return true;
            }
        }
        strike.is_coincident && !has_explained
    }

    pub(super) fn end_of(&self, replica: u64) -> Option<&End> {
        self.ends.iter().find(|end| end.replica == replica)
    }

    /// Whether a quarantined request, other than `but`, was open at a replica as it ended.
    fn is_of_quarantined(&self, replica: u64, but: Fingerprint) -> bool {
        let mut open_there = self.by_end.open_at(replica).iter();
        open_there.any(|request| {
            let record = self.records.get(request);
            *request != but && record.is_some_and(|record| record.is_quarantined)
        })
    }

    /// Notes for good which strikes coincide with other ends, once that is known. A full record has dropped ends at which its
    /// request was open too, and can't tell them from others.
    pub(super) fn settle(&self, fingerprint: Fingerprint, record: &mut Record, now: Duration) {
        if record.is_full() {
            return;
        }
        let is_settled = |strike: &Strike| now.saturating_sub(strike.at) >= SETTLED;
        let coincident = record.strikes.iter().map(|strike| {
            strike.is_coincident
                || is_settled(strike) && self.coincides(fingerprint, record, strike)
        });
        let coincident: Vec<bool> = coincident.collect();
        for (strike, is_coincident) in record.strikes.iter_mut().zip(coincident) {
            strike.is_coincident = is_coincident;
        }
    }

    /// Whether so many strikes count against a request that it is quarantined.
    pub(super) fn is_guilty(&self, fingerprint: Fingerprint, record: &Record, role: Role) -> bool {
        let limit = match role {
            Role::Home => MAX_STRIKES,
            Role::Other => MAX_STRIKES_ELSEWHERE,
        };
        let weight = record.weight(|strike| self.coincides(fingerprint, record, strike));
        let has_enough = weight >= limit * WEIGHT;
        let has_too_many = weight > limit * WEIGHT + MOST_EXCUSED;
        has_too_many || has_enough && !self.is_explained(fingerprint, record)
    }

    /// Whether a quarantined request was open at all ends that count against this one, and at others besides. One that had run longer
    /// there explains nothing: it rather is the one that was there by chance.
    pub(super) fn is_explained(&self, fingerprint: Fingerprint, record: &Record) -> bool {
        let Some(first) = record.strikes.first() else {
            return false;
        };
        let explains = |other: &Record| {
            let mut ends = record.strikes.iter();
            other.is_quarantined
                && other.strikes.len() > record.strikes.len()
                && other.mean_run() <= record.mean_run()
                && ends.all(|strike| other.has_ended(strike.replica))
        };
        let open_there = self.by_end.open_at(first.replica).iter();
        open_there
            .filter(|other| **other != fingerprint)
            .filter_map(|other| self.records.get(other))
            .any(explains)
    }
}

/// Whether another replica ended in another crash than one that ended at `at` and was there yet at `alive_at`: the later one
/// began to run something after the earlier one had ended.
fn is_apart(at: Duration, alive_at: Option<Duration>, other: &End) -> bool {
    let (first_at, later_alive_at) = match other.at < at {
        true => (other.at, alive_at),
        false => (at, other.alive_at),
    };
    later_alive_at.is_some_and(|alive_at| is_after(alive_at, first_at))
}
