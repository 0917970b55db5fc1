//! Daemons in zones around one object store, each zone with its own way to it. They hear each other
//! by gossip, or by notices that a thread of the test passes on, so that it can cut zones off.

#![allow(dead_code, reason = "each test program uses a part of this")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use driftspring::control::config_writer::{Proposal, ProposalOutcome, propose};
use driftspring::state::DaemonState;
use driftspring::{Daemon, RunningDaemon};
use driftspring_check::{CheckSettings, Promise, Violation};
use driftspring_history::{
    ConfigOperation, ConfigProposal, ConfigResult, ConfigSettlement, ConfigWriter, Event, Fault,
    FaultTarget, History, OperationId, Recorder, StorePosition, merge_histories, read_history,
};
use driftspring_settings::{MechanismSettings, Settings};
use driftspring_standin::FaultUpdate;
use driftspring_standin::object_store::{self, ObjectStore, RunningObjectStore};
use driftspring_standin::ports::free_address;
use driftspring_types::{DaemonId, ObjectKey, ObjectKind, Revision, ZoneName};
use serde_json::{Map, Value, json};

/// How long a condition may take to come about.
pub const DEADLINE: Duration = Duration::from_secs(10);
/// The bound of the promise in these runs.
const BOUND: Duration = Duration::from_secs(3);
const PUMP_INTERVAL: Duration = Duration::from_millis(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One daemon's place; it is empty while the daemon is down.
struct Place {
    settings: Settings,
    zone: usize,
    running: Option<RunningDaemon>,
}

#[derive(Default)]
struct Links {
    states: Vec<Option<(Arc<DaemonState>, usize)>>,
    cut_zones: BTreeSet<usize>,
}

/// How daemons hear each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hearing {
    /// By their own gossip.
    Gossip,
    /// By notices that the test passes on. No daemon knows another as a member then, so that each one
    /// watches the store for itself.
    PassedNotices,
}

/// The whole system of a test.
pub struct Cluster {
    hearing: Hearing,
    pub store: Arc<ObjectStore>,
    store_servers: Vec<RunningObjectStore>,
    places: Vec<Place>,
    links: Arc<Mutex<Links>>,
    pump_ends: Arc<AtomicBool>,
    pump: Option<JoinHandle<()>>,
    recorder: Recorder,
    histories: Vec<PathBuf>,
}

impl Cluster {
    /// `zones` zones of `per_zone` daemons; they don't run yet.
    pub fn new(
        zones: usize,
        per_zone: usize,
        mechanisms: MechanismSettings,
        hearing: Hearing,
    ) -> Self {
        let store = Arc::<ObjectStore>::default();
        let store_servers: Vec<_> = (0..zones)
            .map(|_| object_store::serve(any_port(), Arc::clone(&store)).expect("store"))
            .collect();
        let places: Vec<_> = (0..zones * per_zone)
            .map(|index| {
                let zone = index / per_zone;
                let id = DaemonId::new(format!("d{index}"));
                let mut settings = Settings::loopback(id, ZoneName::new(format!("z{zone}")));
                settings.workers = 1;
                settings.mechanisms = mechanisms;
                settings.platform.object_store = Some(store_servers[zone].server.address);
                Place {
                    settings,
                    zone,
                    running: None,
                }
            })
            .collect();
        let links = Arc::new(Mutex::new(Links {
            states: places.iter().map(|_| None).collect(),
            cut_zones: BTreeSet::new(),
        }));
        let pump_ends = Arc::new(AtomicBool::new(false));
        let pump = (hearing == Hearing::PassedNotices).then(|| {
            let (links, ends) = (Arc::clone(&links), Arc::clone(&pump_ends));
            std::thread::spawn(move || pump_notices(&links, &ends))
        });
        Self {
            hearing,
            store,
            store_servers,
            places,
            links,
            pump_ends,
            pump,
            recorder: Recorder::in_memory().expect("recorder"),
            histories: Vec::new(),
        }
    }

    /// Starts every daemon that is down.
    pub fn start_all(&mut self) {
        for index in 0..self.places.len() {
            self.start(index);
        }
    }

