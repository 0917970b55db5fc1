//! Whom a daemon asks: the first in rank of its group that answers with something recent.
//!
//! Where there are several groups, only the first few of each may read the store. While it is down for all, each of
//! them calls it again and again, and lists all that it keeps once it is back; the other members wait for them. Where
//! the store refuses these few, they ask the first of the other groups.
//!
//! Groups are ranked like daemons, by their first. The daemon that would read the store for its group asks the first of the groups
//! before it, so one daemon reads for all, and the calls to the store don't grow with the number of groups.
//!
//! Reads no clock: times are durations since any fixed moment of one steady clock.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::directory::{name_digest, ranks_before};
use super::message::WireDaemon;

/// How long a source is passed over after it was silent or knew nothing recent.
const SKIP_PERIOD: Duration = Duration::from_millis(2500);

/// The same where it knew nothing recent and only a few may read the store, or where it knew less than this daemon:
/// it may know more within a moment. Shorter than the time between two rounds of questions, so that each round asks it.
const SHORT_SKIP_PERIOD: Duration = Duration::from_millis(400);

/// Questions in a row without an answer after which a source is passed over.
const MAX_UNANSWERED: u32 = 2;

/// For how long a daemon that answers, but knows nothing yet, keeps its place among the few that may read the store: it may
/// have just started, and lists the replicas, as long as it itself reads the store in vain before it asks others.
const STARTING_TIMEOUT: Duration = STORE_READ_TIMEOUT;

/// How long a daemon reads the store in vain before it asks others.
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(1300);

/// For how long it is remembered that a source knew nothing recent.
const STALE_RETENTION: Duration = Duration::from_millis(4000);

/// Daemons that must know nothing recent before the store counts as down for all.
const MIN_STALE_PEERS: usize = 2;

/// Daemons of a group that may read the store, where there are other groups to ask. With a third of all machines
/// refused by the store, all four of a group are in one of 80 such outages.
const MAX_READERS: usize = 4;

/// How old what a source tells may be. A replica that is leaving may get requests for 2 s (`drainMs`), and a daemon whose
/// source is cut off needs up to 0.4 s more to find that out where others are silent too, and a list. A source that is
/// well proves its view each 0.9 s, or 1.4 s where each answer of the store takes 0.24 s.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1400);

/// The same where only a few may read the store: the others learn of a reader that is cut off one round of questions
/// later than the next reader does, and a replica that is leaving may get requests for 3 s.
const MAX_VIEW_AGE_WITH_GROUPS: Duration = Duration::from_millis(1700);

/// The age of the own view from which on the store may be down for all. By then daemons that asked this one have read
/// the store themselves where it is there for them; before, they know no more than this one has told them.
const MIN_OUTAGE_VIEW_AGE: Duration = Duration::from_millis(2500);

/// For how long a daemon reads the store that had to turn to it since its view had become too old. As it begins it lists everything;
/// whom it would follow is in trouble, and it would have to list all again. A read each 0.9 s for so long costs as much as
/// a list of six kinds.
const MIN_READING_TIME: Duration = Duration::from_secs(5);

/// Where a daemon learns what is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// It reads the store itself.
    Store,
    /// It asks this daemon.
    Daemon(WireDaemon),
}

impl Source {
    /// The address of the daemon that is asked.
    pub fn address(&self) -> Option<String> {
        match self {
            Self::Store => None,
            Self::Daemon(daemon) => Some(daemon.peers.clone()),
        }
    }
}

/// The choice of the source.
#[derive(Debug, Default)]
pub struct SourceChooser {
    /// Those that were silent when they were asked last.
    silent: HashSet<String>,
    skipped_until: HashMap<String, Duration>,
    unanswered_count: u32,
    current: Option<String>,
    stale_at: HashMap<String, Duration>,
    /// Since when those that answered last that they know nothing yet have answered so.
    starting_since: HashMap<String, Duration>,
    store_failed_at: Option<Duration>,
    is_last_resort: bool,
    is_store_next: bool,
    /// Until when this daemon reads the store, whoever else may be asked.
    reads_store_until: Duration,
    /// Those who could be asked, when the source was chosen last.
    other_candidates: Vec<String>,
    may_read: bool,
    has_other_groups: bool,
    has_just_started: bool,
}

