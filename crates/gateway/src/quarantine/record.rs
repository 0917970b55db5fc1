//! What is known of one request that was open at replicas when these crashed.

use std::time::Duration;

use super::Fingerprint;
use crate::store::{StoreEra, StorePosition};

/// The number of strikes from which a request is suspicious and every gateway knows of it.
pub(super) const SUSPICIOUS_STRIKES: usize = 2;

/// The weight of a strike, chosen so that half a strike is an integer.
pub(super) const STRIKE_WEIGHT: usize = 2;

/// The maximum weight of replicas that crash together. One request causes that many crashes when its caller
/// sends several copies at once, while a crash of many replicas at which a request was open is no proof
/// against it.
const MAX_EVENT_WEIGHT: usize = 2 * STRIKE_WEIGHT;

/// Replicas that crash within this time crash together. When 15 in 100 crash at once, their connections break
/// within some ten milliseconds at all gateways (logs of an incident: 2 ms).
pub(super) const SAME_EVENT_WINDOW: Duration = Duration::from_millis(100);

/// How much earlier than a crash a run at the next replica may seem to have started although it started
/// later: ages are sent in whole milliseconds, and a datagram between gateways takes a few.
const TIMING_TOLERANCE: Duration = Duration::from_millis(10);

/// The shortest run that proves that its replica was alive when it started. The connections to a crashing
/// replica break within 2 ms (logs of an incident).
const MIN_RUN: Duration = Duration::from_millis(15);

/// How long a strike counts. A request that returns less often than that crashes a replica only now and then.
const STRIKE_RETENTION: Duration = Duration::from_secs(15 * 60);

/// How long a request stays in quarantine before one gateway tries it again, in case the replicas were fixed;
/// the delay doubles with each such trial that crashes a replica.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(3600);

/// The maximum number of such trials; after that only an operator can release the request. The trials cost
/// two crashes in addition to the first three, where three are allowed.
const MAX_TRIALS: u32 = 2;

/// The maximum number of strikes kept per request.
const MAX_RECORDED_STRIKES: usize = 6;

/// A crash that counts against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// The digest of the id of the replica's incarnation.
    pub replica: u64,
    /// When it crashed.
    pub at: Duration,
    /// Whether other replicas crashed at the same time where the request was not open.
    pub is_coincident: bool,
    /// When the request's earliest run there started, if known.
    pub began_at: Option<Duration>,
}

/// How the store keeps a record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stored {
    /// Where its object was last changed; `None` if there is no object.
    pub position: Option<StorePosition>,
    /// Whether the object says that the request is quarantined.
    pub is_quarantined: bool,
    /// The number of isolated trials in the object.
    pub isolated_trials: u32,
}

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// How often the request was cleared or released; strikes of earlier generations are void.
    pub generation: u32,
    /// The strikes in order of time, at most one per replica.
    pub strikes: Vec<Strike>,
    /// Whether no replica may run the request.
    pub is_quarantined: bool,
    /// How often it was tried in quarantine after a long time.
    pub trials: u32,
    /// How the store keeps this generation of the record.
    pub stored: Stored,
    /// When it was last cleared.
    pub cleared_at: Duration,
    /// Answers completed since its first strike, in all generations, as far as this gateway knows.
    pub completions: u32,
    /// How often it was tried in isolation from the requests that were open at the same crashes, in this
    /// generation.
    pub isolated_trials: u32,
    /// When the last isolated trial started.
    pub isolated_trial_at: Duration,
}

impl Record {
    /// Whether a store of `era` has to be written, as far as is known: a store restored from a backup may
    /// have lost the record.
    pub fn needs_storing(&self, era: StoreEra) -> bool {
        let is_kept =
            |stored: StorePosition| stored.era == era && self.stored == self.stored_at(stored);
        self.is_suspect() && !self.stored.position.is_some_and(is_kept)
    }

    /// How the store keeps the record after the current state is written at this position.
    pub fn stored_at(&self, position: StorePosition) -> Stored {
        Stored {
            position: Some(position),
            is_quarantined: self.is_quarantined,
            isolated_trials: self.isolated_trials,
        }
    }

    /// The number of crashes that count against the request. Of crashes that happened together the first
    /// counts one and the others half each, two in total at most; if other replicas crashed with them where
    /// the request was not open, only the first counts, as half. A crash of a run that started after the
    /// previous crash did not happen together with that one.
    pub fn count(&self) -> f64 {
        self.weight(|strike| strike.is_coincident) as f64 / STRIKE_WEIGHT as f64
    }

    pub(super) fn weight(&self, is_coincident: impl Fn(&Strike) -> bool) -> usize {
        let mut weight = 0;
        let mut event_until = None;
        let mut event_weight = 0;
        let mut previous_crash_at: Option<Duration> = None;
        for strike in &self.strikes {
            let is_independent = !is_coincident(strike);
            let is_new_run = previous_crash_at.is_some_and(|crash| strike.began_after(crash));
            previous_crash_at = Some(strike.at);
            let is_same_event = !is_new_run && event_until.is_some_and(|until| strike.at < until);
            if !is_same_event {
                event_until = Some(strike.at + SAME_EVENT_WINDOW);
                event_weight = 0;
            }
            let added = match (is_same_event, is_independent) {
                (false, true) => STRIKE_WEIGHT,
                (false, false) | (true, true) => STRIKE_WEIGHT / 2,
                (true, false) => 0,
            };
            let added = added.min(MAX_EVENT_WEIGHT - event_weight);
            event_weight += added;
            weight += added;
        }
        weight
    }

