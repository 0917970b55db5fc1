//! Requests of a route's legacy share pass unchanged; the share is held by prompt.

mod support;

use std::net::SocketAddr;

use driftspring_standin::legacy::{self, ReceivedRequest};
use driftspring_types::{LegacyUpstream, Route};
use support::caller::{Caller, completion};
use support::daemon::{KEY, TestDaemon, route};
use support::engines::Engines;

fn legacy_route(address: SocketAddr, percent: u8) -> Route {
    Route {
        legacy: Some(LegacyUpstream {
            address: address.to_string(),
            percent,
        }),
        ..route()
    }
}

fn header_of<'a>(request: &'a ReceivedRequest, name: &str) -> Option<&'a str> {
    let found = request.headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

fn start_legacy() -> legacy::RunningLegacy {
    legacy::start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("the upstream starts")
}

#[test]
fn a_request_and_its_answer_pass_unchanged() {
    let upstream = start_legacy();
    let address = upstream.server.address;
    let daemon = TestDaemon::start(&[], |settings| {
        settings.bootstrap.routes = vec![legacy_route(address, 100)];
    });
    let body = completion("old scripts", 5, true).to_string();
    let direct = Caller::new(address);
    let headers = [("x-own-header", "kept")];
    let expected = direct.post("/v1/completions", &headers, body.as_bytes());
    let passed = daemon
        .caller()
        .post("/v1/completions", &headers, body.as_bytes());
    assert_eq!(passed.status, expected.status);
    assert_eq!(
        passed.header("content-type"),
        expected.header("content-type")
    );
    assert_eq!(passed.events().tokens, expected.events().tokens);
    assert!(passed.events().is_terminated);
    let received = upstream.upstream.received();
    assert_eq!(received[0].body, received[1].body);
    assert_eq!(header_of(&received[1], "x-own-header"), Some("kept"));
    let authorization = header_of(&received[1], "authorization");
    assert_eq!(authorization, Some(format!("Bearer {KEY}").as_str()));
}

#[test]
fn an_upstream_that_can_t_be_reached_did_not_run_the_request() {
    let upstream = start_legacy();
    let address = upstream.server.address;
    upstream.server.kill();
    let daemon = TestDaemon::start(&[], |settings| {
        settings.bootstrap.routes = vec![legacy_route(address, 100)];
    });
    let answer = daemon.caller().complete(&[], "old scripts", 5);
    assert_eq!(answer.status, 503);
    assert_eq!(answer.json()["error"]["outcome"], "not_run");
}

#[test]
fn a_share_is_held_by_prompt() {
    const PROMPTS: usize = 60;
    let upstream = start_legacy();
    let address = upstream.server.address;
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |settings| {
        settings.bootstrap.routes = vec![legacy_route(address, 50)];
    });
    let prefix = "the same long prefix; ".repeat(40);
    let went_to_engine = |index: usize| {
        let prompt = format!("{prefix} sheet {index} {}", "x".repeat(256));
        let answer = daemon.caller().complete(&[], &prompt, 1);
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        answer.header("x-engine").is_some()
    };
    let first: Vec<bool> = (0..PROMPTS).map(went_to_engine).collect();
    let second: Vec<bool> = (0..PROMPTS).map(went_to_engine).collect();
    assert_eq!(first, second);
    let at_engine = first.iter().filter(|is_engine| **is_engine).count();
    assert!(
        (PROMPTS / 4..PROMPTS * 3 / 4).contains(&at_engine),
        "{at_engine}"
    );
}