impl SourceChooser {
    /// The first in rank that is not passed over at `now`; `own` stands for the store, and so does nobody.
    /// `other_groups` holds the first of each other group.
    pub fn choose(
        &mut self,
        now: Duration,
        group: &[WireDaemon],
        other_groups: &[WireDaemon],
        own: &str,
    ) -> Source {
        self.skipped_until.retain(|_, until| now < *until);
        if self.is_store_next {
            self.reads_store_until = now + MIN_READING_TIME;
        }
        let reads_on = now < self.reads_store_until;
        let readers = self.readers(group, !other_groups.is_empty());
        let may_read = readers.iter().any(|daemon| daemon.name == own);
        self.may_read = may_read;
        self.has_other_groups = !other_groups.is_empty();
        let others = other_groups.iter().filter(|_| may_read);
        let first = match self.has_just_started && !may_read {
            true => rotated_among_equals(&readers, own),
            false => readers.clone(),
        };
        let candidates = first.into_iter().chain(others);
        let others = candidates.clone().filter(|daemon| daemon.name != own);
        self.other_candidates = others.map(|daemon| daemon.name.clone()).collect();
        let mut usable = candidates.filter(|daemon| !self.skipped_until.contains_key(&daemon.name));
        let chosen = usable.next();
        self.is_last_resort = chosen.is_none();
        let chosen = match chosen {
            Some(daemon) if daemon.name == own && !reads_on => {
                self.earlier_reader(group, other_groups).or(chosen)
            }
            chosen => chosen,
        };
        let retried = || self.next_retried(&readers).filter(|_| !may_read);
        let turns_to_store =
            self.is_store_next && may_read && !self.skipped_until.contains_key(own);
        let source = match chosen.or_else(retried) {
            Some(daemon) if daemon.name != own && !turns_to_store => Source::Daemon(daemon.clone()),
            _ => Source::Store,
        };
        self.is_store_next = false;
        self.record_asked(&source);
        source
    }

    /// Takes in whether this daemon has just started, so that it is told all replicas, perhaps with all others of its group:
    /// it then asks any of the first readers whose machines carry as much as that of the first.
    pub fn set_just_started(&mut self, has_just_started: bool) {
        self.has_just_started = has_just_started;
    }

    /// How old what is known here may be before another source is needed.
    pub fn max_view_age(&self) -> Duration {
        match self.has_other_groups {
            true => MAX_VIEW_AGE_WITH_GROUPS,
            false => MAX_VIEW_AGE,
        }
    }

    /// Takes in how old the own view is after a question that brought nothing of use. One that is too old by now is read
    /// from the store at once, where this daemon may call it: each further one that is asked may be silent too.
    pub fn on_unusable_reply(&mut self, own_view_age: Option<Duration>) {
        self.is_store_next = own_view_age.is_some_and(|age| age > self.max_view_age());
    }

