//! Asks the source, answers others, and passes news on.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use tokio::sync::Notify;

use super::change_log::ChangeLog;
use super::followed_log::FollowedLog;
use super::message::{
    Ask, Change, Item, Loading, MAX_DATAGRAM_BYTES, Message, RECEIVE_BYTES, Tell, WireDaemon,
    WireLease, WireWeights,
};
use super::source::{Source, SourceChooser, other_groups_first, ranked_group};
use super::view::View;
use crate::protocol::{LeaseRecord, ModelVersion};
use crate::state::GatewayState;
use crate::store::{self, name_weights};

/// Time between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// How long an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The shortest time between two questions.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(25);

/// For how long a daemon that asked is told of news.
const FOLLOWER_MEMORY: Duration = Duration::from_millis(1600);

/// How long news are gathered before others are told.
const NEWS_GATHERING: Duration = Duration::from_millis(15);

/// Tokens from which others are told what a replica was given to read.
const WORTH_TELLING: u64 = 1200;

/// Prompts that are told of at once; more are left out.
const MOST_WORK: usize = 24;

/// The size of a page of changes, in bytes, beside the rest of an answer.
const PAGE_BYTES: usize = MAX_DATAGRAM_BYTES - 350;

/// What a daemon knows through its peers, and whom it tells.
#[derive(Debug)]
pub struct Peers {
    /// Replicas and daemons.
    pub log: RefCell<ChangeLog>,
    /// Wakes whoever tells others of news.
    pub news: Notify,
    /// Whether this daemon reads the store itself.
    pub is_reader: Cell<bool>,
    /// Wakes the tasks that wait to become the reader.
    pub reader_changed: Notify,
    /// Whether this daemon, as the reader, follows the replicas.
    pub follows_replicas: Cell<bool>,
    view: View,
    reader_since: Cell<Duration>,
    seeds: Vec<WireDaemon>,
    own: WireDaemon,
    followers: RefCell<HashMap<SocketAddr, Instant>>,
    followed: RefCell<FollowedLog>,
    nonce: Cell<u64>,
    ask_now: Notify,
    outbox: RefCell<Vec<Loading>>,
    work: RefCell<Vec<(String, u64)>>,
    nudges: Cell<bool>,
}

impl Peers {
    /// The peers of the daemon `own`; `life` differs from that of every other life.
    pub fn new(own: WireDaemon, seeds: Vec<WireDaemon>, life: u64) -> Self {
        Self {
            log: RefCell::new(ChangeLog::new(life)),
            news: Notify::new(),
            is_reader: Cell::new(false),
            follows_replicas: Cell::new(false),
            view: View::default(),
            reader_since: Cell::new(Duration::ZERO),
            seeds,
            reader_changed: Notify::new(),
            own,
            followers: RefCell::new(HashMap::new()),
            followed: RefCell::default(),
            nonce: Cell::new(life << 20),
            ask_now: Notify::new(),
            outbox: RefCell::new(Vec::new()),
            work: RefCell::new(Vec::new()),
            nudges: Cell::new(false),
        }
    }

    /// This daemon.
    pub fn own(&self) -> &WireDaemon {
        &self.own
    }

    /// Every daemon known, this one too.
    pub fn daemons(&self) -> Vec<WireDaemon> {
        let log = self.log.borrow();
        let others = log.items().filter_map(|item| match item {
            Item::Daemon(daemon) if daemon.name != self.own.name => Some(daemon.clone()),
            _ => None,
        });
        let mut daemons: Vec<WireDaemon> = others.collect();
        daemons.push(self.own.clone());
        daemons
    }

    /// Those who may be asked: the daemons known, or else the seeds.
    fn group(&self) -> Vec<WireDaemon> {
        let daemons = self.daemons();
        match daemons.len() {
            1 if !self.seeds.is_empty() => {
                let mut group = self.seeds.clone();
                group.push(self.own.clone());
                group
            }
            _ => ranked_group(&daemons, &self.own),
        }
    }

    /// Takes in that all that is known here was known to a reader of the whole store at `moment`.
    pub fn prove_view(&self, moment: Instant) {
        self.view.prove(moment, Instant::now());
    }

    /// How long ago all that is known here was known to a reader of the whole store.
    pub fn view_age(&self) -> Option<Duration> {
        self.view.age(Instant::now())
    }

    /// Until when a replica whose entry is gone by now stays in use, see [`View::keep_until`].
    pub fn keep_until(&self) -> Option<Instant> {
        self.view.keep_until(Instant::now())
    }

