//! What a daemon knows through its peers, and whom it tells.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;

use super::change_log::ChangeLog;
use super::directory::{Directory, short_digest};
use super::followed_log::FollowedLog;
use super::message::{Item, LoadStatus, WireDaemon, WirePrompt};
use super::packed_pages::PackedPages;
use super::prompt_relay::PromptRelay;
use super::relays::Relays;
use super::view::View;
use crate::cache::CachedNews;

/// Tokens from which others are told what a replica was given to read.
pub(super) const MIN_REPORTED_TOKENS: u64 = 1200;

/// Prompts of one datagram; more are dropped. So many stay below the bound of a datagram, 1,200 bytes, with
/// ids of usual length.
pub const MAX_PROMPTS: usize = 18;

/// Seeds that are asked before the store. Each that is silent takes 0.65 s and is then passed over for 2.5 s: all of them have
/// been asked in vain before the first one has its turn again, and this daemon reads the store.
const MAX_SEEDS: usize = 3;

/// How long a daemon that has just started waits for its source to tell it all replicas before it lists them itself: as long
/// as others wait for a reader that knows nothing yet.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1300);

/// How often it looks whether it was told.
const FIRST_LIST_POLL: Duration = Duration::from_millis(20);

/// What a daemon knows through its peers, and whom it tells.
#[derive(Debug)]
pub struct Peers {
    /// Replicas and daemons.
    pub log: RefCell<ChangeLog>,
    /// Pages of it that others asked for.
    pub(super) packed_pages: RefCell<PackedPages>,
    /// Wakes the task that tells others of news.
    pub outbox_changed: Notify,
    /// Whether this daemon reads the store itself.
    pub is_reader: Cell<bool>,
    /// Whether this daemon is one of those that may call the store on their own account; a daemon that has just started
    /// is, until it has asked others.
    pub may_read: Cell<bool>,
    /// Wakes the tasks that wait to become the reader.
    pub reader_changed: Notify,
    /// Whether this daemon leads its group: those before it in rank are silent.
    pub is_leader: Cell<bool>,
    /// Wakes the tasks that wait to lead.
    pub(super) leader_changed: Notify,
    /// The address of the daemon that this one asks; none where it reads the store itself.
    pub(super) source: RefCell<Option<String>>,
    /// The address of the leader of the group, where that is another daemon.
    pub(super) leader: RefCell<Option<String>>,
    /// Whom to send to in other groups.
    pub(super) relays: Relays,
    /// The daemons ranked, and the number of changes of daemons at which they were.
    directory: RefCell<Option<(u64, Rc<Directory>)>>,
    has_all_daemons: Cell<bool>,
    rotation: Cell<u32>,
    /// What this daemon learnt of stores of cached prompt work, to be told to the group.
    pub(super) cached_news: RefCell<Vec<CachedNews>>,
    /// Wakes the task that tells it.
    pub(super) cached_news_added: Notify,
    /// Whether this daemon, as the reader, follows the replicas.
    pub follows_replicas: Cell<bool>,
    pub(super) view: View,
    pub(super) reader_since: Cell<Duration>,
    pub(super) seeds: Vec<WireDaemon>,
    pub(super) own: WireDaemon,
    pub(super) followers: RefCell<HashMap<SocketAddr, Instant>>,
    /// When those who ask were last told what replicas say of themselves.
    pub(super) reminded_at: RefCell<HashMap<SocketAddr, Instant>>,
    pub(super) followed: RefCell<FollowedLog>,
    pub(super) nonce: Cell<u64>,
    pub(super) ask_now: Notify,
    pub(super) load_statuses: RefCell<Vec<LoadStatus>>,
    pub(super) prompts: RefCell<Vec<WirePrompt>>,
    pub(super) prompt_relay: PromptRelay,
    pub(super) must_announce_changes: Cell<bool>,
    pub(super) must_announce_store: Cell<bool>,
    /// Whether a source has been chosen, and with it whether this daemon may read the store.
    has_chosen_source: Cell<bool>,
    /// Wakes the task that waits for that.
    source_chosen: Notify,
    /// The highest version of the configuration that another daemon told, and the last one that told it.
    configuration_holder: Cell<Option<(u64, SocketAddr)>>,
}

