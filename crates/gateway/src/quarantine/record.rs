//! What is known of one request that was open at replicas as these ended.

use std::time::Duration;

use super::Fingerprint;
use crate::store::{StoreEra, StorePosition};

/// Strikes from which on a request is suspicious, and every daemon knows of it.
pub(super) const SUSPICIOUS_STRIKES: usize = 2;

/// What a strike weighs, so that half of one is a whole number.
pub(super) const STRIKE_WEIGHT: usize = 2;

/// The most that replicas weigh which end together: so many of one request end also when its caller sends several at
/// once, and a crash of many, in which a request was open at each, is no proof against it.
const MAX_EVENT_WEIGHT: usize = 2 * STRIKE_WEIGHT;

/// Replicas that end within this time end together. When 15 in 100 crash at once their connections break off
/// within some ten milliseconds at all daemons (logs of an incident: 2 ms).
pub(super) const SAME_EVENT_WINDOW: Duration = Duration::from_millis(100);

/// How much earlier than the end of a replica a run at the next one may seem to have begun which in truth began after it: ages
/// are told in whole milliseconds, and a datagram between daemons takes a few.
const TIMING_TOLERANCE: Duration = Duration::from_millis(10);

/// The shortest run that shows that its replica was there as it began. The connections to one that ends break off within 2 ms
/// (logs of an incident).
const MIN_RUN: Duration = Duration::from_millis(15);

/// How long a strike counts. Requests that come again more seldom than that end a replica now and then.
const STRIKE_RETENTION: Duration = Duration::from_secs(15 * 60);

/// How long a request stays in quarantine before one daemon tries it again, in case that the replicas were mended;
/// after each such trial that ends a replica twice as long.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(3600);

/// Trials; then only an operator can release it. With them it ends two replicas beside the first three, where three are
/// allowed.
const MAX_TRIALS: u32 = 2;

/// Strikes of one request that are kept.
const MAX_RECORDED_STRIKES: usize = 6;

/// One strike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// The digest of the id of the replica's life.
    pub replica: u64,
    /// When it ended.
    pub at: Duration,
    /// Whether others ended at the same time where the request was not open.
    pub is_coincident: bool,
    /// When the request had begun to run there, the earliest of its runs; nothing where that is not known.
    pub began_at: Option<Duration>,
}

/// How the store keeps a record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stored {
    /// Where its object was last changed; none where there is none.
    pub position: Option<StorePosition>,
    /// Whether it says that the request is quarantined.
    pub is_quarantined: bool,
    /// How often it says that the request was tried apart.
    pub isolated_trials: u32,
}

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// How often it was cleared or released; strikes of earlier generations are void.
    pub generation: u32,
    /// Its strikes, each replica once, in the order of time.
    pub strikes: Vec<Strike>,
    /// Whether it is quarantined.
    pub is_quarantined: bool,
    /// How often it was tried in quarantine.
    pub trials: u32,
    /// How the store keeps this generation of it.
    pub stored: Stored,
    /// When it was last cleared.
    pub cleared_at: Duration,
    /// Answers that came whole since its first strike, in all generations, as far as this daemon was told.
    pub completions: u32,
    /// How often it was tried apart from the requests that were open at the same ends, in this generation.
    pub isolated_trials: u32,
    /// When that was last begun.
    pub isolated_trial_at: Duration,
}

impl Record {
    /// Whether a store of `era` is to keep it otherwise than it does, as far as is known: one that came back from a copy
    /// may have lost it.
    pub fn needs_storing(&self, era: StoreEra) -> bool {
        let is_kept =
            |stored: StorePosition| stored.era == era && self.stored == self.stored_at(stored);
        self.is_suspect() && !self.stored.position.is_some_and(is_kept)
    }

    /// How the store keeps it once it was written as it is now, at this position.
    pub fn stored_at(&self, position: StorePosition) -> Stored {
        Stored {
            position: Some(position),
            is_quarantined: self.is_quarantined,
            isolated_trials: self.isolated_trials,
        }
    }

    /// How many ends of replicas count against it. Of those that came together the first counts whole and the others half,
    /// two at the most; where replicas ended with them at which it was not open, only the first counts, and half. One at
    /// which the request began to run after the end before did not come together with that.
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
            let began_after_crash = previous_crash_at.is_some_and(|end| strike.began_after(end));
            previous_crash_at = Some(strike.at);
            let is_same_event =
                !began_after_crash && event_until.is_some_and(|until| strike.at < until);
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

    /// Whether every daemon is to know it.
    pub fn is_shared(&self) -> bool {
        self.is_quarantined || self.generation > 0 || self.strikes.len() >= SUSPICIOUS_STRIKES
    }

    /// Whether requests are compared with it: it may have to be refused, or cleared.
    pub(super) fn needs_lookup(&self) -> bool {
        self.is_quarantined || self.strikes.len() >= SUSPICIOUS_STRIKES
    }

    /// Whether it must not be sent like any other request.
    pub fn is_suspect(&self) -> bool {
        self.is_quarantined
            || self.weight(|strike| strike.is_coincident) >= SUSPICIOUS_STRIKES * STRIKE_WEIGHT
    }

    /// When it is tried in quarantine; nothing where only an operator can release it.
    pub fn trial_due_at(&self) -> Option<Duration> {
        let term = FIRST_TRIAL_DELAY.saturating_mul(1 << self.trials);
        (self.trials < MAX_TRIALS).then(|| self.last_event_at().saturating_add(term))
    }

    /// Takes in what another daemon knows.
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

    /// Adds a strike; the end of one replica counts once, from when it was seen first. Who knows when the run had begun there
    /// knows when the replica ended; the store, which keeps no times, knows neither.
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

    /// How long it had run at the replicas that ended, in the mean; zero where that is not known. Daemons know it alike to some
    /// milliseconds.
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

    /// Whether one more strike would displace one.
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
            // Only then, so that a daemon of an earlier version, which knows of no such trials, has the same digest.
            bytes.extend(self.isolated_trials.to_le_bytes());
        }
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

impl Strike {
    /// Whether the request began to run at this replica after another one had ended.
    fn began_after(&self, end: Duration) -> bool {
        let alive_at = self.replica_alive_at();
        alive_at.is_some_and(|alive_at| began_after_crash(alive_at, end))
    }

    /// When the replica was there yet, as far as this strike shows: a request that was lost at once may have been sent on a
    /// connection to a replica that had ended unseen.
    pub(super) fn replica_alive_at(&self) -> Option<Duration> {
        let ran = |began_at: Duration| self.at.saturating_sub(began_at);
        self.began_at.filter(|began_at| ran(*began_at) >= MIN_RUN)
    }
}

/// Whether a run began after the end of a replica.
pub(super) fn began_after_crash(began_at: Duration, end: Duration) -> bool {
    began_at.saturating_add(TIMING_TOLERANCE) > end
}

/// The earlier one of those that are known.
fn earliest(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}