    /// Waits until this daemon has to read the store itself.
    pub async fn until_reader(&self) {
        while !self.is_reader.get() {
            self.reader_changed.notified().await;
        }
    }

    /// Waits until another daemon reads the store for this one.
    pub async fn until_follower(&self) {
        while self.is_reader.get() {
            self.reader_changed.notified().await;
        }
    }

    /// Tells every daemon how a replica's loading of weights goes.
    pub fn tell_loading(&self, loading: Loading) {
        self.outbox.borrow_mut().push(loading);
        self.news.notify_one();
    }

    /// Tells the daemons of the group what a replica was given to read, where that is much.
    pub fn tell_work(&self, replica: &str, tokens: u64) {
        if tokens < WORTH_TELLING {
            return;
        }
        let mut work = self.work.borrow_mut();
        if work.len() < MOST_WORK {
            work.push((replica.to_owned(), tokens));
            self.news.notify_one();
        }
    }

    /// Takes in that this daemon learnt of replicas or daemons otherwise than from the one that it asks.
    pub fn learnt_elsewhere(&self) {
        self.followed.borrow_mut().start_anew();
    }

    /// Tells those who ask this daemon that there are news.
    pub fn nudge(&self) {
        self.nudges.set(true);
        self.news.notify_one();
    }
}

/// Asks, answers and tells for ever.
pub async fn run(state: Rc<GatewayState>, socket: UdpSocket) {
    let socket = match tokio::net::UdpSocket::from_std(socket) {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log_event!(gateway::PEER_LOST, "no socket for peers: {error}");
            return;
        }
    };
    let is_listed = store::join_daemons(&state).await;
    log::debug!("daemons listed at the start: {is_listed}");
    let (answers, answered) = tokio::sync::mpsc::unbounded_channel();
    ntex::rt::spawn(listen(Rc::clone(&state), Rc::clone(&socket), answers));
    ntex::rt::spawn(tell_news(Rc::clone(&state), Rc::clone(&socket)));
    ask(state, socket, answered).await;
}

type Answers = tokio::sync::mpsc::UnboundedReceiver<Tell>;

/// Asks the source again and again.
async fn ask(state: Rc<GatewayState>, socket: Rc<tokio::net::UdpSocket>, mut answers: Answers) {
    let mut chooser = SourceChooser::default();
    loop {
        state.take_reloaded();
        state.budgets.set_daemons(state.peers.daemons().len());
        state.forget_lapsed();
        let group = state.peers.group();
        let source = chooser.choose(state.now(), &group, &state.peers.own.name);
        set_reader(&state, &source);
        let has_more = match source {
            Source::Daemon(daemon) => {
                ask_daemon(&state, &socket, &daemon, &mut chooser, &mut answers).await
            }
            Source::Store => {
                let reading = state.now().saturating_sub(state.peers.reader_since.get());
                let own = &state.peers.own.name;
                chooser.on_store(state.now(), own, reading, state.peers.view_age());
                if chooser.is_everybody_stale(state.now()) {
                    log_event!(
                        gateway::STORE_DOWN_FOR_ALL,
                        "reading={reading:?} view_age={:?}",
                        state.peers.view_age()
                    );
                    state.weights.borrow_mut().store_is_down(Instant::now());
                }
                false
            }
        };
        let pause = if has_more {
            Duration::ZERO
        } else {
            ASK_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.peers.ask_now.notified() => tokio::time::sleep(SHORTEST_INTERVAL).await,
        }
    }
}

fn set_reader(state: &GatewayState, source: &Source) {
    let is_reader = *source == Source::Store;
    if state.peers.is_reader.replace(is_reader) != is_reader {
        log_event!(gateway::SOURCE_CHANGED, "source={source:?}");
        state.peers.reader_since.set(state.now());
        state.peers.learnt_elsewhere();
        state.peers.reader_changed.notify_waiters();
    }
}