    /// Starts one daemon, where it is down.
    pub fn start(&mut self, index: usize) {
        let seeds = self.peer_addresses();
        let place = &mut self.places[index];
        if place.running.is_some() {
            return;
        }
        if self.hearing == Hearing::Gossip {
            place.settings.seeds = seeds;
        }
        place.settings.listen.peers = free_address().expect("a port");
        let name = format!("driftspring-{}.jsonl", uuid::Uuid::new_v4());
        let path = std::env::temp_dir().join(name);
        place.settings.history_file = Some(path.clone());
        self.histories.push(path);
        let running = Daemon::start(place.settings.clone()).expect("daemon starts");
        let state = Arc::clone(&running.state);
        place.running = Some(running);
        self.links.lock().unwrap().states[index] = Some((state, place.zone));
    }

    /// The peer addresses of the daemons that run.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let running = self
            .places
            .iter()
            .filter_map(|place| place.running.as_ref());
        running.map(|daemon| daemon.state.addresses.peers).collect()
    }

    /// Kills one daemon.
    pub fn kill(&mut self, index: usize) {
        let Some(running) = self.places[index].running.take() else {
            return;
        };
        self.links.lock().unwrap().states[index] = None;
        running.kill();
        let daemon = self.places[index].settings.id.clone();
        self.recorder.record(Event::DaemonStopped { daemon });
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn settings_mut(&mut self, index: usize) -> &mut Settings {
        &mut self.places[index].settings
    }

    pub fn state(&self, index: usize) -> &Arc<DaemonState> {
        &self.places[index]
            .running
            .as_ref()
            .expect("daemon runs")
            .state
    }

    /// Changes the fault switches of the store as seen from every zone.
    pub fn store_faults(&self, update: &FaultUpdate) {
        for server in &self.store_servers {
            server.server.faults.update(update);
        }
    }

    /// Changes the fault switches of the store as seen from one zone.
    pub fn zone_store_faults(&self, zone: usize, update: &FaultUpdate) {
        self.store_servers[zone].server.faults.update(update);
    }

    /// Cuts the connections between daemons and the store, which they may open anew.
    pub fn drop_store_connections(&self) {
        for server in &self.store_servers {
            server.server.faults.drop_connections();
        }
    }

    /// Whether every daemon knows every other one.
    pub fn all_met(&self) -> bool {
        let running = || {
            self.places
                .iter()
                .filter_map(|place| place.running.as_ref())
        };
        let count = running().count();
        running().all(|daemon| daemon.state.members.load().len() == count)
    }

    /// Cuts a zone off from the other zones and from the store, or ends that.
    pub fn cut_zone(&self, zone: usize, is_cut: bool) {
        let target = FaultTarget::Zone(ZoneName::new(format!("z{zone}")));
        let fault = Fault::CutOff;
        self.recorder.record(match is_cut {
            true => Event::FaultInjected { target, fault },
            false => Event::FaultHealed { target, fault },
        });
        let cut = FaultUpdate {
            cut: Some(is_cut),
            ..FaultUpdate::default()
        };
        self.store_servers[zone].server.faults.update(&cut);
        let mut links = self.links.lock().unwrap();
        match is_cut {
            true => links.cut_zones.insert(zone),
            false => links.cut_zones.remove(&zone),
        };
    }

    /// Proposes a change through one daemon and records it.
    pub async fn propose(
        &self,
        index: usize,
        name: &str,
        expected: u64,
        percent: u64,
    ) -> ProposalOutcome {
        propose_through(self.state(index), &self.recorder, name, expected, percent).await
    }

    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// The revision of a route in force at one daemon.
    pub fn in_force(&self, index: usize, name: &str) -> u64 {
        let view = self.state(index).config.load();
        let key = route_key(name).to_string();
        view.revisions.get(&key).map_or(0, |revision| revision.0)
    }

    /// Whether every running daemon has `revision` of a route in force.
    pub fn is_everywhere(&self, name: &str, revision: u64) -> bool {
        let running = (0..self.len()).filter(|index| self.places[*index].running.is_some());
        running
            .into_iter()
            .all(|index| self.in_force(index, name) >= revision)
    }

    /// Ends the run and returns what the checker finds.
    pub async fn check(mut self) -> Result<(), Violation> {
        // The checker judges a change only once its bound has passed within the recording.
        ntex::time::sleep(BOUND + Duration::from_millis(200)).await;
        for index in 0..self.len() {
            self.kill(index);
        }
        let mut histories: Vec<History> = vec![self.recorder.history()];
        for path in &self.histories {
            histories.push(read_history(path).expect("history"));
        }
        let settings = CheckSettings {
            configuration_bound: BOUND,
            ..CheckSettings::default()
        };
        driftspring_check::check(
            Promise::Configuration,
            &merge_histories(histories),
            &settings,
        )
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.pump_ends.store(true, Ordering::Release);
        if let Some(pump) = self.pump.take() {
            let _ = pump.join();
        }
        for path in &self.histories {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Waits until `condition` holds; false at the deadline.
pub async fn eventually(condition: impl Fn() -> bool) -> bool {
    within(DEADLINE, condition).await
}

/// Waits for `time` at the most until `condition` holds.
pub async fn within(time: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
    condition()
}

pub fn route_key(name: &str) -> ObjectKey {
    ObjectKey::new(ObjectKind::Routes, name)
}

pub fn route(name: &str, percent: u64) -> Map<String, Value> {
    let route = json!({
        "name": name, "tenant": "t", "model": name, "weights_version": 1,
        "shift": {"to_version": 2, "percent": percent},
    });
    route.as_object().cloned().unwrap_or_default()
}

/// Proposes a route through the daemon of `state`; both ends of the operation are recorded.
pub async fn propose_through(
    state: &Arc<DaemonState>,
    recorder: &Recorder,
    name: &str,
    expected: u64,
    percent: u64,
) -> ProposalOutcome {
    let operation_id = OperationId::generate();
    let value = route(name, percent);
    recorder.record(Event::ConfigProposed(ConfigProposal {
        operation_id,
        client: state.settings.id.to_string(),
        writer: ConfigWriter::Operator,
        key: route_key(name).to_string(),
        operation: ConfigOperation::Write {
            expected: Some(StorePosition::unnamed(Revision(expected))),
            value: Some(percent.to_string()),
        },
    }));
    let proposal = Proposal {
        key: route_key(name),
        expected: Revision(expected),
        value: Some(value),
    };
    let outcome = propose(state, &proposal).await;
    let result = match &outcome {
        ProposalOutcome::Accepted { revision } => ConfigResult::Accepted {
            position: StorePosition::unnamed(*revision),
        },
        ProposalOutcome::Refused { .. } | ProposalOutcome::NotSent(_) => ConfigResult::Refused,
        ProposalOutcome::Unknown { .. } => ConfigResult::Unknown,
    };
    recorder.record(Event::ConfigAnswered(ConfigSettlement {
        operation_id,
        result,
    }));
    outcome
}

/// The revision of an accepted proposal.
pub fn accepted(outcome: &ProposalOutcome) -> u64 {
    match outcome {
        ProposalOutcome::Accepted { revision } => revision.0,
        other => panic!("not accepted: {other:?}"),
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Passes each daemon's notice to every other one that is not cut off from it.
fn pump_notices(links: &Mutex<Links>, ends: &AtomicBool) {
    while !ends.load(Ordering::Acquire) {
        {
            let links = links.lock().unwrap();
            let running: Vec<_> = links.states.iter().flatten().collect();
            for (to, to_zone) in &running {
                for (from, from_zone) in &running {
                    let is_cut = |zone| links.cut_zones.contains(zone);
                    let is_reachable =
                        from_zone == to_zone || !(is_cut(from_zone) || is_cut(to_zone));
                    if is_reachable && from.settings.id != to.settings.id {
                        let address = from.addresses.peers;
                        let notice = from.replica.notice();
                        to.replica.on_notice(&from.settings.id, address, &notice);
                    }
                }
            }
        }
        std::thread::sleep(PUMP_INTERVAL);
    }
}
