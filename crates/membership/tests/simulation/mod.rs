//! A simulated network of daemons: virtual time, one seed, loss, cuts, pauses and restarts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use driftspring_membership::{
    Action, ByteCounts, Datagram, GossipConfig, MAX_DATAGRAM_BYTES, Membership,
};
use driftspring_types::{
    DaemonId, EngineHealth, EngineId, EngineLoad, EngineRecord, Incarnation, MemberRecord,
    MemberState, ModelName, Revision, WeightsVersion, ZoneName,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TICK: Duration = Duration::from_millis(100);

/// One daemon of the simulation.
pub struct Node {
    pub membership: Membership,
    pub paused: bool,
    pub running: bool,
    pub sent: ByteCounts,
    pub sent_datagrams: usize,
}

/// A datagram on its way.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Flight {
    arrives_at: Duration,
    order: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// The network and its daemons.
pub struct Simulation {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub loss_percent: u32,
    /// Pairs of zones that are cut from each other.
    pub cut_zones: BTreeSet<(u8, u8)>,
    /// Single daemons that nobody reaches.
    pub cut_nodes: BTreeSet<usize>,
    /// Whether daemons take over a longer notice that they hear.
    pub adopt_notices: bool,
    zones: u8,
    rng: StdRng,
    seed: u64,
    flights: BinaryHeap<Reverse<Flight>>,
    addresses: BTreeMap<SocketAddr, usize>,
    flights_started: u64,
    incarnations: u64,
}

pub fn address(node: usize) -> SocketAddr {
    let [high, low] = (node as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7400))
}

fn record(node: usize, zones: u8, incarnation: u64) -> MemberRecord {
    MemberRecord {
        id: DaemonId::new(format!("daemon-{node:03}")),
        zone: zone_name(node, zones),
        incarnation: Incarnation(incarnation),
        refutation: 0,
        state: MemberState::Alive,
        peer_address: address(node).to_string(),
        caller_address: String::new(),
        operator_address: String::new(),
        complete_to: Revision(0),
    }
}

pub fn zone_name(node: usize, zones: u8) -> ZoneName {
    ZoneName::new(format!("zone-{}", node % usize::from(zones)))
}

impl Simulation {
    /// `count` daemons in `zones` zones, all started at once with daemon 0 as their seed.
    pub fn new(count: usize, zones: u8, seed: u64) -> Self {
        println!("seed {seed}");
        let mut simulation = Self {
            now: Duration::from_secs(1),
            nodes: Vec::new(),
            loss_percent: 0,
            cut_zones: BTreeSet::new(),
            cut_nodes: BTreeSet::new(),
            adopt_notices: false,
            zones,
            rng: StdRng::seed_from_u64(seed),
            seed,
            flights: BinaryHeap::new(),
            addresses: (0..count).map(|node| (address(node), node)).collect(),
            flights_started: 0,
            incarnations: 1,
        };
        for node in 0..count {
            let membership = simulation.fresh(node);
            simulation.nodes.push(Node {
                membership,
                paused: false,
                running: true,
                sent: ByteCounts::default(),
                sent_datagrams: 0,
            });
        }
        simulation
    }

    fn fresh(&mut self, node: usize) -> Membership {
        let own = record(node, self.zones, self.incarnations);
        let seed = self.seed ^ (node as u64) << 32 ^ self.incarnations;
        let mut membership = Membership::new(own, GossipConfig::default(), seed);
        membership.set_contacts(vec![address(0), address(1)]);
        membership
    }

    /// Starts the daemon anew, with a higher incarnation and no memory.
    pub fn restart(&mut self, node: usize) {
        self.incarnations += 1;
        self.nodes[node].membership = self.fresh(node);
        self.nodes[node].running = true;
        self.nodes[node].paused = false;
    }

    pub fn node_id(&self, node: usize) -> DaemonId {
        self.nodes[node].membership.own().id.clone()
    }