    /// Those of `group` that may read the store: the first in rank, but for those that are silent.
    fn readers<'a>(&self, group: &'a [WireDaemon], has_other_groups: bool) -> Vec<&'a WireDaemon> {
        let max = match has_other_groups {
            true => MAX_READERS,
            false => group.len(),
        };
        let is_silent = |daemon: &WireDaemon| {
            self.silent.contains(&daemon.name) && self.skipped_until.contains_key(&daemon.name)
        };
        let answering = group.iter().filter(|daemon| !is_silent(daemon));
        answering.take(max).collect()
    }

    /// The first of the groups before the own one that may be asked. Nobody is while this daemon has just started: the others
    /// may have started with it, and callers wait.
    fn earlier_reader<'a>(
        &self,
        group: &[WireDaemon],
        other_groups: &'a [WireDaemon],
    ) -> Option<&'a WireDaemon> {
        let first = group.first().filter(|_| !self.has_just_started)?;
        let mut before = other_groups
            .iter()
            .take_while(|other| ranks_before(other, first));
        before.find(|other| !self.skipped_until.contains_key(&other.name))
    }

    /// The one of `readers`, all of which are passed over, that is so for the shortest time.
    fn next_retried<'a>(&self, readers: &[&'a WireDaemon]) -> Option<&'a WireDaemon> {
        let until = |daemon: &&&WireDaemon| self.skipped_until.get(&daemon.name).copied();
        readers.iter().min_by_key(until).copied()
    }

    /// Whether the daemon for which a source was chosen last may call the store on its own account.
    pub fn may_read(&self) -> bool {
        self.may_read
    }

    /// Whether nobody is left to be asked at once where the chosen source is of no use.
    pub fn is_last_resort(&self) -> bool {
        self.is_last_resort
    }

    /// The first in rank that was not silent when it was asked last.
    pub fn leader<'a>(&self, group: &'a [WireDaemon]) -> Option<&'a WireDaemon> {
        group
            .iter()
            .find(|daemon| !self.silent.contains(&daemon.name))
    }

    fn record_asked(&mut self, source: &Source) {
        let current = match source {
            Source::Store => None,
            Source::Daemon(daemon) => Some(daemon.name.clone()),
        };
        if self.current != current {
            self.unanswered_count = 0;
            self.current = current;
        }
    }

    /// Takes in that a question was not answered in time.
    pub fn on_timeout(&mut self, now: Duration) {
        self.unanswered_count += 1;
        if self.unanswered_count >= MAX_UNANSWERED {
            self.silent.extend(self.current.clone());
            self.skip(now);
        }
    }

    /// Takes in an answer, and how old its view of the replicas and its proof of the configuration are; false where
    /// one of them is of no use: a source that the store refuses learns of replicas from others, but can't read a
    /// configuration that is newer than its own. One that knows nothing yet may have just started, so it is asked
    /// again: like a silent one where everybody may read the store, else without making room for others at once.
    pub fn on_reply(
        &mut self,
        now: Duration,
        view_age: Option<Duration>,
        proof_age: Option<Duration>,
    ) -> bool {
        let age = view_age.zip(proof_age).map(|(view, proof)| view.max(proof));
        if age.is_some()
            && let Some(current) = &self.current
        {
            self.silent.remove(current);
            self.starting_since.remove(current);
        }
        match age {
            Some(age) if age <= self.max_view_age() => {
                self.unanswered_count = 0;
                self.store_failed_at = None;
                self.stale_at.clear();
                true
            }
            Some(_) => {
                self.record_stale(now);
                self.skip_stale(now);
                false
            }
            None if self.may_be_starting(now) => {
                self.skip_for(now, SHORT_SKIP_PERIOD);
                false
            }
            None => {
                self.on_timeout(now);
                false
            }
        }
    }

    /// Takes in that the one that was asked knows nothing yet; true where it may read the store for others and
    /// has not said so for long. Were it passed over like a silent one, each member of a large group that has started
    /// with all others would become a reader in its turn, and their lists would fill the store's link for seconds.
    fn may_be_starting(&mut self, now: Duration) -> bool {
        let Some(current) = self.current.clone().filter(|_| self.has_other_groups) else {
            return false;
        };
        let since = *self.starting_since.entry(current).or_insert(now);
        now < since + STARTING_TIMEOUT
    }

    /// Takes in that an answer would have led back to an older view: the next one is asked.
    pub fn on_older_view(&mut self, now: Duration) {
        self.skip_for(now, SHORT_SKIP_PERIOD);
    }

    /// Takes in that the store fails the daemon `own`, which learns from another one meanwhile: it goes on to do so. While it tried
    /// to read the store again its own view would become too old, and those that ask it would all read the store.
    pub fn on_store_failing(&mut self, now: Duration, own: &str) {
        self.skipped_until.insert(own.to_owned(), now + SKIP_PERIOD);
    }

    /// Takes in that an answer tells what this daemon itself has read of the store. The one that was asked can't read it: were
    /// it followed, nobody would read the store until all views are too old, and then this daemon would list all anew.
    pub fn on_own_view(&mut self, now: Duration) {
        self.skip(now);
    }

    fn record_stale(&mut self, now: Duration) {
        if let Some(current) = &self.current {
            self.stale_at.insert(current.clone(), now);
        }
    }

    /// Whether the store seems to be down for all: this daemon, whose view is `own_view_age` old, reads it in vain,
    /// others that answered know nothing recent either, and nobody is left who may know more.
    pub fn is_store_down_for_all(&mut self, now: Duration, own_view_age: Option<Duration>) -> bool {
        self.stale_at.retain(|_, at| now < *at + STALE_RETENTION);
        let has_store_failed = self
            .store_failed_at
            .is_some_and(|at| now < at + STALE_RETENTION);
        let is_outage_long = own_view_age.is_none_or(|age| age >= MIN_OUTAGE_VIEW_AGE);
        let is_useless = |name: &String| {
            let knows_nothing =
                self.silent.contains(name) || self.starting_since.contains_key(name);
            knows_nothing || self.stale_at.contains_key(name)
        };
        let is_nobody_left = self.other_candidates.iter().all(is_useless);
        has_store_failed
            && is_outage_long
            && is_nobody_left
            && self.stale_at.len() >= MIN_STALE_PEERS
    }

    /// Takes in how old the view is that `own` got from the store in the time `reading` that it has read it. Where
    /// that is too old, the others are asked, those behind in rank too.
    pub fn on_store_view(
        &mut self,
        now: Duration,
        own: &str,
        reading: Duration,
        view_age: Option<Duration>,
    ) {
        let is_recent = view_age.is_some_and(|age| age <= self.max_view_age());
        if is_recent {
            self.store_failed_at = None;
            self.stale_at.clear();
        } else if reading >= STORE_READ_TIMEOUT {
            self.store_failed_at = Some(now);
            self.skipped_until.insert(own.to_owned(), now + SKIP_PERIOD);
        }
    }

    fn skip(&mut self, now: Duration) {
        self.skip_for(now, SKIP_PERIOD);
    }

    fn skip_stale(&mut self, now: Duration) {
        let time = match self.has_other_groups {
            true => SHORT_SKIP_PERIOD,
            false => SKIP_PERIOD,
        };
        self.skip_for(now, time);
    }

    fn skip_for(&mut self, now: Duration, time: Duration) {
        if let Some(current) = self.current.take() {
            self.skipped_until.insert(current, now + time);
        }
        self.unanswered_count = 0;
    }
}

/// `readers` in the order in which the daemon `own` asks them for all replicas: those whose machines carry as much as that
/// of the first take turns in being the first. The processor of one gives all pages to some hundred members in a second.
fn rotated_among_equals<'a>(readers: &[&'a WireDaemon], own: &str) -> Vec<&'a WireDaemon> {
    let mut order = readers.to_vec();
    let max = readers.first().map(|first| first.capacity);
    let is_equal = |daemon: &&&WireDaemon| Some(daemon.capacity) == max;
    let equals = readers.iter().take_while(is_equal).count();
    let rotation = name_digest(own) as usize % equals.max(1);
    order[..equals].rotate_left(rotation);
    order
}
