//! A drained engine gets no new requests, and serves again once it is undrained.

mod support;

use std::net::SocketAddr;

use driftspring_language::api::{StatementAnswer, StatementRequest};
use driftspring_standin::object_store;
use support::caller::Caller;
use support::daemon::TestDaemon;
use support::engines::Engines;
use support::wait_until;

const TOKENS: u32 = 4;

fn order(daemon: &TestDaemon, statement: &str) {
    let operators = Caller::new(daemon.running.addresses().operators);
    let request = StatementRequest {
        statement: statement.to_owned(),
        dry_run: false,
    };
    let body = serde_json::to_vec(&request).expect("JSON");
    let answer = operators.post("/operator/statement", &[], &body);
    let answer = serde_json::from_slice(&answer.body).expect("an answer");
    assert!(
        matches!(answer, StatementAnswer::Accepted { .. }),
        "{statement}: {answer:?}"
    );
}

/// The engine that answers the prompt of this number.
fn engine_of(daemon: &TestDaemon, number: usize) -> String {
    let prompt = format!("band 4; depot {number}; log:").repeat(20);
    let answer = daemon.caller().stream(&[], &prompt, TOKENS);
    assert_eq!(answer.status, 200, "{:?}", answer.json());
    let engine = answer.header("x-engine").expect("the engine's name");
    engine.to_owned()
}

#[test]
fn drained_engine_gets_nothing_until_it_is_undrained() {
    let engines = Engines::start(2);
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = object_store::start(loopback).expect("the store starts");
    let daemon = TestDaemon::start(&engines.addresses(), |settings| {
        settings.platform.object_store = Some(store.server.address);
    });
    wait_until("both engines serve", || {
        (0..16).any(|number| engine_of(&daemon, number) == "engine-0")
    });
    order(&daemon, "drain engine engine-0");
    for number in 0..32 {
        assert_eq!(engine_of(&daemon, number), "engine-1", "prompt {number}");
    }
    order(&daemon, "undrain engine engine-0");
    wait_until("the engine serves again", || {
        (32..48).any(|number| engine_of(&daemon, number) == "engine-0")
    });
}
