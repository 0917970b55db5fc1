//! Whom a daemon asks: the first in rank of its group that answers with something recent.
//!
//! Reads no clock: times are durations since any fixed moment of one steady clock.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::message::WireDaemon;

/// Daemons that form one group whatever their zones; more are grouped by zone.
const ONE_GROUP: usize = 16;

/// How long a source is passed over after it was silent or knew nothing recent.
const PASS_OVER: Duration = Duration::from_millis(2500);

/// Questions in a row without an answer after which a source is passed over.
const SILENT_QUESTIONS: u32 = 2;

/// How long a daemon reads the store in vain before it asks others.
const STORE_PATIENCE: Duration = Duration::from_millis(1300);

/// For how long it is remembered that a source knew nothing recent.
const STALE_MEMORY: Duration = Duration::from_millis(4000);

/// Daemons that must know nothing recent before the store counts as down for all.
const STALE_OTHERS: usize = 2;

/// How old what a source tells may be.
const LONGEST_VIEW_AGE: Duration = Duration::from_millis(2200);

/// The daemons of `own`'s group, by rank; `own` is among them.
pub fn ranked_group(daemons: &[WireDaemon], own: &WireDaemon) -> Vec<WireDaemon> {
    let is_one_group = daemons.len() <= ONE_GROUP;
    let mut group: Vec<WireDaemon> = daemons
        .iter()
        .filter(|daemon| daemon.name != own.name)
        .filter(|daemon| is_one_group || daemon.zone == own.zone)
        .cloned()
        .collect();
    group.push(own.clone());
    group.sort_by_key(|daemon| (xxh3_64(daemon.name.as_bytes()), daemon.name.clone()));
    group
}

/// The first in rank of every group but `own`'s.
pub fn other_groups_first(daemons: &[WireDaemon], own: &WireDaemon) -> Vec<WireDaemon> {
    if daemons.len() <= ONE_GROUP {
        return Vec::new();
    }
    let mut first_by_zone: HashMap<&str, &WireDaemon> = HashMap::new();
    for daemon in daemons.iter().filter(|daemon| daemon.zone != own.zone) {
        let rank = xxh3_64(daemon.name.as_bytes());
        let first = first_by_zone.entry(&daemon.zone).or_insert(daemon);
        if rank < xxh3_64(first.name.as_bytes()) {
            *first = daemon;
        }
    }
    first_by_zone.into_values().cloned().collect()
}

/// Whether `own` is the relay of its `ranked_group`: the first of it, where there are other groups.
pub fn is_relay(daemons: &[WireDaemon], ranked_group: &[WireDaemon], own: &WireDaemon) -> bool {
    let is_first = ranked_group
        .first()
        .is_some_and(|first| first.name == own.name);
    let has_other_groups =
        daemons.len() > ONE_GROUP && daemons.iter().any(|daemon| daemon.zone != own.zone);
    is_first && has_other_groups
}

/// Where a daemon learns what is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// It reads the store itself.
    Store,
    /// It asks this daemon.
    Daemon(WireDaemon),
}

/// The choice of the source.
#[derive(Debug, Default)]
pub struct SourceChooser {
    passed_over: HashMap<String, Duration>,
    unanswered: u32,
    asked: Option<String>,
    stale: HashMap<String, Duration>,
    read_in_vain_at: Option<Duration>,
}

impl SourceChooser {
    /// The first in rank that is not passed over at `now`; `own` stands for the store, and so does nobody.
    pub fn choose(&mut self, now: Duration, group: &[WireDaemon], own: &str) -> Source {
        self.passed_over.retain(|_, until| now < *until);
        let mut usable = group
            .iter()
            .filter(|daemon| !self.passed_over.contains_key(&daemon.name));
        let source = match usable.next() {
            Some(daemon) if daemon.name != own => Source::Daemon(daemon.clone()),
            _ => Source::Store,
        };
        self.note_asked(&source);
        source
    }

    fn note_asked(&mut self, source: &Source) {
        let asked = match source {
            Source::Store => None,
            Source::Daemon(daemon) => Some(daemon.name.clone()),
        };
        if self.asked != asked {
            self.unanswered = 0;
            self.asked = asked;
        }
    }

    /// Takes in that a question was not answered in time.
    pub fn on_silence(&mut self, now: Duration) {
        self.unanswered += 1;
        if self.unanswered >= SILENT_QUESTIONS {
            self.pass_over(now);
        }
    }

    /// Takes in an answer, and how old what it tells is; false where that is of no use. A source that knows
    /// nothing yet may have just started, so it is asked again like a silent one.
    pub fn on_answer(&mut self, now: Duration, view_age: Option<Duration>) -> bool {
        match view_age {
            Some(age) if age <= LONGEST_VIEW_AGE => {
                self.unanswered = 0;
                self.read_in_vain_at = None;
                self.stale.clear();
                true
            }
            Some(_) => {
                self.note_stale(now);
                self.pass_over(now);
                false
            }
            None => {
                self.on_silence(now);
                false
            }
        }
    }

    fn note_stale(&mut self, now: Duration) {
        if let Some(asked) = &self.asked {
            self.stale.insert(asked.clone(), now);
        }
    }

    /// Whether the store seems to be down for all: this daemon reads it in vain, and others that answered
    /// know nothing recent either.
    pub fn is_everybody_stale(&mut self, now: Duration) -> bool {
        self.stale.retain(|_, at| now < *at + STALE_MEMORY);
        let is_vain = self
            .read_in_vain_at
            .is_some_and(|at| now < at + STALE_MEMORY);
        is_vain && self.stale.len() >= STALE_OTHERS
    }

    /// Takes in how old the view is that `own` got from the store in the time `reading` that it has read it. Where that is too old, the others are asked, those behind in rank too.
    pub fn on_store(
        &mut self,
        now: Duration,
        own: &str,
        reading: Duration,
        view_age: Option<Duration>,
    ) {
        let is_recent = view_age.is_some_and(|age| age <= LONGEST_VIEW_AGE);
        if is_recent {
            self.read_in_vain_at = None;
            self.stale.clear();
        } else if reading >= STORE_PATIENCE {
            self.read_in_vain_at = Some(now);
            self.passed_over.insert(own.to_owned(), now + PASS_OVER);
        }
    }

    fn pass_over(&mut self, now: Duration) {
        if let Some(asked) = self.asked.take() {
            self.passed_over.insert(asked, now + PASS_OVER);
        }
        self.unanswered = 0;
    }
}
