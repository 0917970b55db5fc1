//! The state shared by the tasks that synchronize this gateway with its peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;

use super::change_log::ChangeLog;
use super::directory::{Directory, name_digest, short_digest};
use super::followed_log::FollowedLog;
use super::message::{Item, LoadStatus, WireDaemon, WirePrompt};
use super::packed_pages::PackedPages;
use super::prompt_relay::PromptRelay;
use super::relays::Relays;
use super::view::View;
use crate::cache::CacheUpdate;

/// The minimum size of a prompt, in tokens to prefill, that is reported to others; streams with a pause target always are.
pub(super) const MIN_REPORTED_TOKENS: u64 = 1200;

/// The number of prompts in a datagram. With ids of usual length this many stay below the
/// size limit of a datagram, 1,200 bytes.
pub const MAX_PROMPTS: usize = 15;

/// The number of own prompts that are reported at once; further ones are dropped. Two datagrams take a burst of some thirty
/// callers within the 15 ms for which changes are batched.
const MAX_OWN_PROMPTS: usize = 2 * MAX_PROMPTS;

/// The number of seeds that are queried before the store. One that doesn't reply takes 0.65 s and is then skipped for
/// 2.5 s, so all of them have failed before the first one's turn comes again, and this gateway reads the store.
const MAX_SEEDS: usize = 3;

/// How long a gateway that has just started waits for all replicas from its source before it lists them itself: as long
/// as others wait for a reader without a view.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1300);

/// The interval at which it checks whether the source has sent them.
const FIRST_LIST_POLL: Duration = Duration::from_millis(20);

/// The state shared by the tasks that synchronize this gateway with its peers.
#[derive(Debug)]
pub struct Peers {
    /// The known replicas and gateways.
    pub log: RefCell<ChangeLog>,
    /// Cached pages of [`Peers::log`] in the packed form.
    pub(super) packed_pages: RefCell<PackedPages>,
    /// Wakes the task that sends changes to others.
    pub outbox_changed: Notify,
    /// Whether this gateway reads the store itself.
    pub is_reader: Cell<bool>,
    /// Whether this gateway is one of those that may call the store on their own account; true for a gateway that has
    /// just started until it has chosen a source.
    pub may_read: Cell<bool>,
    /// Wakes the tasks that wait for a change of [`Peers::is_reader`].
    pub reader_changed: Notify,
    /// Whether this gateway leads its group: those ahead of it in rank don't reply.
    pub is_leader: Cell<bool>,
    /// Wakes the tasks that wait for a change of [`Peers::is_leader`].
    pub(super) leader_changed: Notify,
    /// The address of the gateway that this one queries; none if it reads the store itself.
    pub(super) source: RefCell<Option<String>>,
    /// The address of the group's leader, if that is another gateway.
    pub(super) leader: RefCell<Option<String>>,
    /// The receivers in other groups.
    pub(super) relays: Relays,
    /// The ranked gateways, and the count of gateway changes for which they were ranked.
    directory: RefCell<Option<(u64, Rc<Directory>)>>,
    has_all_daemons: Cell<bool>,
    rotation: Cell<u32>,
    /// Changes in the contents of prompt-cache stores that have yet to be sent to the group.
    pub(super) cached_news: RefCell<Vec<CacheUpdate>>,
    /// Wakes the task that sends them.
    pub(super) cached_news_added: Notify,
    /// Whether this gateway, as the reader, watches the replicas in the store.
    pub follows_replicas: Cell<bool>,
    pub(super) view: View,
    pub(super) reader_since: Cell<Duration>,
    pub(super) seeds: Vec<WireDaemon>,
    pub(super) own: WireDaemon,
    pub(super) followers: RefCell<HashMap<SocketAddr, Instant>>,
    /// When each querying gateway was last sent the notices of replicas.
    pub(super) reminded_at: RefCell<HashMap<SocketAddr, Instant>>,
    pub(super) followed: RefCell<FollowedLog>,
    pub(super) nonce: Cell<u64>,
    pub(super) ask_now: Notify,
    pub(super) load_statuses: RefCell<Vec<LoadStatus>>,
    pub(super) prompts: RefCell<Vec<WirePrompt>>,
    pub(super) prompt_relay: PromptRelay,
    pub(super) must_announce_changes: Cell<bool>,
    pub(super) must_announce_store: Cell<bool>,
    /// Whether a source has been chosen, which also sets [`Peers::may_read`].
    has_chosen_source: Cell<bool>,
    /// Wakes the task that waits for the first choice.
    source_chosen: Notify,
    /// The highest version of the configuration that another gateway has reported, and the last gateway that reported it.
    configuration_holder: Cell<Option<(u64, SocketAddr)>>,
}

