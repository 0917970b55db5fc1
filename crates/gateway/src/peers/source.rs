//! Chooses the gateway to query: the first in rank of the own group that replies with a recent view.
//!
//! If there are several groups, only the first few gateways of each may read the store. During a complete outage of the
//! store each reader calls it again and again, and lists all its contents once it is back; the other members wait for
//! the readers. If the store refuses these few, they query the first of the other groups.
//!
//! Groups are ranked like gateways, by their first member. The gateway that would read the store for its group queries
//! the first of the groups ahead of it, so one gateway reads for all, and the number of calls to the store doesn't grow
//! with the number of groups.
//!
//! This module reads no clock: times are durations since a fixed moment of a monotonic clock.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::directory::{name_digest, ranks_before};
use super::message::WireDaemon;

/// How long a source is skipped after it didn't reply or had no recent view.
const SKIP_PERIOD: Duration = Duration::from_millis(2500);

/// The same if the source had no recent view and only a few gateways may read the store, or if its view was older than
/// that of this gateway: it may have a newer one within a moment. Shorter than the time between two rounds of queries,
/// so that each round includes it.
const SHORT_SKIP_PERIOD: Duration = Duration::from_millis(400);

/// The number of consecutive queries without a reply after which a source is skipped.
const MAX_UNANSWERED: u32 = 2;

/// How long a gateway that replies without having any view remains one of the few readers: it may have just started and
/// be listing the replicas. As long as it itself reads the store without success before it queries others.
const STARTING_TIMEOUT: Duration = STORE_READ_TIMEOUT;

/// How long a gateway reads the store without success before it queries others.
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(1300);

/// How long it is remembered that a source had no recent view.
const STALE_RETENTION: Duration = Duration::from_millis(4000);

/// The number of other gateways without a recent view that it takes to consider the store down for all.
const MIN_STALE_PEERS: usize = 2;

/// The number of gateways of a group that may read the store if there are other groups to query. In an outage in which
/// the store refuses a third of all machines, the probability that it refuses all four of a group is one in 80.
const MAX_READERS: usize = 4;

/// The maximum age of a source's view. A draining replica may get requests for 2 s (`drainMs`); a gateway whose source
/// is cut off needs up to 0.4 s more to find that out if others don't reply either, and the time for a list. A working
/// source proves its view every 0.9 s, or every 1.4 s if each answer of the store takes 0.24 s.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1400);

/// The same if only a few gateways may read the store: the others learn one round of queries later than the next reader
/// that a reader is cut off, and a draining replica may get requests for 3 s.
const MAX_VIEW_AGE_WITH_GROUPS: Duration = Duration::from_millis(1700);

/// The age of the own view from which the store may be considered down for all. By then the gateways that queried this
/// one have read the store themselves, if it answers them; before, they only know what they learned from this one.
const MIN_OUTAGE_VIEW_AGE: Duration = Duration::from_millis(2500);

/// The minimum time for which a gateway reads the store after its view had become too old. When it starts reading it
/// lists everything; the source that it could follow has trouble, and it would soon have to list everything again.
/// Reading every 0.9 s for this time costs as much as listing six kinds of objects.
const MIN_READING_TIME: Duration = Duration::from_secs(5);

/// Where a gateway learns the state in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The gateway reads the store itself.
    Store,
    /// The gateway queries this other gateway.
    Daemon(WireDaemon),
}

impl Source {
    /// The address of the queried gateway.
    pub fn address(&self) -> Option<String> {
        match self {
            Self::Store => None,
            Self::Daemon(daemon) => Some(daemon.peers.clone()),
        }
    }
}

/// Chooses the source from the outcomes of earlier queries.
#[derive(Debug, Default)]
pub struct SourceChooser {
    /// Gateways that did not reply when they were last queried.
    silent: HashSet<String>,
    skipped_until: HashMap<String, Duration>,
    unanswered_count: u32,
    current: Option<String>,
    stale_at: HashMap<String, Duration>,
    /// Since when a gateway has replied that it has no view yet.
    starting_since: HashMap<String, Duration>,
    store_failed_at: Option<Duration>,
    is_last_resort: bool,
    is_store_next: bool,
    /// Until when this gateway reads the store, even if another gateway could be queried.
    reads_store_until: Duration,
    /// The other gateways that could be queried when the source was last chosen.
    other_candidates: Vec<String>,
    may_read: bool,
    has_other_groups: bool,
    has_just_started: bool,
}

