//! What callers are told about whether their request ran is true.

mod support;

use std::time::Duration;

use driftspring_settings::Settings;
use driftspring_standin::FaultUpdate;
use driftspring_standin::engine::EngineStandinOptions;
use driftspring_types::{Incarnation, WeightsVersion};
use support::caller::{Answer, Caller};
use support::daemon::{TestDaemon, route};
use support::engines::{Engines, expected_tokens};
use support::wait_until;

const PROMPT: &str = "order 7: one frame, two sashes";
/// A request that may run at most once.
const ONCE: [(&str, &str); 3] = [
    ("x-repeatable", "false"),
    ("idempotency-key", "order-7"),
    ("x-idempotency-issued-at", "1780000000000"),
];

fn short_timeouts(settings: &mut Settings) {
    settings.mechanisms.claims = false;
    settings.request.token_timeout = Duration::from_millis(200);
    settings.request.first_token_timeout = Duration::from_millis(600);
}

fn fault(change: impl FnOnce(&mut FaultUpdate)) -> FaultUpdate {
    let mut update = FaultUpdate::default();
    change(&mut update);
    update
}

#[track_caller]
fn assert_outcome(answer: &Answer, outcome: &str) {
    let error = &answer.json()["error"];
    assert_eq!(error["outcome"], outcome, "{} {error}", answer.status);
    assert_eq!(error["not_run"], outcome == "not_run", "{error}");
    assert!(answer.header("retry-after").is_some(), "{error}");
    assert!(answer.header("x-request-id").is_some(), "{error}");
}

#[track_caller]
fn assert_answered(answer: &Answer, tokens: u32) {
    assert_eq!(answer.status, 200, "{:?}", answer.json());
    let text = &answer.json()["choices"][0]["text"];
    assert_eq!(*text, expected_tokens(PROMPT, tokens).concat());
}

#[test]
fn a_lost_answer_to_a_request_that_may_not_be_repeated_is_fetched() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    engines.fault_all(&fault(|update| update.lose_answers = Some(1)));
    assert_answered(&daemon.caller().complete(&ONCE, PROMPT, 4), 4);
    assert_eq!(
        engines.runs().len(),
        1,
        "it ran once, and not at the other engine"
    );
}

#[test]
fn an_answer_lost_with_its_engine_s_life_leaves_the_request_unknown() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    let caller = daemon.caller();
    let asking = std::thread::spawn(move || caller.complete(&ONCE, PROMPT, 1000));
    wait_until("the request runs", || !engines.runs().is_empty());
    engines.0[engines.index_of_run()].state.crash();
    assert_outcome(&asking.join().expect("an answer"), "unknown");
    assert_eq!(
        engines.runs().len(),
        1,
        "it ran once, and not at the other engine"
    );
}

#[test]
fn a_lost_answer_to_a_repeatable_request_is_made_good() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    engines.fault(0, &fault(|update| update.lose_answers = Some(1)));
    assert_answered(&daemon.caller().complete(&[], PROMPT, 4), 4);
}

#[test]
fn a_frozen_engine_leaves_a_request_that_may_not_be_repeated_unknown() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    engines.fault_all(&fault(|update| update.freeze = Some(true)));
    assert_outcome(&daemon.caller().complete(&ONCE, PROMPT, 4), "unknown");
}

#[test]
fn a_cut_stream_of_a_request_that_may_not_be_repeated_is_resumed_and_runs_once() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    engines.fault_all(&fault(|update| update.cut_after_tokens = Some(2)));
    assert_answered(&daemon.caller().complete(&ONCE, PROMPT, 8), 8);
    assert_eq!(engines.runs().len(), 1);
}