/// Asks one daemon; true where it has more to tell.
async fn ask_daemon(
    state: &Rc<GatewayState>,
    socket: &tokio::net::UdpSocket,
    daemon: &WireDaemon,
    chooser: &mut SourceChooser,
    answers: &mut Answers,
) -> bool {
    let peers = &state.peers;
    let nonce = peers.nonce.get() + 1;
    peers.nonce.set(nonce);
    let (log, sequence, content) = peers.followed.borrow_mut().question(&peers.log.borrow());
    let question = Message::Ask(Ask {
        nonce,
        log,
        sequence,
        content,
    });
    let sent_at = Instant::now();
    send(socket, &question, &daemon.peers).await;
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, matching(answers, nonce)).await;
    let Ok(Some(answer)) = answer else {
        chooser.on_silence(state.now());
        peers.ask_now.notify_one();
        return false;
    };
    let view_age = answer.view_age_ms.map(Duration::from_millis);
    if !chooser.on_answer(state.now(), view_age) {
        peers.ask_now.notify_one();
        return false;
    }
    take_answer(state, answer, sent_at).await
}

async fn matching(answers: &mut Answers, nonce: u64) -> Option<Tell> {
    loop {
        let answer = answers.recv().await?;
        if answer.nonce == nonce {
            return Some(answer);
        }
    }
}

/// Takes in an answer; true where more is to come.
async fn take_answer(state: &Rc<GatewayState>, answer: Tell, sent_at: Instant) -> bool {
    take_weights_and_lease(state, &answer);
    take_changes(state, &answer);
    if let Some(moment) = moment_before(sent_at, answer.view_age_ms) {
        state.peers.prove_view(moment);
    }
    let configuration = state.configuration.load();
    let known = configuration.as_ref().map_or(0, |known| known.version);
    if known < answer.configuration {
        state.currency.want();
        return answer.has_more;
    }
    if known == answer.configuration
        && let Some(proved_at) = moment_before(sent_at, answer.proof_age_ms)
    {
        state.currency.prove(proved_at);
    }
    state.refresh_readiness();
    answer.has_more
}

fn moment_before(sent_at: Instant, age_ms: Option<u64>) -> Option<Instant> {
    sent_at.checked_sub(Duration::from_millis(age_ms?))
}

fn take_weights_and_lease(state: &GatewayState, answer: &Tell) {
    for weights in &answer.weights {
        let named = ModelVersion {
            model: weights.model.clone(),
            version: weights.version,
        };
        name_weights(state, &named, Duration::from_millis(weights.age_ms));
    }
    if let Some(lease) = &answer.lease {
        let record = LeaseRecord {
            holder: lease.holder.clone(),
            life: lease.life,
            token: lease.token,
            renewal: lease.renewal,
        };
        let now = state.now();
        let mut known = state.lease.borrow_mut();
        known.on_store_revision(now, answer.store_revision);
        known.on_list(now, Some((lease.revision, record)));
    } else {
        state.lease.borrow_mut().on_list(state.now(), None);
    }
}

fn take_changes(state: &GatewayState, answer: &Tell) {
    let changes = {
        let own = state.peers.log.borrow();
        state.peers.followed.borrow_mut().take(answer, &own)
    };
    for change in changes {
        state.apply(change);
    }
    if !answer.has_more {
        state.registry_changed();
    }
}

/// Reads datagrams for ever.
async fn listen(
    state: Rc<GatewayState>,
    socket: Rc<tokio::net::UdpSocket>,
    answers: tokio::sync::mpsc::UnboundedSender<Tell>,
) {
    let mut buffer = [0_u8; RECEIVE_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(SHORTEST_INTERVAL).await;
            continue;
        };
        match Message::decode(&buffer[..length]) {
            Some(Message::Ask(question)) => {
                state
                    .peers
                    .followers
                    .borrow_mut()
                    .insert(from, Instant::now());
                let answer = Message::Tell(tell(&state, &question));
                send_to(&socket, &answer, from).await;
            }
            Some(Message::Tell(answer)) => {
                // Whoever asked may have given up meanwhile.
                let _ = answers.send(answer);
            }
            Some(Message::Nudge) => state.peers.ask_now.notify_one(),
            Some(Message::Work(work)) => take_work(&state, &work),
            Some(Message::Loading(loading)) => take_loading(&state, &socket, loading).await,
            None => log::debug!("datagram of {from} does not decode"),
        }
    }
}

