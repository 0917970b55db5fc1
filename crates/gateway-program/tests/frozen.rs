//! A gateway process that was suspended must not treat data that arrived meanwhile as new.

#[path = "support/settings.rs"]
mod settings;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_platform_standin::Fleet;
use driftspring_platform_standin::caller::{Request, send};
use driftspring_platform_standin::fleet::wait_until;
use driftspring_system_tests::{TemporaryDirectory, send_signal};
use settings::write_settings;

/// The time after a new version of the weights is stored from which no request may start on older weights.
const WEIGHTS_DEADLINE: Duration = Duration::from_secs(6);

/// How long the process is suspended.
const SUSPENSION: Duration = Duration::from_secs(4);

/// How long a process may be out of date after it resumes (`contactMs` in the platform's rules).
const CATCH_UP_TIME: Duration = Duration::from_secs(3);

/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// A gateway process, which is killed on drop.
struct Gateway {
    process: Child,
    callers: SocketAddr,
}

impl Gateway {
    fn start(folder: &Path, store: SocketAddr) -> Self {
        let times = format!("weights_deadline_seconds = {}", WEIGHTS_DEADLINE.as_secs());
        let settings = write_settings(folder, store, &times);
        let mut process = Command::new(env!("CARGO_BIN_EXE_driftspring-gateway"))
            .arg("run")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        let log = BufReader::new(process.stdout.take().expect("its log"));
        let mut lines = log.lines().map_while(Result::ok);
        let started = lines.find(|line| line.contains("GATEWAY_STARTED"));
        let started = started.expect("it has started");
        let callers = started
            .split_whitespace()
            .find_map(|word| word.strip_prefix("callers="));
        let callers = callers.expect("its address").parse().expect("an address");
        std::thread::spawn(move || lines.for_each(drop));
        Self { process, callers }
    }

    fn send_signal(&self, name: &str) {
        send_signal(self.process.id(), name).expect("a signal");
    }

    fn request_status(&self) -> u16 {
        let request = Request::stream("/resumable/a", "1");
        send(self.callers, &request).map_or(0, |answer| answer.status)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.process.kill().expect("killed");
        self.process.wait().expect("ended");
    }
}

/// A fleet of replicas that don't answer orders to load weights, and a gateway process that is ready to serve.
fn fleet_and_gateway(folder: &Path) -> (Fleet, Gateway) {
    let fleet = Fleet::start(2, 0, 0).expect("a fleet");
    for engine in &fleet.engines {
        let faults = &engine.state.faults;
        faults.leaves_orders.store(true, Ordering::Relaxed);
    }
    let gateway = Gateway::start(folder, fleet.store.address());
    wait_until(|| gateway.request_status() == 200).expect("it serves");
    (fleet, gateway)
}

/// The start time of each request that a replica ran.
fn start_times(fleet: &Fleet) -> Vec<Instant> {
    let runs = fleet.engines.iter().flat_map(|engine| engine.state.runs());
    runs.map(|run| run.at).collect()
}

#[test]
fn weights_that_were_named_while_it_stood_still_count_from_before_their_naming() {
    // Guards against counting the age of new weights from when a suspended gateway resumes. A gateway that read the store was
    // suspended for four seconds, while a new version of the weights was stored. The answer to its watch call waited in the
    // socket, and the gateway took the version for new when it resumed. It kept sending to replicas with older weights until
    // 10.2 s after the version was stored, where 8 s are allowed:
    //   9.005 WEIGHTS_WANTED version=2 age=160ns assumed=false      (stored at 5.3 s)
    //   15.491 REQUEST_SENT version=Some(1) ... 15.600 REQUEST_ENDED status=200
    let folder = TemporaryDirectory::create().expect("a folder");
    let (fleet, gateway) = fleet_and_gateway(folder.path());
    gateway.send_signal("STOP");
    fleet.name_weights(2);
    let stored_at = Instant::now();
    std::thread::sleep(SUSPENSION);
    gateway.send_signal("CONT");
    let resumed_at = Instant::now();
    while stored_at.elapsed() < SUSPENSION + WEIGHTS_DEADLINE {
        gateway.request_status();
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let start_times = start_times(&fleet);
    assert!(
        start_times.iter().any(|at| *at > resumed_at),
        "no request started after the gateway resumed"
    );
    let latest = start_times.iter().max().expect("some ran");
    let latest = latest.saturating_duration_since(stored_at);
    let bound = WEIGHTS_DEADLINE.max(SUSPENSION + CATCH_UP_TIME);
    assert!(
        latest <= bound,
        "a request started {latest:?} after the weights were stored"
    );
}

/// A queue wait that the gateway does not expect, and that is shorter than the wait after which a request is sent with the
/// version bound itself.
const QUEUE_WAIT_MS: u64 = 2400;

/// When requests are sent, counted from the storing of the weights. They wait in the queues while the gateway is suspended, and
/// would start after the deadline, but are sent while there is still time for them.
const SEND_WINDOW: std::ops::Range<Duration> =
    Duration::from_millis(3000)..Duration::from_millis(4400);

#[test]
fn what_waits_at_a_replica_while_its_gateway_stands_still_does_not_begin_too_late() {
    // Guards against requests that start too late because their gateway is suspended. A gateway withdraws a request that is
    // queued at a replica shortly before the replica's weights become too old, but can't while it is suspended: requests
    // started 6.5 s after the new version was stored, where 6 s are allowed.
    let folder = TemporaryDirectory::create().expect("a folder");
    let (fleet, gateway) = fleet_and_gateway(folder.path());
    fleet.name_weights(2);
    let stored_at = Instant::now();
    std::thread::sleep(SEND_WINDOW.start);
    for engine in &fleet.engines {
        engine
            .state
            .faults
            .line_ms
            .store(QUEUE_WAIT_MS, Ordering::Relaxed);
    }
    let callers = gateway.callers;
    while stored_at.elapsed() < SEND_WINDOW.end {
        std::thread::spawn(move || send(callers, &Request::stream("/resumable/a", "1")));
        std::thread::sleep(REQUEST_INTERVAL);
    }
    gateway.send_signal("STOP");
    let are_queues_empty = || {
        fleet
            .engines
            .iter()
            .all(|engine| engine.state.queued() == 0)
    };
    wait_until(are_queues_empty).expect("the queues are empty");
    gateway.send_signal("CONT");
    let start_times = start_times(&fleet);
    let latest = start_times.iter().max().expect("some ran");
    let latest = latest.saturating_duration_since(stored_at);
    assert!(latest > SEND_WINDOW.start, "no queued request ran");
    assert!(
        latest <= WEIGHTS_DEADLINE,
        "a request started {latest:?} after the weights were stored"
    );
}