#[test]
fn a_crash_leaves_a_request_that_may_not_be_repeated_unknown() {
    let engines = Engines::start_slow(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    let mut answer = daemon.caller().begin_stream(&ONCE, PROMPT, 40);
    answer.read_tokens(3);
    engines.0[engines.index_of_run()].state.crash();
    let streamed = answer.finish().events();
    assert_eq!(
        streamed.error.expect("an error event")["outcome"],
        "unknown"
    );
    assert_eq!(engines.runs().len(), 1, "no other engine ran it");
}

#[test]
fn engines_that_refuse_did_not_run_the_request() {
    let engines = Engines::start_with(2, |options| options.engine.max_queue = 0);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    assert_outcome(&daemon.caller().complete(&ONCE, PROMPT, 4), "not_run");
    assert_outcome(&daemon.caller().complete(&[], PROMPT, 4), "not_run");
    assert!(engines.runs().is_empty());
}

#[test]
fn engines_that_can_t_be_reached_did_not_run_the_request() {
    let engines = Engines::start(2);
    let addresses = engines.addresses();
    for engine in engines.0 {
        engine.server.kill();
    }
    let daemon = TestDaemon::start(&addresses, short_timeouts);
    assert_outcome(&daemon.caller().complete(&ONCE, PROMPT, 4), "not_run");
    assert_outcome(&daemon.caller().complete(&[], PROMPT, 4), "not_run");
}

#[test]
fn one_dead_engine_stops_no_request() {
    let mut engines = Engines::start(2);
    let addresses = engines.addresses();
    engines.0.remove(0).server.kill();
    let daemon = TestDaemon::start(&addresses, short_timeouts);
    for headers in [&ONCE[..], &[]] {
        assert_answered(&daemon.caller().complete(headers, PROMPT, 4), 4);
    }
}

#[test]
fn a_deadline_that_passes_ends_the_request_at_once() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    engines.fault_all(&fault(|update| update.freeze = Some(true)));
    let answer = daemon
        .caller()
        .complete(&[("x-deadline-ms", "150")], PROMPT, 4);
    assert_eq!(answer.status, 504);
    assert_outcome(&answer, "unknown");
}

#[test]
fn a_stopping_daemon_refuses_new_requests_and_finishes_open_ones() {
    let engines = Engines::start_slow(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let caller = daemon.caller();
    let mut open = caller.begin_stream(&[], PROMPT, 40);
    open.read_tokens(1);
    let state = std::sync::Arc::clone(&daemon.running.state);
    let stop = std::thread::spawn(move || daemon.running.stop());
    wait_until("the stop has begun", || state.is_stopping());
    let refused = caller.complete(&[], PROMPT, 1);
    assert_outcome(&refused, "not_run");
    assert_eq!(refused.json()["error"]["code"], "stopping");
    assert_eq!(refused.header("connection"), Some("close"));
    let streamed = open.finish().events();
    assert!(streamed.is_terminated, "{streamed:?}");
    assert_eq!(streamed.tokens, expected_tokens(PROMPT, 40));
    stop.join().expect("no panic").expect("a planned stop");
}

#[test]
fn a_crashed_engine_is_served_by_its_new_life() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    assert_answered(&daemon.caller().complete(&[], PROMPT, 4), 4);
    let known = || {
        let table = daemon.running.state.engines.load();
        table
            .get(&"engine-0".into())
            .expect("a known engine")
            .record
            .clone()
    };
    let first_life = known().incarnation;
    assert_ne!(
        first_life,
        Incarnation(0),
        "learnt from the answer's headers"
    );
    engines.0[0].state.crash();
    for headers in [&ONCE[..], &[]] {
        assert_answered(&daemon.caller().complete(headers, PROMPT, 4), 4);
    }
    assert!(known().incarnation > first_life);
}

#[test]
fn other_weights_are_never_used() {
    let newer = |options: &mut EngineStandinOptions| options.weights_version = WeightsVersion(2);
    let engines = Engines::start_with(1, newer);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    assert_outcome(&daemon.caller().complete(&[], PROMPT, 4), "not_run");
    assert!(engines.runs().is_empty());
    let shifted = TestDaemon::start(&engines.addresses(), |settings| {
        let mut route = route();
        route.shift = Some(driftspring_types::VersionShift {
            to_version: WeightsVersion(2),
            percent: 100,
        });
        settings.bootstrap.routes = vec![route];
    });
    assert_answered(&shifted.caller().complete(&[], PROMPT, 4), 4);
}

#[test]
fn a_leaving_engine_gets_no_new_work_and_finishes_what_is_open() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let caller = daemon.caller();
    let mut open = caller.begin_stream(&[], PROMPT, 200);
    open.read_tokens(1);
    let leaving = engines.index_of_run();
    let staying = format!("engine-{}", 1 - leaving);
    Caller::new(engines.addresses()[leaving]).post("/leave", &[], b"");
    for _ in 0..4 {
        let answer = caller.complete(&[], PROMPT, 1);
        assert_eq!(answer.header("x-engine"), Some(staying.as_str()));
    }
    assert_eq!(open.finish().events().tokens, expected_tokens(PROMPT, 200));
}

#[test]
fn a_drained_engine_gets_no_new_work() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    daemon.drain("engine-0");
    for _ in 0..4 {
        let answer = daemon.caller().complete(&[], PROMPT, 1);
        assert_eq!(answer.header("x-engine"), Some("engine-1"));
    }
    daemon.drain("engine-1");
    assert_outcome(&daemon.caller().complete(&[], PROMPT, 1), "not_run");
}