    /// Carries out actions of `node` itself.
    pub fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(node, to, &datagram),
                Action::PeerNotice { notice, .. } if self.adopt_notices => {
                    self.nodes[node].membership.set_notice(notice, true);
                }
                _ => (),
            }
        }
    }

    /// Runs for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds; panics with the seed where it does not within `limit`.
    pub fn run_until(&mut self, limit: Duration, what: &str, condition: impl Fn(&Self) -> bool) {
        let started = self.now;
        while !condition(self) {
            assert!(
                self.now - started < limit,
                "seed {}: not within {limit:?}: {what}",
                self.seed
            );
            self.step();
        }
        println!("{what}: after {:?}", self.now - started);
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        for node in 0..self.nodes.len() {
            if self.nodes[node].running && !self.nodes[node].paused {
                let actions = self.nodes[node].membership.tick(self.now);
                self.perform(node, actions);
            }
        }
    }

    fn deliver(&mut self) {
        let mut held_back = Vec::new();
        while let Some(Reverse(flight)) = self.flights.pop() {
            if flight.arrives_at > self.now {
                self.flights.push(Reverse(flight));
                break;
            }
            let node = &mut self.nodes[flight.to];
            if !node.running {
                continue;
            }
            if node.paused {
                held_back.push(Reverse(flight));
                continue;
            }
            let datagram = Datagram::decode(&flight.bytes).expect("own datagrams decode");
            let actions = node
                .membership
                .receive(self.now, address(flight.from), &datagram)
                .expect("own datagrams decode");
            self.perform(flight.to, actions);
        }
        self.flights.extend(held_back);
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: &Datagram) {
        let bytes = datagram.encode().expect("datagrams encode");
        assert!(
            bytes.len() <= MAX_DATAGRAM_BYTES,
            "{} bytes: {datagram:?}",
            bytes.len()
        );
        self.nodes[from]
            .sent
            .add(&datagram.byte_counts(bytes.len()));
        self.nodes[from].sent_datagrams += 1;
        let Some(&to) = self.addresses.get(&to) else {
            return;
        };
        if self.is_lost(from, to) {
            return;
        }
        self.flights_started += 1;
        self.flights.push(Reverse(Flight {
            arrives_at: self.now + Duration::from_micros(self.rng.random_range(100..3000)),
            order: self.flights_started,
            from,
            to,
            bytes,
        }));
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let zones = usize::from(self.zones);
        let pair = ((from % zones) as u8, (to % zones) as u8);
        let is_cut = self.cut_zones.contains(&pair) || self.cut_zones.contains(&(pair.1, pair.0));
        let is_alone = self.cut_nodes.contains(&from) != self.cut_nodes.contains(&to);
        is_cut || is_alone || self.rng.random_range(0..100) < self.loss_percent
    }

    /// The daemons that run and are not paused.
    pub fn active(&self) -> impl Iterator<Item = (usize, &Node)> {
        let is_active = |(_, node): &(usize, &Node)| node.running && !node.paused;
        self.nodes.iter().enumerate().filter(is_active)
    }

    /// What `observer` believes of `subject`.
    pub fn belief(&self, observer: usize, subject: usize) -> Option<MemberRecord> {
        let id = self.node_id(subject);
        let view = self.nodes[observer].membership.view(self.now);
        view.into_iter().find(|record| record.id == id)
    }

    /// Whether every active daemon takes every active daemon's present life for alive.
    pub fn all_alive_agree(&self) -> bool {
        self.all_agree(|state| state == MemberState::Alive)
    }

    /// Whether every active daemon knows every active daemon's present life and none for dead.
    pub fn none_missing_or_dead(&self) -> bool {
        self.all_agree(|state| state != MemberState::Dead)
    }

    fn all_agree(&self, accept: impl Fn(MemberState) -> bool) -> bool {
        let subjects: Vec<(DaemonId, Incarnation)> = self
            .active()
            .map(|(_, node)| {
                (
                    node.membership.own().id.clone(),
                    node.membership.own().incarnation,
                )
            })
            .collect();
        self.active().all(|(_, node)| {
            let view = node.membership.view(self.now);
            subjects.iter().all(|(id, incarnation)| {
                view.iter().any(|record| {
                    record.id == *id && record.incarnation == *incarnation && accept(record.state)
                })
            })
        })
    }

    /// Whether every active daemon other than the subject believes `state` of `subject`.
    pub fn all_believe(&self, subject: usize, state: MemberState) -> bool {
        self.active()
            .filter(|(node, _)| *node != subject)
            .all(|(node, _)| {
                self.belief(node, subject)
                    .is_some_and(|record| record.state == state)
            })
    }

    /// Whether every active daemon holds this health of `engine`.
    pub fn all_hold_engine(&self, engine: &EngineId, health: EngineHealth) -> bool {
        self.active().all(|(_, node)| {
            let record = node.membership.engines().get(engine);
            record.is_some_and(|record| record.health == health)
        })
    }
}

/// A serving engine's report.
pub fn engine(id: &str, zone: &ZoneName, incarnation: u64, sequence: u64) -> EngineRecord {
    EngineRecord {
        id: EngineId::from(id),
        address: "10.1.0.1:8000".to_owned(),
        zone: zone.clone(),
        model: ModelName::from("verdict"),
        weights_version: WeightsVersion(1),
        incarnation: Incarnation(incarnation),
        report_sequence: sequence,
        health: EngineHealth::Serving,
        load: EngineLoad {
            running: sequence as u32 % 8,
            queued: 0,
            pending_prefill_tokens: sequence as u32,
            cached_blocks: 10,
            cache_capacity_blocks: 100,
        },
    }
}
