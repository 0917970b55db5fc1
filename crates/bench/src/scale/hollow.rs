//! One hollow daemon: the real state machines over a real socket, without a request path.
//!
//! It follows the daemon's own gossip thread, observer and store watch. Three things are calls
//! within the process, with their bytes counted: status calls to engines, the store, and copies of
//! configuration between daemons.

mod configuration;

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use driftspring::state::EngineTable;
use driftspring_membership::{
    Action, Datagram, GossipConfig, MAX_DATAGRAM_BYTES, Membership, OwnershipCache, zone_readers,
};
use driftspring_replication::{Notice, Replica};
use driftspring_types::{DaemonId, EngineId, Incarnation, MemberRecord, MemberState, Revision};

use configuration::Watch;

use super::cluster::{Shared, SharedDaemon};
use super::plan::{
    ALONE_PATIENCE, HTTP_HEADER_BYTES, POLL_INTERVALS, ROUND_INTERVAL, SEEDS, SETTLE_PATIENCE,
    daemon_id, engine_status, zone_name, zone_of,
};
use super::traffic::TrafficKind;

/// How often members are published without a change, as in the daemon.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What dies with each life of the daemon.
struct Life {
    membership: Membership,
    started_at: Duration,
    view: Vec<MemberRecord>,
    view_version: u64,
    viewed_at: Duration,
    table: EngineTable,
    table_version: u64,
    ownership: OwnershipCache,
    polled_at: HashMap<EngineId, Duration>,
    watch: Option<Watch>,
    told: (Revision, u32),
    next_round: Duration,
}

/// One hollow daemon.
pub struct HollowDaemon {
    number: usize,
    id: DaemonId,
    zone: usize,
    socket: UdpSocket,
    shared: Arc<Shared>,
    life: Life,
    sampled: u64,
}

impl HollowDaemon {
    /// A daemon that has not begun.
    pub fn new(number: usize, socket: UdpSocket, shared: Arc<Shared>) -> Self {
        let life = new_life(number, &shared);
        Self {
            number,
            id: daemon_id(number),
            zone: zone_of(number),
            socket,
            shared,
            life,
            sampled: 0,
        }
    }

    /// Receives what has come and does what is due.
    pub fn pass(&mut self) {
        if self.own().restart.swap(false, Ordering::Relaxed) {
            self.restart();
        }
        self.receive_all();
        let now = self.shared.now();
        if now >= self.life.next_round {
            self.life.next_round = now + ROUND_INTERVAL;
            self.round(now);
        }
    }

    fn own(&self) -> &SharedDaemon {
        &self.shared.daemons[self.number]
    }

    fn restart(&mut self) {
        self.own().incarnation.fetch_add(1, Ordering::Relaxed);
        *self.own().replica() = Replica::default();
        self.life = new_life(self.number, &self.shared);
        // What had arrived for the last life is gone with its socket.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while self.socket.recv_from(&mut buffer).is_ok() {}
    }

    fn receive_all(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while let Ok((length, from)) = self.socket.recv_from(&mut buffer) {
            let sender = self.shared.numbers.get(&from).copied();
            if sender.is_some_and(|sender| !self.shared.is_connected(self.number, sender)) {
                continue;
            }
            self.shared.traffic.count_received(length);
            let now = self.shared.now();
            let Ok(datagram) = Datagram::decode(&buffer[..length]) else {
                continue;
            };
            if let Ok(actions) = self.life.membership.receive(now, from, &datagram) {
                self.perform(actions);
            }
        }
    }

    /// What the daemon does ten times a second.
    fn round(&mut self, now: Duration) {
        self.renew_notice();
        let actions = self.life.membership.tick(now);
        self.perform(actions);
        self.publish(now);
        self.poll_engines(now);
        self.read_store(now);
        if self.shared.watching.load(Ordering::Relaxed) {
            self.report();
        }
        let sampling = self.shared.sampling.load(Ordering::Relaxed);
        if sampling != self.sampled {
            self.sampled = sampling;
            self.sample_load_ages(now);
        }
    }