impl Peers {
    /// The peers of the daemon `own`; `life` differs from that of every other life.
    pub fn new(own: WireDaemon, seeds: Vec<WireDaemon>, incarnation: u64) -> Self {
        Self {
            log: RefCell::new(ChangeLog::new(incarnation)),
            packed_pages: RefCell::default(),
            outbox_changed: Notify::new(),
            is_reader: Cell::new(false),
            may_read: Cell::new(true),
            is_leader: Cell::new(false),
            leader_changed: Notify::new(),
            source: RefCell::new(None),
            leader: RefCell::new(None),
            relays: Relays::new(Instant::now()),
            directory: RefCell::new(None),
            has_all_daemons: Cell::new(false),
            rotation: Cell::new(0),
            cached_news: RefCell::new(Vec::new()),
            cached_news_added: Notify::new(),
            follows_replicas: Cell::new(false),
            view: View::default(),
            reader_since: Cell::new(Duration::ZERO),
            seeds,
            reader_changed: Notify::new(),
            own,
            followers: RefCell::new(HashMap::new()),
            reminded_at: RefCell::new(HashMap::new()),
            followed: RefCell::default(),
            nonce: Cell::new(incarnation << 20),
            ask_now: Notify::new(),
            load_statuses: RefCell::new(Vec::new()),
            prompts: RefCell::new(Vec::new()),
            prompt_relay: PromptRelay::default(),
            must_announce_changes: Cell::new(false),
            must_announce_store: Cell::new(false),
            has_chosen_source: Cell::new(false),
            source_chosen: Notify::new(),
            configuration_holder: Cell::new(None),
        }
    }

    /// Takes in that the daemon at `holder` holds this version of the configuration.
    pub(super) fn note_configuration(&self, version: u64, holder: SocketAddr) {
        let known = self.configuration_holder.get();
        if version > 0 && known.is_none_or(|(known, _)| known <= version) {
            self.configuration_holder.set(Some((version, holder)));
        }
    }

    /// Who holds the highest version of the configuration that another daemon told.
    pub(super) fn configuration_holder(&self) -> Option<SocketAddr> {
        self.configuration_holder.get().map(|(_, holder)| holder)
    }

    /// This daemon.
    pub fn own(&self) -> &WireDaemon {
        &self.own
    }

    /// The daemons known, ranked anew where they have changed.
    pub fn directory(&self) -> Rc<Directory> {
        let log = self.log.borrow();
        let changes = log.daemon_changes();
        let mut ranked = self.directory.borrow_mut();
        if ranked.as_ref().is_none_or(|(known, _)| *known != changes) {
            let daemons = log.items().filter_map(|item| match item {
                Item::Daemon(daemon) => Some(daemon.clone()),
                Item::Replica(_) => None,
            });
            let daemons: Vec<WireDaemon> = daemons.collect();
            *ranked = Some((changes, Rc::new(Directory::new(&daemons, &self.own))));
        }
        ranked
            .as_ref()
            .map(|(_, directory)| Rc::clone(directory))
            .unwrap_or_default()
    }

    /// Those who may be asked: the own group, or the first seeds as long as not all daemons are known.
    pub(super) fn group(&self, directory: &Directory) -> Vec<WireDaemon> {
        if self.has_all_daemons.get() || self.seeds.is_empty() {
            return directory.group.clone();
        }
        let seeds = self.seeds.iter().take(MAX_SEEDS);
        seeds.chain([&self.own]).cloned().collect()
    }

    /// Takes in that every daemon is known that another daemon or the store lists. Before that, ranks mean nothing:
    /// some of the daemons known may know less than this one.
    pub fn note_daemons_known(&self) {
        self.has_all_daemons.set(true);
    }

    /// Whether every daemon is known, see [`Peers::note_daemons_known`].
    pub fn are_daemons_known(&self) -> bool {
        self.has_all_daemons.get()
    }

    /// The place of this daemon in its group; 0 is the first.
    pub fn rank(&self) -> u32 {
        let directory = self.directory();
        let position = directory
            .group
            .iter()
            .position(|member| member.name == self.own.name);
        position
            .and_then(|position| u32::try_from(position).ok())
            .unwrap_or(0)
    }

    /// Takes in that all that is known here was in the store at `moment`, as this daemon has read.
    pub fn prove_view(&self, moment: Instant) {
        let own = self.log.borrow().id();
        self.view.prove(moment, Some(own), Instant::now());
    }

    /// Takes in that all that is known here was known at `moment` to the reader of the whole store that has this log.
    pub(super) fn prove_told_view(&self, moment: Instant, reader: Option<u64>) {
        self.view.prove(moment, reader, Instant::now());
    }

    /// The log of the reader of the store that knew all that is known here.
    pub(super) fn view_reader_log(&self) -> Option<u64> {
        self.view.reader()
    }

    /// How long ago all that is known here was known to a reader of the whole store.
    pub fn view_age(&self) -> Option<Duration> {
        self.view.age(Instant::now())
    }

