//! Ports for listeners.

use std::net::{TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use driftspring_standin::ports::free_address;

/// How many addresses are used beside the starts of processes.
const ADDRESSES: usize = 2_000;

/// How many threads start processes meanwhile.
const STARTERS: usize = 4;

// Guards against a started process that keeps a port in use: it holds copies of all sockets until it runs its program.
#[test]
fn a_port_is_in_use_when_processes_start_as_it_is_chosen() {
    let is_over = AtomicBool::new(false);
    let failures = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("a process starts");
                }
            });
        }
        let mut failures = Vec::new();
        for _ in 0..ADDRESSES {
            let address = free_address().expect("a port");
            let sockets = (TcpListener::bind(address), UdpSocket::bind(address));
            if let Some(error) = sockets.0.err().or(sockets.1.err()) {
                failures.push(format!("{address}: {error}"));
            }
        }
        is_over.store(true, Ordering::Relaxed);
        failures
    });
    assert!(failures.is_empty(), "{}: {failures:?}", failures.len());
}