/// The answer to a question.
fn tell(state: &GatewayState, question: &Ask) -> Tell {
    let log = state.peers.log.borrow();
    let is_same = question.content != 0 && question.content == log.content();
    let page = match is_same {
        true => log.no_changes(),
        false => log.page(question.log, question.sequence, fits),
    };
    let configuration = state.configuration.load();
    let age = state.currency.age();
    let to_ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    // Rounded up: a proof may look older than it is, never newer.
    let to_ms_up = |time: Duration| to_ms(time) + 1;
    let weights = state.weights.borrow().all(Instant::now());
    Tell {
        nonce: question.nonce,
        proof_age_ms: age.map(to_ms_up),
        view_age_ms: state.peers.view_age().map(to_ms_up),
        store_revision: state.store_revision.get(),
        configuration: configuration.as_ref().map_or(0, |known| known.version),
        weights: weights
            .into_iter()
            .map(|(weights, age)| WireWeights {
                model: weights.model,
                version: weights.version,
                age_ms: to_ms(age),
            })
            .collect(),
        lease: state
            .lease
            .borrow()
            .seen()
            .map(|(revision, record)| WireLease {
                revision,
                holder: record.holder.clone(),
                life: record.life,
                token: record.token,
                renewal: record.renewal,
            }),
        log: log.id(),
        sequence: page.sequence,
        is_from_start: page.is_from_start,
        has_more: page.has_more,
        changes: page.changes,
        is_same,
    }
}

/// Whether one more change fits into a datagram.
fn fits(changes: &[Change], next: &Change) -> bool {
    let size: usize = changes.iter().map(Change::wire_size).sum();
    size + next.wire_size() <= PAGE_BYTES
}

/// Tells followers that there are news, and all daemons how loads go, for ever.
async fn tell_news(state: Rc<GatewayState>, socket: Rc<tokio::net::UdpSocket>) {
    loop {
        state.peers.news.notified().await;
        tokio::time::sleep(NEWS_GATHERING).await;
        let loadings = std::mem::take(&mut *state.peers.outbox.borrow_mut());
        for loading in loadings {
            spread_loading(&state, &socket, loading).await;
        }
        let work = std::mem::take(&mut *state.peers.work.borrow_mut());
        if !work.is_empty() {
            let daemons = state.peers.daemons();
            send_to_group(&state, &socket, &daemons, &Message::Work(work)).await;
        }
        if state.peers.nudges.replace(false) {
            for follower in recent_followers(&state.peers) {
                send_to(&socket, &Message::Nudge, follower).await;
            }
        }
    }
}

fn recent_followers(peers: &Peers) -> Vec<SocketAddr> {
    let mut followers = peers.followers.borrow_mut();
    followers.retain(|_, asked| asked.elapsed() < FOLLOWER_MEMORY);
    followers.keys().copied().collect()
}

/// Sends to the own group, and to the first of each other group, which passes it on.
async fn spread_loading(
    state: &GatewayState,
    socket: &tokio::net::UdpSocket,
    mut loading: Loading,
) {
    let daemons = state.peers.daemons();
    loading.pass_on = false;
    let message = Message::Loading(loading.clone());
    send_to_group(state, socket, &daemons, &message).await;
    loading.pass_on = true;
    for first in other_groups_first(&daemons, &state.peers.own) {
        send(socket, &Message::Loading(loading.clone()), &first.peers).await;
    }
}

async fn send_to_group(
    state: &GatewayState,
    socket: &tokio::net::UdpSocket,
    daemons: &[WireDaemon],
    message: &Message,
) {
    let own = &state.peers.own;
    for daemon in ranked_group(daemons, own) {
        if daemon.name != own.name {
            send(socket, message, &daemon.peers).await;
        }
    }
}

fn take_work(state: &GatewayState, work: &[(String, u64)]) {
    let now = Instant::now();
    for (id, tokens) in work {
        if let Some(replica) = state.registry.get(id) {
            replica.note_prompt(*tokens, now);
        }
    }
}

async fn take_loading(state: &GatewayState, socket: &tokio::net::UdpSocket, mut loading: Loading) {
    if let Some(replica) = state.registry.get(&loading.replica) {
        let has_ended = loading.is_done || loading.has_failed;
        replica.set_loading((!has_ended).then(Instant::now));
        if loading.is_done {
            replica.note_version(&loading.model, loading.version);
        }
    }
    if std::mem::replace(&mut loading.pass_on, false) {
        let daemons = state.peers.daemons();
        let message = Message::Loading(loading);
        send_to_group(state, socket, &daemons, &message).await;
    }
}

async fn send(socket: &tokio::net::UdpSocket, message: &Message, to: &str) {
    if let Ok(to) = to.parse() {
        send_to(socket, message, to).await;
    }
}

/// A datagram that can't be sent is lost like any other: the next question makes up for it.
async fn send_to(socket: &tokio::net::UdpSocket, message: &Message, to: SocketAddr) {
    if let Some(bytes) = message.encode() {
        let _ = socket.send_to(&bytes, to).await;
    }
}
