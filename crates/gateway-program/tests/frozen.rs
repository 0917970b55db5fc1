//! A process that stood still takes nothing for new that waited for it meanwhile.

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

/// How soon after a naming no request may begin on older weights.
const WEIGHTS_DEADLINE: Duration = Duration::from_secs(6);

/// How long the process stands still.
const STANDSTILL: Duration = Duration::from_secs(4);

/// How long after it woke a process may still be behind (`contactMs` of the rules).
const CONTACT: Duration = Duration::from_secs(3);

/// Time between two requests.
const PACE: Duration = Duration::from_millis(40);

/// A process of the program, which ends with this value.
struct Gateway {
    process: Child,
    callers: SocketAddr,
}

impl Gateway {
    fn start(folder: &Path, name: &str, store: SocketAddr) -> Self {
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            r#"
            name = "{name}"
            zone = "z"
            store = "{store}"
            [listen]
            callers = "127.0.0.1:0"
            health = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            [times]
            weights_deadline_seconds = {}
            "#,
            WEIGHTS_DEADLINE.as_secs()
        );
        std::fs::write(&settings, text).expect("a settings file");
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

    fn signal(&self, name: &str) {
        send_signal(self.process.id(), name).expect("a signal");
    }

    fn status(&self) -> u16 {
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

/// A fleet of replicas that leave orders unanswered, and processes that are ready to serve them.
fn fleet_and_gateways(folder: &Path, names: &[&str]) -> (Fleet, Vec<Gateway>) {
    let fleet = Fleet::start(2, 0, 0).expect("a fleet");
    for engine in &fleet.engines {
        let faults = &engine.state.faults;
        faults.leaves_orders.store(true, Ordering::Relaxed);
    }
    let gateways: Vec<Gateway> = names
        .iter()
        .map(|name| Gateway::start(folder, name, fleet.store.address()))
        .collect();
    for gateway in &gateways {
        wait_until(|| gateway.status() == 200).expect("it serves");
    }
    (fleet, gateways)
}

/// Calls until `end`; how long after `named_at` the latest request began on older weights, and how many began after
/// `woke_at`.
fn call_until(
    fleet: &Fleet,
    gateways: &[&Gateway],
    named_at: Instant,
    woke_at: Instant,
    end: Duration,
) -> (Duration, usize) {
    while named_at.elapsed() < end {
        for gateway in gateways {
            gateway.status();
        }
        std::thread::sleep(PACE);
    }
    let runs = fleet.engines.iter().flat_map(|engine| engine.state.runs());
    let runs: Vec<Instant> = runs.map(|run| run.at).collect();
    let latest = runs.iter().max().expect("some ran");
    let since_woken = runs.iter().filter(|at| **at > woke_at).count();
    (latest.saturating_duration_since(named_at), since_woken)
}

#[test]
fn weights_that_were_named_while_it_stood_still_count_from_before_their_naming() {
    // A gateway that read the store stood still for four seconds while weights were named. The answer of its watch waited
    // in its socket and it took the weights for named when it woke, so it went on sending to replicas with older weights,
    // up to 10.2 s after the naming where 8 s are allowed:
    //   9.005 WEIGHTS_WANTED version=2 age=160ns assumed=false      (named at 5.3 s)
    //   15.491 REQUEST_SENT version=Some(1) ... 15.600 REQUEST_ENDED status=200
    let folder = TemporaryDirectory::create().expect("a folder");
    let (fleet, gateways) = fleet_and_gateways(folder.path(), &["gateway"]);
    gateways[0].signal("STOP");
    fleet.name_weights(2);
    let named_at = Instant::now();
    std::thread::sleep(STANDSTILL);
    gateways[0].signal("CONT");
    let woke_at = Instant::now();
    let end = STANDSTILL + WEIGHTS_DEADLINE;
    let all: Vec<&Gateway> = gateways.iter().collect();
    let (latest, since_woken) = call_until(&fleet, &all, named_at, woke_at, end);
    assert!(since_woken > 0, "it serves again after it woke");
    let bound = WEIGHTS_DEADLINE.max(STANDSTILL + CONTACT);
    assert!(latest <= bound, "one began {latest:?} after the naming");
}

/// A line that no gateway expects and that is within what a request may wait before it bears the bound itself.
const LINE_MS: u64 = 2400;

/// How long after the naming requests are sent that wait in that line while their gateway stands still: they would begin
/// after the bound, and there is time left for them when they are sent.
const SENDS_AFTER: std::ops::Range<Duration> =
    Duration::from_millis(3000)..Duration::from_millis(4400);

#[test]
fn what_waits_at_a_replica_while_its_gateway_stands_still_does_not_begin_too_late() {
    // A request that waits at a replica is withdrawn shortly before the replica's weights become too old. A gateway that
    // stands still withdraws nothing: requests began 6.5 s after the naming, where 6 s are allowed.
    let folder = TemporaryDirectory::create().expect("a folder");
    let (fleet, gateways) = fleet_and_gateways(folder.path(), &["gateway"]);
    fleet.name_weights(2);
    let named_at = Instant::now();
    std::thread::sleep(SENDS_AFTER.start);
    for engine in &fleet.engines {
        engine
            .state
            .faults
            .line_ms
            .store(LINE_MS, Ordering::Relaxed);
    }
    let callers = gateways[0].callers;
    while named_at.elapsed() < SENDS_AFTER.end {
        std::thread::spawn(move || send(callers, &Request::stream("/resumable/a", "1")));
        std::thread::sleep(PACE);
    }
    gateways[0].signal("STOP");
    let is_quiet = || {
        fleet
            .engines
            .iter()
            .all(|engine| engine.state.queued() == 0)
    };
    wait_until(is_quiet).expect("no line");
    gateways[0].signal("CONT");
    let runs = fleet.engines.iter().flat_map(|engine| engine.state.runs());
    let latest = runs.map(|run| run.at.saturating_duration_since(named_at));
    let latest = latest.max().expect("some ran");
    assert!(latest > SENDS_AFTER.start, "some waited and ran");
    assert!(
        latest <= WEIGHTS_DEADLINE,
        "one began {latest:?} after the naming"
    );
}
