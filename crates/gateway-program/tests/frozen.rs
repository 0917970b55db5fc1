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
    fn start(folder: &Path, store: SocketAddr) -> Self {
        let settings = folder.join("settings.toml");
        let text = format!(
            r#"
            name = "gateway"
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

#[test]
fn weights_that_were_named_while_it_stood_still_count_from_before_their_naming() {
    // A gateway that read the store stood still for four seconds while weights were named. The answer of its watch waited
    // in its socket and it took the weights for named when it woke, so it went on sending to replicas with older weights,
    // up to 10.2 s after the naming where 8 s are allowed:
    //   9.005 WEIGHTS_WANTED version=2 age=160ns assumed=false      (named at 5.3 s)
    //   15.491 REQUEST_SENT version=Some(1) ... 15.600 REQUEST_ENDED status=200
    let fleet = Fleet::start(2, 0, 0).expect("a fleet");
    for engine in &fleet.engines {
        let faults = &engine.state.faults;
        faults.leaves_orders.store(true, Ordering::Relaxed);
    }
    let folder = TemporaryDirectory::create().expect("a folder");
    let gateway = Gateway::start(folder.path(), fleet.store.address());
    let started_at = Instant::now();
    while gateway.status() != 200 {
        assert!(started_at.elapsed() < STANDSTILL, "it serves");
        std::thread::sleep(PACE);
    }
    gateway.signal("STOP");
    fleet.name_weights(2);
    let named_at = Instant::now();
    std::thread::sleep(STANDSTILL);
    gateway.signal("CONT");
    while named_at.elapsed() < STANDSTILL + WEIGHTS_DEADLINE {
        gateway.status();
        std::thread::sleep(PACE);
    }
    let runs = fleet.engines.iter().flat_map(|engine| engine.state.runs());
    let latest = runs.map(|run| run.at.saturating_duration_since(named_at));
    let latest = latest.max().expect("some ran");
    let bound = WEIGHTS_DEADLINE.max(STANDSTILL + CONTACT);
    assert!(latest <= bound, "one began {latest:?} after the naming");
}
