//! The program `driftctl` against daemons in this process and a stand-in of the object store.
#![allow(dead_code)] // Each test file uses its own part.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use driftspring::{Daemon, RunningDaemon};
use driftspring_settings::Settings;
use driftspring_standin::object_store::{self, RunningObjectStore};
use driftspring_standin::ports::free_address;
use serde_json::Value;

/// The longest that any condition may take.
const DEADLINE: Duration = Duration::from_secs(20);

/// An object store and daemons of one zone.
pub struct TestSystem {
    pub store: RunningObjectStore,
    pub daemons: Vec<RunningDaemon>,
}

impl TestSystem {
    /// The revision of the newest change of `key`. The store's own revision also moves by writes of
    /// daemons, such as those of leases.
    pub fn revision_of(&self, key: &str) -> Option<u64> {
        let history = self.store.store.history();
        let mut changes = history.iter().rev();
        let newest = changes.find(|change| change.key == key);
        newest.map(|change| change.revision)
    }

    /// `count` daemons, each with the earlier ones as seeds.
    pub fn start(count: usize) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = object_store::start(loopback).expect("the store starts");
        let mut daemons: Vec<RunningDaemon> = Vec::new();
        for number in 0..count {
            let id = format!("daemon-{number}");
            let mut settings = Settings::loopback(id.as_str().into(), "zone-a".into());
            settings.listen.peers = free_address().expect("a port");
            settings.platform.object_store = Some(store.server.address);
            settings.seeds = daemons
                .iter()
                .map(|daemon| daemon.addresses().peers)
                .collect();
            daemons.push(Daemon::start(settings).expect("the daemon starts"));
        }
        Self { store, daemons }
    }

    /// One daemon whose settings name no object store.
    pub fn start_without_store() -> Self {
        let mut system = Self::start(0);
        let settings = Settings::loopback("daemon-0".into(), "zone-a".into());
        system.daemons = vec![Daemon::start(settings).expect("the daemon starts")];
        system
    }

    /// The operators' address of a daemon.
    pub fn operators(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].addresses().operators
    }

    /// `driftctl` for one daemon, with JSON answers.
    pub fn driftctl(&self, daemon: usize, arguments: &[&str]) -> Answer {
        let server = self.operators(daemon).to_string();
        let common = ["--server", &server, "--output", "json"];
        run(&[common.as_slice(), arguments].concat())
    }
}

/// How `driftctl` ended.
#[derive(Debug)]
pub struct Answer {
    pub exit: i32,
    pub standard: String,
    pub errors: String,
}

impl Answer {
    /// The answers as JSON, one for each statement.
    pub fn json(&self) -> Vec<Value> {
        let lines = self.standard.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("a JSON line"))
            .collect()
    }

    /// The only answer.
    pub fn only(&self) -> Value {
        let mut answers = self.json();
        assert_eq!(answers.len(), 1, "{self:?}");
        answers.remove(0)
    }
}

/// Runs `driftctl`.
pub fn run(arguments: &[&str]) -> Answer {
    let output = command(arguments).output().expect("driftctl runs");
    answer_of(output)
}

/// The program with its arguments, not yet started.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_driftctl"));
    command.args(arguments);
    command
}

pub fn answer_of(output: Output) -> Answer {
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    Answer {
        exit: output.status.code().expect("an exit code"),
        standard: text(output.stdout),
        errors: text(output.stderr),
    }
}

/// An answer to a plain HTTP call.
pub struct HttpAnswer {
    pub status: u16,
    pub body: String,
}

/// Gets `path` from a daemon.
pub fn get(address: SocketAddr, path: &str) -> HttpAnswer {
    exchange(address, &format!("GET {path} HTTP/1.1\r\n"), "")
}

/// Posts `body` to `path` of a daemon.
pub fn post(address: SocketAddr, path: &str, body: &str) -> HttpAnswer {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\ncontent-length: {length}\r\n");
    exchange(address, &head, body)
}

fn exchange(address: SocketAddr, head: &str, body: &str) -> HttpAnswer {
    let mut stream = TcpStream::connect(address).expect("the daemon accepts");
    stream
        .set_read_timeout(Some(DEADLINE))
        .expect("a socket option");
    let request = format!("{head}host: d\r\nconnection: close\r\n\r\n{body}");
    // A daemon that refuses a body early may close before all of it is sent.
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8(answer).expect("UTF-8");
    let (head, body) = answer.split_once("\r\n\r\n").expect("headers and body");
    let status = head.split(' ').nth(1).expect("a status");
    HttpAnswer {
        status: status.parse().expect("a number"),
        body: body.to_owned(),
    }
}

/// Waits until `condition` holds.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + DEADLINE;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        std::thread::yield_now();
    }
}

/// An address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("an address")
}