impl Peers {
    /// The state of the gateway `own`; `incarnation` differs from that of every other start.
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

    /// Records that the gateway at `holder` has this version of the configuration.
    pub(super) fn record_configuration_holder(&self, version: u64, holder: SocketAddr) {
        let known = self.configuration_holder.get();
        if version > 0 && known.is_none_or(|(known, _)| known <= version) {
            self.configuration_holder.set(Some((version, holder)));
        }
    }

    /// The gateway that last reported the highest version of the configuration.
    pub(super) fn configuration_holder(&self) -> Option<SocketAddr> {
        self.configuration_holder.get().map(|(_, holder)| holder)
    }

    /// This gateway.
    pub fn own(&self) -> &WireDaemon {
        &self.own
    }

    /// The known gateways, ranked again only if they have changed.
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

    /// The gateways that may be queried: the own group, or the first seeds until all gateways are known.
    pub(super) fn group(&self, directory: &Directory) -> Vec<WireDaemon> {
        if self.has_all_daemons.get() || self.seeds.is_empty() {
            return directory.group.clone();
        }
        let seeds = self.seeds.iter().take(MAX_SEEDS);
        seeds.chain([&self.own]).cloned().collect()
    }

    /// Whether the store lists a gateway with this address and digest of its name. Until all gateways are known, the addresses
    /// of seeds count too, whose names the settings don't tell.
    pub(super) fn is_member(&self, address: SocketAddr, name: u64) -> bool {
        let address = address.to_string();
        let is_seed = || self.seeds.iter().any(|seed| seed.peers == address);
        let is_listed = self
            .directory()
            .all()
            .any(|daemon| daemon.peers == address && name_digest(&daemon.name) == name);
        is_listed || (!self.are_daemons_known() && is_seed())
    }

    /// Records that all gateways are known that another gateway or the store lists. Before that, ranks are meaningless:
    /// some of the known gateways may know less than this one.
    pub fn set_daemons_known(&self) {
        self.has_all_daemons.set(true);
    }

    /// Whether every gateway is known, see [`Peers::set_daemons_known`].
    pub fn are_daemons_known(&self) -> bool {
        self.has_all_daemons.get()
    }

    /// The rank of this gateway in its group; 0 is the first.
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

    /// Records that the known state was in the store at `moment`, read by this gateway.
    pub fn prove_view(&self, moment: Instant) {
        let own = self.log.borrow().id();
        self.view.prove(moment, Some(own), Instant::now());
    }

    /// Records that the reader of the whole store with this log id had the known state at `moment`.
    pub(super) fn prove_relayed_view(&self, moment: Instant, reader: Option<u64>) {
        self.view.prove(moment, reader, Instant::now());
    }

    /// The log id of the reader of the store from which the known state came.
    pub(super) fn view_reader_log(&self) -> Option<u64> {
        self.view.reader()
    }

    /// How long ago a reader of the whole store had the known state.
    pub fn view_age(&self) -> Option<Duration> {
        self.view.age(Instant::now())
    }

    /// Since when every replica that was listed has been seen here, see [`View::uninterrupted_since`].
    pub fn view_uninterrupted_since(&self) -> Option<Instant> {
        self.view.uninterrupted_since()
    }

    /// Until when a replica whose entry was removed at `now` stays in use, see [`View::keep_until`].
    pub fn keep_until(&self, now: Instant, in_touch_at: Option<Instant>) -> Option<Instant> {
        self.view.keep_until(now, in_touch_at)
    }

    /// Waits until this gateway has to read the store itself.
    pub async fn wait_until_reader(&self) {
        while !self.is_reader.get() {
            self.reader_changed.notified().await;
        }
    }

    /// Queries the source immediately.
    pub fn ask_now(&self) {
        self.ask_now.notify_one();
    }

