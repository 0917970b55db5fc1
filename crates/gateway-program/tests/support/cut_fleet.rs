//! Four gateway processes whose paths to the replicas can be cut, and callers that try once each.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::ops::Range;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_platform_standin::Fleet;
use driftspring_platform_standin::caller::{Request, send};
use driftspring_platform_standin::fleet::wait_until;
use driftspring_platform_standin::partition::{Cut, Partition};
use driftspring_standin::ports::free_address;
use driftspring_system_tests::TemporaryDirectory;

/// Number of gateways.
pub const GATEWAYS: usize = 4;

/// Replicas of each service.
const REPLICAS: usize = 6;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// How long callers wait for an answer.
const DEADLINE_MS: u64 = 2000;

/// The paths that are requested in turn: safe, unsafe, a stream that may be resumed.
const PATHS: [&str; 3] = ["/safe/a", "/unsafe/a", "/resumable/a"];

/// First tries and how many of them were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Served {
    /// First tries.
    pub tried: usize,
    /// Those that got a whole answer.
    pub served: usize,
}

impl Served {
    /// The served share, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.tried.max(1) as f64
    }
}

/// First tries by gateway, and how the others ended.
#[derive(Debug, Clone, Default)]
pub struct Tries {
    by_gateway: [Served; GATEWAYS],
    /// Statuses of the answers by gateway; 0 for none.
    pub statuses: [std::collections::BTreeMap<u16, usize>; GATEWAYS],
}

impl Tries {
    /// Those at some gateways.
    pub fn of(&self, gateways: Range<usize>) -> Served {
        let mut sum = Served::default();
        for served in &self.by_gateway[gateways] {
            sum.tried += served.tried;
            sum.served += served.served;
        }
        sum
    }

    /// All.
    pub fn all(&self) -> Served {
        self.of(0..GATEWAYS)
    }
}

/// A gateway process, which is killed on drop.
pub struct GatewayProcess {
    process: Child,
    /// Its address for callers.
    pub callers: SocketAddr,
}

impl GatewayProcess {
    fn start(folder: &TemporaryDirectory, number: usize, store: SocketAddr) -> Self {
        let peers = free_address().expect("a port");
        let text = format!(
            "name = \"gateway-{number}\"\nzone = \"z\"\nstore = \"{store}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\npeers = \"{peers}\"\n\
             [times]\nkey_currency_seconds = 5\nstop_grace_seconds = 4\n[forwarding]\nenabled = true\n"
        );
        let file = folder.path().join(format!("gateway-{number}.toml"));
        std::fs::write(&file, text).expect("a settings file");
        let mut process = Command::new(env!("CARGO_BIN_EXE_driftspring-gateway"))
            .arg("run")
            .arg(&file)
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
        let log_file = folder.path().join(format!("gateway-{number}.log"));
        std::thread::spawn(move || {
            let kept: String = lines.map(|line| line + "\n").collect();
            // Only for whoever looks for the cause of a failure.
            let _ = std::fs::write(log_file, kept);
        });
        Self { process, callers }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.process.kill().expect("killed");
        self.process.wait().expect("ended");
    }
}

/// The gateways, the replicas and the partition between them.
pub struct CutFleet {
    /// The store and the replicas.
    pub fleet: Fleet,
    /// The gateways.
    pub gateways: Vec<GatewayProcess>,
    partition: Partition,
    /// Requests so far; begins with the seed, which so decides which gateway gets which kind.
    sent: Mutex<u64>,
    _folder: TemporaryDirectory,
}

impl CutFleet {
    /// Starts everything, and waits until every gateway serves.
    pub fn start(seed: u64) -> Self {
        let folder = TemporaryDirectory::create().expect("a folder");
        let partition = Partition::start().expect("a partition");
        let fleet = Fleet::start(REPLICAS, REPLICAS, 0).expect("a fleet");
        for (service, replicas) in [("llm", &fleet.engines), ("plain", &fleet.plain)] {
            for replica in replicas {
                let gate = partition.gate(replica.address()).expect("a gate");
                let store = &fleet.store.state;
                store.list_replica(&replica.state, service, gate, "ready");
            }
        }
        let store = fleet.store.address();
        let gateways: Vec<GatewayProcess> = (0..GATEWAYS)
            .map(|number| GatewayProcess::start(&folder, number, store))
            .collect();
        for gateway in &gateways {
            partition.watch(gateway.id());
            let serves = |path: &str| {
                let answer = send(gateway.callers, &request(path, 0));
                answer.is_ok_and(|answer| answer.status == 200)
            };
            wait_until(|| PATHS.iter().all(|path| serves(path))).expect("it serves");
        }
        Self {
            fleet,
            gateways,
            partition,
            sent: Mutex::new(seed),
            _folder: folder,
        }
    }

    /// Cuts gateways off, or heals them.
    pub fn cut(&self, gateways: Range<usize>, cut: Option<Cut>) {
        for gateway in &self.gateways[gateways] {
            self.partition.set(gateway.id(), cut);
        }
    }

    /// Lets callers try for `time`, each once, in turn at all gateways, and waits for all answers.
    pub fn try_for(&self, time: Duration) -> Tries {
        let began = Instant::now();
        let mut calls = Vec::new();
        while began.elapsed() < time {
            let number = {
                let mut sent = self.sent.lock().expect("no panic");
                *sent += 1;
                *sent
            };
            let gateway = (number % GATEWAYS as u64) as usize;
            let path = PATHS[(number / GATEWAYS as u64) as usize % PATHS.len()];
            let callers = self.gateways[gateway].callers;
            let request = request(path, number);
            calls.push(std::thread::spawn(move || {
                (gateway, send(callers, &request))
            }));
            std::thread::sleep(REQUEST_INTERVAL);
        }
        let mut tries = Tries::default();
        for call in calls {
            let (gateway, answer) = call.join().expect("an end");
            let answer = answer.ok();
            let is_served = answer
                .as_ref()
                .is_some_and(|answer| answer.status == 200 && answer.is_whole);
            let status = answer.map_or(0, |answer| answer.status);
            let served = &mut tries.by_gateway[gateway];
            served.tried += 1;
            served.served += usize::from(is_served);
            *tries.statuses[gateway].entry(status).or_default() += 1;
        }
        tries
    }

    /// Checks that no request that may not be repeated ran more than once.
    pub fn assert_no_unsafe_request_ran_twice(&self) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        let all = self.fleet.plain.iter().flat_map(|one| one.state.runs());
        for run in all.filter(|run| run.target.contains("/unsafe/")) {
            *runs.entry(run.id).or_default() += 1;
        }
        let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "{twice:?}");
    }
}

fn request(path: &str, number: u64) -> Request {
    let request = match path.starts_with("/resumable/") {
        true => Request::stream(path, &format!("{:02x}", number % 64)),
        false => Request::new("POST", path).with_body(b"body"),
    };
    request.with("driftspring-deadline-ms", &DEADLINE_MS.to_string())
}
