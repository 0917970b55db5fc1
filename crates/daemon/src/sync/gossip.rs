//! The gossip thread: carries out what the membership state machine asks for.

use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use anyhow::Context;
use driftspring_membership::tag::ClusterTag;
use driftspring_membership::{Action, Datagram, GossipConfig, MAX_DATAGRAM_BYTES, Membership};
use driftspring_replication::Notice;
use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::{DaemonId, EngineHealth, MemberRecord, MemberState, Revision};
use tokio::sync::oneshot;

use super::publication::Publication;
use crate::state::{DaemonState, GossipCommand};

/// The longest wait for a datagram, and so for commands of other threads.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a daemon that has just started waits for a whole view of the members before it goes by
/// the one it has. In a herd start nobody has a whole view, and with small ones almost every daemon
/// takes itself for a reader of the store.
const SETTLE_PATIENCE: Duration = Duration::from_secs(2);

/// How long a planned stop waits for the gossip thread to announce it.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the thread; it ends when the process is terminated.
///
/// # Errors
///
/// The socket can't be prepared, or the thread can't be started.
pub fn spawn(state: &Arc<DaemonState>, socket: UdpSocket) -> anyhow::Result<()> {
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .context("preparing the gossip socket")?;
    let commands = state
        .gossip
        .take_receiver()
        .context("the gossip thread was started twice")?;
    let mut driver = Driver::new(Arc::clone(state), socket, commands);
    std::thread::Builder::new()
        .name("gossip".to_owned())
        .spawn(move || driver.run())
        .context("starting the gossip thread")?;
    Ok(())
}

/// Tells the other daemons that this one is leaving; returns once the news is on its way.
pub async fn announce_leaving(state: &DaemonState) {
    let (sender, receiver) = oneshot::channel();
    state.gossip.send(GossipCommand::Leave(sender));
    let _ = ntex::time::timeout(ANNOUNCE_TIMEOUT, receiver).await;
}

/// The thread's own state.
struct Driver {
    state: Arc<DaemonState>,
    socket: UdpSocket,
    commands: Receiver<GossipCommand>,
    membership: Membership,
    publication: Publication,
    next_tick: Instant,
    /// The highest revision and the digest of loose records that were last told.
    told: (Revision, u32),
}

impl Driver {
    fn new(state: Arc<DaemonState>, socket: UdpSocket, commands: Receiver<GossipCommand>) -> Self {
        let seed = rand::random();
        let own = own_record(&state);
        let cluster = state.settings.cluster.as_deref().map(ClusterTag::of);
        let config = GossipConfig {
            cluster,
            ..GossipConfig::default()
        };
        let mut membership = Membership::new(own, config, seed);
        membership.set_contacts(state.settings.seeds.clone());
        Self {
            state,
            socket,
            commands,
            membership,
            publication: Publication::default(),
            next_tick: Instant::now(),
            told: (Revision(0), 0),
        }
    }