    fn renew_notice(&mut self) {
        let notice = self.own().replica().notice();
        let told = (notice.highest, notice.loose_digest);
        let is_news = told != self.life.told;
        self.life.told = told;
        let bytes = musli::wire::to_vec(&notice).unwrap_or_default();
        self.life.membership.set_notice(bytes, is_news);
        let complete_to = notice.complete_to;
        self.life.membership.note_complete_to(&self.id, complete_to);
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
                _ => (),
            }
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let Ok(bytes) = datagram.encode() else {
            return;
        };
        let counts = datagram.byte_counts(bytes.len());
        self.shared.traffic.count_sent(&counts);
        let _ = self.socket.send_to(&bytes, to);
    }

    fn take_notice(&mut self, from: &DaemonId, address: SocketAddr, bytes: &[u8]) {
        let Ok(notice) = musli::wire::from_slice::<Notice>(bytes) else {
            return;
        };
        self.life
            .membership
            .note_complete_to(from, notice.complete_to);
        let (_, request) = self.own().replica().on_notice(&notice);
        let peer = self.shared.numbers.get(&address);
        if let (Some(request), Some(peer)) = (request, peer) {
            self.copy_from(*peer, request);
        }
    }

    fn publish(&mut self, now: Duration) {
        let life = &mut self.life;
        let version = life.membership.members().version();
        let is_due = now.saturating_sub(life.viewed_at) >= SILENCE_CHECK_INTERVAL;
        if version != life.view_version || is_due {
            life.view_version = version;
            life.viewed_at = now;
            let view = life.membership.view(now);
            if view != life.view {
                life.view = view;
            }
        }
        let version = life.membership.engines().version();
        if version != life.table_version {
            life.table_version = version;
            life.table = life.table.rebuilt(life.membership.engines().iter(), now);
        }
    }

    /// Asks the owned engines that are due; those that nobody knows are asked by the readers of
    /// their zone, who would find them in the machine list.
    fn poll_engines(&mut self, now: Duration) {
        self.life.ownership.update(&self.life.view);
        let mut due = Vec::new();
        let is_reader = self.is_reader(now);
        for engine in 0..self.shared.plan.engines {
            let id = &self.shared.engine_ids[engine];
            let known = self.life.table.get(id);
            let place = match known {
                Some(entry) => {
                    let view = &self.life.view;
                    self.life.ownership.place(view, &self.id, &entry.record)
                }
                None if is_reader && zone_of(engine) == self.zone => Some(0),
                None => None,
            };
            let Some(place) = place else {
                continue;
            };
            let interval = POLL_INTERVALS[place.min(POLL_INTERVALS.len() - 1)];
            let polled_at = self.life.polled_at.get(id);
            if polled_at.is_none_or(|at| now.saturating_sub(*at) >= interval) {
                self.life.polled_at.insert(id.clone(), now);
                due.push(engine);
            }
        }
        for engine in due {
            self.poll_engine(engine, now);
        }
    }

    fn poll_engine(&mut self, engine: usize, now: Duration) {
        let is_reachable = self.shared.is_cut(zone_of(engine)) == self.shared.is_cut(self.zone);
        if !is_reachable {
            return;
        }
        const STATUS_BYTES: u64 = 330;
        let bytes = STATUS_BYTES + HTTP_HEADER_BYTES;
        self.shared.traffic.count(TrafficKind::Status, bytes);
        let record = engine_status(engine, now);
        let actions = self.life.membership.observe_engine(now, &record);
        self.perform(actions);
    }

    fn is_reader(&self, now: Duration) -> bool {
        let view = &self.life.view;
        if view.iter().all(|member| member.id == self.id) {
            return now.saturating_sub(self.life.started_at) > ALONE_PATIENCE;
        }
        let age = now.saturating_sub(self.life.started_at);
        if !self.life.membership.is_settled() && age < SETTLE_PATIENCE {
            return false;
        }
        zone_readers(view, &zone_name(self.zone)).contains(&self.id)
    }

    /// Tells the measuring thread what this daemon knows.
    fn report(&self) {
        let lives = &self.shared.daemons;
        let is_present_life = |record: &MemberRecord| {
            let number = number_of(&record.id);
            let incarnation = number.map(|number| &lives[number].incarnation);
            incarnation.map(|present| present.load(Ordering::Relaxed)) == Some(record.incarnation.0)
        };
        let view = self.life.view.iter();
        let alive = view
            .clone()
            .filter(|record| record.state == MemberState::Alive && is_present_life(record));
        let dead = view.filter(|record| record.state == MemberState::Dead);
        let own = self.own();
        own.alive_known.store(alive.count(), Ordering::Relaxed);
        own.dead_known.store(dead.count(), Ordering::Relaxed);
        let engines = self.life.table.iter().count();
        own.engines_known.store(engines, Ordering::Relaxed);
    }

    fn sample_load_ages(&self, now: Duration) {
        let zone = zone_name(self.zone);
        let ages = self.life.table.iter().map(|entry| {
            let reported_at = Duration::from_millis(entry.record.report_sequence);
            (entry.record.zone == zone, now.saturating_sub(reported_at))
        });
        if let Ok(mut sample) = self.own().load_ages.lock() {
            sample.extend(ages);
        }
    }
}

fn number_of(id: &DaemonId) -> Option<usize> {
    id.as_str().strip_prefix("daemon-")?.parse().ok()
}

fn new_life(number: usize, shared: &Shared) -> Life {
    let own = &shared.daemons[number];
    let incarnation = own.incarnation.load(Ordering::Relaxed);
    let address = own.address.to_string();
    let record = MemberRecord {
        id: daemon_id(number),
        zone: zone_name(zone_of(number)),
        incarnation: Incarnation(incarnation),
        refutation: 0,
        state: MemberState::Alive,
        peer_address: address.clone(),
        caller_address: address.clone(),
        operator_address: address,
        complete_to: Revision(0),
    };
    let seed = shared.plan.seed ^ (number as u64) << 32 ^ incarnation;
    let mut membership = Membership::new(record, GossipConfig::default(), seed);
    let seeds = shared.daemons.iter().take(SEEDS);
    let seeds = seeds.map(|daemon| daemon.address);
    membership.set_contacts(seeds.filter(|seed| *seed != own.address).collect());
    let now = shared.now();
    Life {
        membership,
        started_at: now,
        view: Vec::new(),
        view_version: 0,
        viewed_at: Duration::ZERO,
        table: EngineTable::default(),
        table_version: 0,
        ownership: OwnershipCache::default(),
        polled_at: HashMap::new(),
        watch: None,
        told: (Revision(0), 0),
        next_round: now,
    }
}