    /// Until when a replica whose entry is gone at `now` stays in use, see [`View::keep_until`].
    pub fn keep_until(&self, now: Instant, in_touch_at: Option<Instant>) -> Option<Instant> {
        self.view.keep_until(now, in_touch_at)
    }

    /// Waits until this daemon has to read the store itself.
    pub async fn until_reader(&self) {
        while !self.is_reader.get() {
            self.reader_changed.notified().await;
        }
    }

    /// Asks the source at once.
    pub fn ask_now(&self) {
        self.ask_now.notify_one();
    }

    /// Waits until another daemon reads the store for this one.
    pub async fn until_follower(&self) {
        while self.is_reader.get() {
            self.reader_changed.notified().await;
        }
    }

    /// Takes in whether this daemon may read the store for its group, as a source has been chosen.
    pub(super) fn set_may_read(&self, may_read: bool) {
        self.may_read.set(may_read);
        if !self.has_chosen_source.replace(true) {
            self.source_chosen.notify_waiters();
        }
    }

    /// Whether this daemon, which has just started, lists the replicas itself: where it may read the store for its group, or
    /// its source has not told it all of them in time. The lists of hundreds that start together would fill the
    /// store's link, and the readers would wait for theirs behind them.
    pub async fn must_list_at_start(&self) -> bool {
        while !self.has_chosen_source.get() {
            self.source_chosen.notified().await;
        }
        if self.may_read.get() {
            return true;
        }
        let until_told = async {
            while self.view_age().is_none() {
                tokio::time::sleep(FIRST_LIST_POLL).await;
            }
        };
        let told = tokio::time::timeout(FIRST_LIST_TIMEOUT, until_told).await;
        told.is_err()
    }

    /// Waits until this daemon leads its group.
    pub async fn until_leader(&self) {
        while !self.is_leader.get() {
            self.leader_changed.notified().await;
        }
    }

    /// The address of the daemon that this one asks; none where it reads the store itself.
    pub fn source_address(&self) -> Option<String> {
        self.source.borrow().clone()
    }

    /// A number that differs from report to report.
    pub(super) fn next_rotation(&self) -> u32 {
        let rotation = self.rotation.get().wrapping_add(1);
        self.rotation.set(rotation);
        rotation
    }

    /// Takes in which daemon leads the group.
    pub(super) fn set_leader(&self, leader: Option<&WireDaemon>) {
        let is_leader = leader.is_some_and(|leader| leader.name == self.own.name);
        let other = leader.filter(|_| !is_leader);
        self.leader
            .replace(other.map(|leader| leader.peers.clone()));
        if self.is_leader.replace(is_leader) != is_leader {
            self.leader_changed.notify_waiters();
        }
    }

    /// Tells the group what this daemon learnt of a store of cached prompt work.
    pub fn announce_cached(&self, news: CachedNews) {
        if news.is_known && !news.is_from_start && news.changes.is_empty() {
            return;
        }
        self.cached_news.borrow_mut().push(news);
        self.cached_news_added.notify_one();
    }

    /// A number for the next question.
    pub(super) fn next_nonce(&self) -> u64 {
        let nonce = self.nonce.get() + 1;
        self.nonce.set(nonce);
        nonce
    }

    /// Tells every daemon how a replica's loading of weights goes.
    pub fn report_load_status(&self, status: LoadStatus) {
        self.load_statuses.borrow_mut().push(status);
        self.outbox_changed.notify_one();
    }

    /// Reports to the other daemons which prompt a replica was given, where it has much to read or to keep.
    pub fn report_prompt(&self, mut prompt: WirePrompt) {
        prompt.sender = short_digest(&self.own.name);
        if prompt.tokens < MIN_REPORTED_TOKENS && prompt.prefixes.is_empty() {
            return;
        }
        self.prompt_relay.gather(&prompt);
        let mut prompts = self.prompts.borrow_mut();
        if prompts.len() < MAX_PROMPTS {
            prompts.push(prompt);
            self.outbox_changed.notify_one();
        }
    }

    /// Takes in that this daemon learnt of replicas or daemons otherwise than from the one that it asks.
    pub fn reset_followed_log(&self) {
        self.followed.borrow_mut().reset();
    }

    /// Announces to every daemon that the store answers again.
    pub fn announce_store(&self) {
        self.must_announce_store.set(true);
        self.outbox_changed.notify_one();
    }

    /// Tells those who ask this daemon that there are news.
    pub fn announce_changes(&self) {
        self.must_announce_changes.set(true);
        self.outbox_changed.notify_one();
    }
}