    fn run(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !self.state.is_terminated() {
            self.work();
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.receive(from, &buffer[..length]),
                Err(error) => pause_after(&error),
            }
        }
    }

    /// Everything but receiving.
    fn work(&mut self) {
        let state = Arc::clone(&self.state);
        let _timer = state.metrics.control.time(ControlSubsystem::Gossip);
        while let Ok(command) = self.commands.try_recv() {
            self.obey(command);
        }
        if Instant::now() >= self.next_tick {
            self.next_tick = Instant::now() + TICK_INTERVAL;
            self.tick();
        }
        let now = self.now();
        self.publication.publish(&state, &self.membership, now);
    }

    fn now(&self) -> Duration {
        self.state.started_at.elapsed()
    }

    fn tick(&mut self) {
        self.renew_notice();
        let complete_to = self.state.config.load().complete_to;
        let own_id = &self.state.settings.id;
        self.membership.note_complete_to(own_id, complete_to);
        let now = self.now();
        let actions = self.membership.tick(now);
        self.perform(actions);
        if self.membership.is_settled() || now >= SETTLE_PATIENCE {
            self.state.set_membership_settled();
        }
    }

    /// Puts the present notice into the next datagrams. Only a changed record is news worth extra
    /// datagrams: the store's revision also rises with every renewed lease.
    fn renew_notice(&mut self) {
        let bytes = self.state.replica.notice();
        let notice = musli::wire::from_slice::<Notice>(&bytes).unwrap_or_default();
        let is_news = (notice.highest, notice.loose_digest) != self.told;
        self.told = (notice.highest, notice.loose_digest);
        self.membership.set_notice(bytes, is_news);
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        let state = Arc::clone(&self.state);
        let control = &state.metrics.control;
        let _timer = control.time(ControlSubsystem::Gossip);
        control.count_received(ControlSubsystem::Gossip, bytes.len());
        let now = self.now();
        let actions = Datagram::decode(bytes)
            .and_then(|datagram| self.membership.receive(now, from, &datagram));
        match actions {
            Ok(actions) => self.perform(actions),
            Err(error) => log_event!(sync::GOSSIP_UNDECODABLE, "from={from} error={error}"),
        }
    }

    fn obey(&mut self, command: GossipCommand) {
        let now = self.now();
        let actions = match command {
            GossipCommand::EngineObserved(record) => self.membership.observe_engine(now, &record),
            GossipCommand::EngineHealth { id, life, health } => {
                self.membership.set_engine_health(now, &id, life, health)
            }
            GossipCommand::Contacts(contacts) => {
                self.membership.set_contacts(contacts);
                Vec::new()
            }
            GossipCommand::Leave(announced) => {
                let actions = self.membership.leave(now);
                self.perform(actions);
                let _ = announced.send(());
                return;
            }
        };
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(to, &datagram),
                Action::PeerNotice {
                    from,
                    address,
                    notice,
                } => self.take_notice(&from, address, &notice),
                Action::MemberChanged(record) => log_event!(
                    sync::MEMBER_CHANGED,
                    "daemon={} zone={} incarnation={} state={:?}",
                    record.id,
                    record.zone,
                    record.incarnation,
                    record.state
                ),
                Action::EngineChanged(record) => {
                    if record.health == EngineHealth::Unreachable {
                        log_event!(sync::ENGINE_UNREACHABLE, "engine={}", record.id);
                    }
                    log_event!(
                        sync::ENGINE_CHANGED,
                        "engine={} incarnation={} weights={} health={:?}",
                        record.id,
                        record.incarnation,
                        record.weights_version,
                        record.health
                    );
                }
                Action::IncarnationRaised(incarnation) => {
                    log_event!(sync::OWN_INCARNATION_RAISED, "incarnation={incarnation}")
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let sent = datagram
            .encode()
            .map_err(anyhow::Error::from)
            .and_then(|bytes| Ok(self.socket.send_to(&bytes, to)?));
        let control = &self.state.metrics.control;
        match sent {
            Ok(bytes) => control.count_sent(ControlSubsystem::Gossip, bytes),
            Err(error) => log_event!(sync::GOSSIP_NOT_SENT, "to={to} error={error:#}"),
        }
    }

    fn take_notice(&mut self, from: &DaemonId, address: SocketAddr, bytes: &[u8]) {
        if let Ok(notice) = musli::wire::from_slice::<Notice>(bytes) {
            self.membership.note_complete_to(from, notice.complete_to);
        }
        self.state.replica.on_notice(from, address, bytes);
    }
}

/// Waits a little after an unexpected error of the socket, which might come at once again.
fn pause_after(error: &std::io::Error) {
    // A process that was stopped and continued comes back from the call with `Interrupted`.
    let is_expected = matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    );
    if !is_expected {
        log_event!(sync::GOSSIP_NOT_RECEIVED, "error={error}");
        std::thread::sleep(RECEIVE_TIMEOUT);
    }
}

fn own_record(state: &DaemonState) -> MemberRecord {
    MemberRecord {
        id: state.settings.id.clone(),
        zone: state.settings.zone.clone(),
        incarnation: state.incarnation,
        refutation: 0,
        state: MemberState::Alive,
        peer_address: state.addresses.peers.to_string(),
        caller_address: state.addresses.callers.to_string(),
        operator_address: state.addresses.operators.to_string(),
        complete_to: state.config.load().complete_to,
    }
}