    /// Waits until another gateway reads the store for this one.
    pub async fn wait_until_follower(&self) {
        while self.is_reader.get() {
            self.reader_changed.notified().await;
        }
    }

    /// Records whether this gateway may read the store for its group, after a source has been chosen.
    pub(super) fn set_may_read(&self, may_read: bool) {
        self.may_read.set(may_read);
        if !self.has_chosen_source.replace(true) {
            self.source_chosen.notify_waiters();
        }
    }

    /// Whether this gateway, which has just started, must list the replicas itself: it may read the store for its group,
    /// or its source has not sent all of them in time. The lists of hundreds of gateways that start together would fill
    /// the store's link, and those of the readers would queue behind them.
    pub async fn must_list_at_start(&self) -> bool {
        while !self.has_chosen_source.get() {
            self.source_chosen.notified().await;
        }
        if self.may_read.get() {
            return true;
        }
        let until_informed = async {
            while self.view_age().is_none() {
                tokio::time::sleep(FIRST_LIST_POLL).await;
            }
        };
        let result = tokio::time::timeout(FIRST_LIST_TIMEOUT, until_informed).await;
        result.is_err()
    }

    /// Waits until this gateway leads its group.
    pub async fn wait_until_leader(&self) {
        while !self.is_leader.get() {
            self.leader_changed.notified().await;
        }
    }

    /// The address of the gateway that this one queries; none if it reads the store itself.
    pub fn source_address(&self) -> Option<String> {
        self.source.borrow().clone()
    }

    /// The rotation for the next report.
    pub(super) fn next_rotation(&self) -> u32 {
        let rotation = self.rotation.get().wrapping_add(1);
        self.rotation.set(rotation);
        rotation
    }

    /// Records which gateway leads the group.
    pub(super) fn set_leader(&self, leader: Option<&WireDaemon>) {
        let is_leader = leader.is_some_and(|leader| leader.name == self.own.name);
        let other = leader.filter(|_| !is_leader);
        self.leader
            .replace(other.map(|leader| leader.peers.clone()));
        if self.is_leader.replace(is_leader) != is_leader {
            self.leader_changed.notify_waiters();
        }
    }

    /// Sends to the group what this gateway has learned of a prompt-cache store.
    pub fn announce_cached(&self, news: CacheUpdate) {
        if news.is_known && !news.is_from_start && news.changes.is_empty() {
            return;
        }
        self.cached_news.borrow_mut().push(news);
        self.cached_news_added.notify_one();
    }

    /// The nonce for the next query.
    pub(crate) fn next_nonce(&self) -> u64 {
        let nonce = self.nonce.get() + 1;
        self.nonce.set(nonce);
        nonce
    }

    /// Reports the state of a replica's weight load to every gateway.
    pub fn report_load_status(&self, status: LoadStatus) {
        self.load_statuses.borrow_mut().push(status);
        self.outbox_changed.notify_one();
    }

    /// Reports a prompt that was dispatched to a replica, if it is long, has prefixes to cache, or starts a stream with a
    /// pause target.
    pub fn report_prompt(&self, mut prompt: WirePrompt) {
        prompt.sender = short_digest(&self.own.name);
        let is_short = prompt.tokens < MIN_REPORTED_TOKENS;
        if is_short && prompt.prefixes.is_empty() && !prompt.is_stream_with_pause_target() {
            return;
        }
        self.prompt_relay.gather(&prompt);
        let mut prompts = self.prompts.borrow_mut();
        if prompts.len() < MAX_OWN_PROMPTS {
            prompts.push(prompt);
            self.outbox_changed.notify_one();
        }
    }

    /// Restarts the transfer from the source's change log, after this gateway has learned of replicas or gateways
    /// elsewhere.
    pub fn reset_followed_log(&self) {
        self.followed.borrow_mut().reset();
    }

    /// Announces to every gateway that the store answers again.
    pub fn announce_store(&self) {
        self.must_announce_store.set(true);
        self.outbox_changed.notify_one();
    }

    /// Notifies the gateways that query this one of changes.
    pub fn announce_changes(&self) {
        self.must_announce_changes.set(true);
        self.outbox_changed.notify_one();
    }
}