    /// Whether every gateway has to know the record.
    pub fn is_shared(&self) -> bool {
        self.is_quarantined || self.generation > 0 || self.strikes.len() >= SUSPICIOUS_STRIKES
    }

    /// Whether requests are compared with the record: the request may have to be refused, or cleared.
    pub(super) fn needs_lookup(&self) -> bool {
        self.is_quarantined || self.strikes.len() >= SUSPICIOUS_STRIKES
    }

    /// Whether the request must not be sent like any other.
    pub fn is_suspect(&self) -> bool {
        self.is_quarantined
            || self.weight(|strike| strike.is_coincident) >= SUSPICIOUS_STRIKES * STRIKE_WEIGHT
    }

    /// When the request is due for a trial in quarantine; `None` if only an operator can release it.
    pub fn trial_due_at(&self) -> Option<Duration> {
        let term = FIRST_TRIAL_DELAY.saturating_mul(1 << self.trials);
        (self.trials < MAX_TRIALS).then(|| self.last_event_at().saturating_add(term))
    }

    /// Merges what another gateway knows.
    pub(super) fn merge(&mut self, other: Self) {
        if other.generation < self.generation {
            return;
        }
        if other.generation > self.generation {
            *self = other;
        } else {
            for strike in other.strikes {
                self.add(strike);
            }
            self.is_quarantined |= other.is_quarantined;
            self.trials = self.trials.max(other.trials);
            self.completions = self.completions.max(other.completions);
            self.isolated_trials = self.isolated_trials.max(other.isolated_trials);
            self.isolated_trial_at = self.isolated_trial_at.max(other.isolated_trial_at);
            self.stored = self.stored.max(other.stored);
            self.cleared_at = self.cleared_at.max(other.cleared_at);
        }
        self.strikes
            .sort_by_key(|strike| (strike.at, strike.replica));
        let surplus = self.strikes.len().saturating_sub(MAX_RECORDED_STRIKES);
        self.strikes.drain(..surplus);
    }

    /// Adds a strike; the crash of one replica counts once, at the earliest time seen. A strike with a start
    /// time has the real time of the crash; the store, which keeps no times, has neither.
    fn add(&mut self, strike: Strike) {
        match self
            .strikes
            .iter_mut()
            .find(|known| known.replica == strike.replica)
        {
            Some(known) => {
                known.is_coincident |= strike.is_coincident;
                match (known.began_at, strike.began_at) {
                    (Some(_), None) => {}
                    (None, Some(_)) => known.at = strike.at,
                    (Some(_), Some(_)) | (None, None) => known.at = known.at.min(strike.at),
                }
                known.began_at = earliest(known.began_at, strike.began_at);
            }
            None => self.strikes.push(strike),
        }
    }

    /// The mean time that the request had run at the replicas that crashed; zero if unknown. All gateways
    /// agree on it within a few milliseconds.
    pub(super) fn mean_run(&self) -> Duration {
        let mut runs = Duration::ZERO;
        let mut count = 0;
        for strike in &self.strikes {
            if let Some(began_at) = strike.began_at {
                runs += strike.at.saturating_sub(began_at);
                count += 1;
            }
        }
        runs.checked_div(count).unwrap_or_default()
    }

    /// Whether one more strike would displace an earlier one.
    pub(super) fn is_full(&self) -> bool {
        self.strikes.len() >= MAX_RECORDED_STRIKES
    }

    pub(super) fn has_strike_of(&self, replica: u64) -> bool {
        self.strikes.iter().any(|strike| strike.replica == replica)
    }

    pub(super) fn last_event_at(&self) -> Duration {
        let last = self
            .strikes
            .last()
            .map_or(Duration::ZERO, |strike| strike.at);
        last.max(self.cleared_at)
    }

    pub(super) fn is_trial_due(&self, now: Duration) -> bool {
        self.trial_due_at().is_some_and(|due| now >= due)
    }

    pub(super) fn is_recent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_event_at()) < STRIKE_RETENTION
    }

    pub(super) fn digest(&self, fingerprint: Fingerprint) -> u64 {
        let mut bytes = fingerprint.number().to_le_bytes().to_vec();
        bytes.extend(self.generation.to_le_bytes());
        bytes.extend(self.trials.to_le_bytes());
        bytes.push(u8::from(self.is_quarantined));
        if self.isolated_trials > 0 {
            // Omitted when zero, so that gateways of earlier versions, which know no isolated trials, compute
            // the same digest.
            bytes.extend(self.isolated_trials.to_le_bytes());
        }
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

impl Strike {
    /// Whether the request started to run at this replica after another crash.
    fn began_after(&self, crashed_at: Duration) -> bool {
        let alive_at = self.replica_alive_at();
        alive_at.is_some_and(|alive_at| began_after_crash(alive_at, crashed_at))
    }

    /// When the replica was last known to run according to this strike. A request that was lost at once
    /// proves nothing: it may have been sent on a connection to a replica that had crashed unnoticed.
    pub(super) fn replica_alive_at(&self) -> Option<Duration> {
        let ran = |began_at: Duration| self.at.saturating_sub(began_at);
        self.began_at.filter(|began_at| ran(*began_at) >= MIN_RUN)
    }
}

/// Whether a run started after a crash.
pub(super) fn began_after_crash(began_at: Duration, crashed_at: Duration) -> bool {
    began_at.saturating_add(TIMING_TOLERANCE) > crashed_at
}

/// The earlier of the known times.
fn earliest(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}
