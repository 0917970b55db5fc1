//! When a quarantined request is tried in isolation from those that were open at the same crashes.
//!
//! A harmless request that is always open at every replica is also open wherever another request crashes a
//! replica, so both have the same strikes. If no run of it completes between these crashes, nothing tells
//! them apart and both are quarantined. Then one after the other is sent once more. A request whose answer
//! completes is cleared. Once all others are cleared, the last one is the only explanation and is not tried.
//! So the request that crashes replicas causes at most one more crash, and none if no others share its
//! crashes.

use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ledger::Ledger;
use super::{Fingerprint, Record, home_rank};
use crate::peers::directory::{Directory, name_digest};
use crate::peers::message::WireDaemon;

/// How long no replica must have crashed before a request is tried. In that time the replicas restart, and
/// other requests that crash replicas are found, so that they do not crash the replica of the trial.
const QUIET_PERIOD: Duration = Duration::from_secs(2);

/// A request is tried this long after its own last crash even if other requests keep crashing replicas.
const MAX_QUIET_WAIT: Duration = Duration::from_secs(8);

/// How long one request may be tried before its next rival may: its caller may have left for good.
const RIVAL_TURN: Duration = Duration::from_secs(1);

/// How long to wait for the outcome of a trial before another request is tried, or the same one again.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of inconclusive trials of one request, where no replica ran it or its caller left;
/// after that it stays in quarantine.
const MAX_TRIALS: u32 = 3;

/// The head start of each home gateway of the request over the next one in rank.
const HOME_TURN: Duration = Duration::from_secs(1);

/// The time after which any gateway may try the request, since it may not arrive at its home gateways.
const OTHERS_DELAY: Duration = Duration::from_secs(4);

/// Each other gateway has its own time slot of this length, so that no two try the request at once: all
/// gateways know of a trial within tens of milliseconds.
const OTHER_TURN: Duration = Duration::from_millis(250);

/// The number of such time slots.
const OTHER_TURN_COUNT: u64 = 256;

impl Record {
    /// Whether a replica crashed during an isolated trial, or the trials are used up.
    fn are_trials_over(&self) -> bool {
        let last_crash_at = self.strikes.iter().map(|strike| strike.at).max();
        let has_crashed = last_crash_at.is_some_and(|at| at > self.isolated_trial_at);
        self.isolated_trials >= MAX_TRIALS || self.isolated_trials > 0 && has_crashed
    }

    /// Until when the outcome of its last isolated trial is awaited.
    fn trial_outcome_deadline(&self) -> Duration {
        match self.isolated_trials {
            0 => Duration::ZERO,
            _ => self.isolated_trial_at.saturating_add(OUTCOME_TIMEOUT),
        }
    }
}

impl Ledger {
    /// Returns the time from which a quarantined request is to be tried in isolation, or `None` if it is not
    /// to be tried: no other request has the same crashes, or its trials are over.
    pub fn isolated_trial_due_at(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let record = self.get(fingerprint).filter(|known| known.is_quarantined)?;
        let rivals = self.rivals(fingerprint);
        if record.are_trials_over() || !is_covered_by_rivals(record, &rivals) {
            return None;
        }
        let quiet_since = self
            .last_crash_at()
            .unwrap_or_default()
            .saturating_add(QUIET_PERIOD);
        let mut from = quiet_since.min(record.last_event_at().saturating_add(MAX_QUIET_WAIT));
        // The requests that are most likely harmless come first: once they are cleared, a request that has
        // crashes of its own needs no trial. A request that crashes replicas runs no longer than it takes to
        // crash them.
        let order = |fingerprint: Fingerprint, record: &Record| {
            (
                Reverse(record.generation),
                Reverse(record.completions),
                Reverse(record.mean_run()),
                fingerprint,
            )
        };
        let own = order(fingerprint, record);
        let untried = rivals.iter();
        let untried = untried.filter(|(_, rival)| !rival.are_trials_over());
        let earlier = untried.filter(|(other, rival)| order(*other, rival) < own);
        from += RIVAL_TURN * u32::try_from(earlier.count()).unwrap_or(u32::MAX);
        // Only one trial at a time: of two at one replica, both would seem to have crashed it.
        let tried = self.isolated_trials_of_others(fingerprint);
        let tried = tried.filter(|other| !other.are_trials_over());
        from = tried.fold(from, |from, other| from.max(other.trial_outcome_deadline()));
        Some(from.max(record.trial_outcome_deadline()))
    }
}

/// Whether rivals were open at all but one of the crashes that count against a request. That one may be its
/// own crash, or one reported under two incarnations: a gateway that has not heard of a restart yet attributes
/// a crash to the earlier incarnation.
fn is_covered_by_rivals(record: &Record, rivals: &[(Fingerprint, &Record)]) -> bool {
    let was_open_there =
        |replica: u64| rivals.iter().any(|(_, other)| other.has_strike_of(replica));
    let strikes = record.strikes.iter();
    let own = strikes
        .filter(|strike| !was_open_there(strike.replica))
        .count();
    own <= 1 && !rivals.is_empty()
}

/// How long this gateway waits after a request is due for an isolated trial before it may try it.
pub fn trial_delay(directory: &Directory, fingerprint: Fingerprint, own: &WireDaemon) -> Duration {
    let home =
        home_rank(directory, fingerprint, own).and_then(|home_rank| u32::try_from(home_rank).ok());
    if let Some(home_rank) = home {
        return HOME_TURN * home_rank;
    }
    let bytes = fingerprint.number().to_le_bytes();
    let digest = xxh3_64_with_seed(&bytes, name_digest(&own.name));
    let number = u32::try_from(digest % OTHER_TURN_COUNT).unwrap_or_default();
    OTHERS_DELAY + OTHER_TURN * number
}