impl SourceChooser {
    /// The first in rank that isn't skipped at `now`; `own` stands for the store, and so does the absence of any.
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
        self.set_current(&source);
        source
    }

    /// Records whether this gateway has just started and needs all replicas, perhaps together with its whole group: it
    /// then queries any of the first readers whose machines have the same capacity as the first one's.
    pub fn set_just_started(&mut self, has_just_started: bool) {
        self.has_just_started = has_just_started;
    }

    /// The maximum age of the own view before another source is needed.
    pub fn max_view_age(&self) -> Duration {
        match self.has_other_groups {
            true => MAX_VIEW_AGE_WITH_GROUPS,
            false => MAX_VIEW_AGE,
        }
    }

    /// Records a query without a usable reply, and the age of the own view. If that is too old by now, the store is
    /// read next, provided that this gateway may call it: any further gateway might not reply either.
    pub fn on_unusable_reply(&mut self, own_view_age: Option<Duration>) {
        self.is_store_next = own_view_age.is_some_and(|age| age > self.max_view_age());
    }

    /// The gateways of `group` that may read the store: the first in rank that reply.
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

    /// The first gateway of the groups ahead of the own one that isn't skipped; none while this gateway has just started,
    /// because the others may have started with it and callers are waiting.
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

    /// The one of `readers` whose skip period ends first, when all of them are skipped.
    fn next_retried<'a>(&self, readers: &[&'a WireDaemon]) -> Option<&'a WireDaemon> {
        let until = |daemon: &&&WireDaemon| self.skipped_until.get(&daemon.name).copied();
        readers.iter().min_by_key(until).copied()
    }

    /// Whether this gateway may call the store on its own account, as of the last choice.
    pub fn may_read(&self) -> bool {
        self.may_read
    }

    /// Whether no other gateway is left to query immediately if the chosen source turns out unusable.
    pub fn is_last_resort(&self) -> bool {
        self.is_last_resort
    }

    /// The first in rank that replied when it was last queried, or has not been queried.
    pub fn leader<'a>(&self, group: &'a [WireDaemon]) -> Option<&'a WireDaemon> {
        group
            .iter()
            .find(|daemon| !self.silent.contains(&daemon.name))
    }

    fn set_current(&mut self, source: &Source) {
        let current = match source {
            Source::Store => None,
            Source::Daemon(daemon) => Some(daemon.name.clone()),
        };
        if self.current != current {
            self.unanswered_count = 0;
            self.current = current;
        }
    }

    /// Records that a query timed out.
    pub fn on_timeout(&mut self, now: Duration) {
        self.unanswered_count += 1;
        if self.unanswered_count >= MAX_UNANSWERED {
            self.silent.extend(self.current.clone());
            self.skip(now);
        }
    }

    /// Records a reply with the ages of its view of the replicas and of its proof of the configuration; false if one of
    /// them is unusable: a source that the store refuses learns of replicas from others, but can't read a newer
    /// configuration. A source without any view may have just started and is queried again: if every gateway may read
    /// the store, the reply counts as a time-out; otherwise the source is skipped briefly, and doesn't make room for
    /// another reader at once.
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

    /// Records that the queried gateway has no view yet; true if it is one of the few readers and has not said so for
    /// long. If it were skipped like one that doesn't reply, all members of a large group that started together would
    /// become readers one after the other, and their lists would fill the store's link for seconds.
    fn may_be_starting(&mut self, now: Duration) -> bool {
        let Some(current) = self.current.clone().filter(|_| self.has_other_groups) else {
            return false;
        };
        let since = *self.starting_since.entry(current).or_insert(now);
        now < since + STARTING_TIMEOUT
    }

    /// Records that a reply had an older view than this gateway: the next gateway is queried.
    pub fn on_older_view(&mut self, now: Duration) {
        self.skip_for(now, SHORT_SKIP_PERIOD);
    }

    /// Records that the store doesn't answer the gateway `own`, which follows another gateway meanwhile and continues to
    /// do so. While it retried the store its own view would become too old, and the gateways that query it would all
    /// read the store.
    pub fn on_store_failing(&mut self, now: Duration, own: &str) {
        self.skipped_until.insert(own.to_owned(), now + SKIP_PERIOD);
    }

    /// Records that a reply relays what this gateway itself has read from the store, so the queried gateway can't read
    /// it. If it were followed, nobody would read the store until all views were too old, and this gateway would then
    /// have to list everything again.
    pub fn on_own_view(&mut self, now: Duration) {
        self.skip(now);
    }

    fn record_stale(&mut self, now: Duration) {
        if let Some(current) = &self.current {
            self.stale_at.insert(current.clone(), now);
        }
    }

    /// Whether the store seems to be down for all: this gateway, whose view is `own_view_age` old, reads it without
    /// success, others that replied have no recent view either, and no other gateway is left that could have one.
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

    /// Records the age of the view that `own` got from the store after reading it for the time `reading`. If it is too
    /// old, other gateways are queried, including those behind in rank.
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

/// `readers` in the order in which the gateway `own` queries them for all replicas: the leading readers of equal
/// capacity are rotated by the hash of its name. The processor of one reader can send all pages to about a hundred
/// members in a second.
fn rotated_among_equals<'a>(readers: &[&'a WireDaemon], own: &str) -> Vec<&'a WireDaemon> {
    let mut order = readers.to_vec();
    let max = readers.first().map(|first| first.capacity);
    let is_equal = |daemon: &&&WireDaemon| Some(daemon.capacity) == max;
    let equals = readers.iter().take_while(is_equal).count();
    let rotation = name_digest(own) as usize % equals.max(1);
    order[..equals].rotate_left(rotation);
    order
}
