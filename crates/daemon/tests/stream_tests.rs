//! Answers come whole and in order, over broken, stalled, repeated and crossed streams.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use driftspring_settings::Settings;
use driftspring_standin::FaultUpdate;
use driftspring_standin::engine::RunEnd;
use serde_json::json;
use support::caller::{Answer, OpenAnswer, StreamedAnswer};
use support::daemon::{MODEL, TestDaemon};
use support::engines::{Engines, expected_tokens};
use support::wait_until;

const PROMPT: &str = "band 4: 2 to 8 degrees; depot 7; truck 12; log:";
const TOKENS: u32 = 24;

fn short_timeouts(settings: &mut Settings) {
    settings.request.token_timeout = Duration::from_millis(200);
    settings.request.first_token_timeout = Duration::from_millis(800);
}

#[track_caller]
fn assert_whole(answer: &Answer) {
    let expected = StreamedAnswer {
        tokens: expected_tokens(PROMPT, TOKENS),
        sequences: (0..u64::from(TOKENS)).collect(),
        has_finish: true,
        is_terminated: true,
        counted_tokens: Some(u64::from(TOKENS)),
        error: None,
    };
    assert_eq!(answer.status, 200, "{:?}", answer.json());
    assert_eq!(answer.events(), expected);
}

#[test]
fn a_streamed_answer_is_whole() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let answer = daemon.caller().stream(&[], PROMPT, TOKENS);
    assert_whole(&answer);
    assert_eq!(answer.header("x-engine"), Some("engine-0"));
    assert_eq!(answer.header("x-cached-tokens"), Some("0"));
}

#[test]
fn an_answer_in_one_document_is_whole() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let answer = daemon.caller().complete(&[], PROMPT, TOKENS);
    let body = answer.json();
    assert_eq!(
        body["choices"][0]["text"],
        expected_tokens(PROMPT, TOKENS).concat()
    );
    assert_eq!(body["choices"][0]["finish_reason"], "length");
    assert_eq!(body["usage"]["completion_tokens"], TOKENS);
}

#[test]
fn a_chat_is_answered_in_both_forms() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let prompt = "system\nbands\nuser\nlog\n";
    let mut body = json!({
        "model": MODEL,
        "max_tokens": 5,
        "messages": [{"role": "system", "content": "bands"}, {"role": "user", "content": "log"}],
    });
    let caller = daemon.caller();
    let answer = caller.post("/v1/chat/completions", &[], body.to_string().as_bytes());
    let message = &answer.json()["choices"][0]["message"];
    assert_eq!(message["content"], expected_tokens(prompt, 5).concat());
    body["stream"] = json!(true);
    let answer = caller.post("/v1/chat/completions", &[], body.to_string().as_bytes());
    assert_eq!(answer.events().tokens, expected_tokens(prompt, 5));
}

#[test]
fn repeated_and_crossed_events_are_dropped() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    engines.fault(
        0,
        &FaultUpdate {
            duplicate_tokens: Some(7),
            cross_answers: Some(9),
            ..FaultUpdate::default()
        },
    );
    assert_whole(&daemon.caller().stream(&[], PROMPT, TOKENS));
    assert_eq!(daemon.running.state.metrics.dropped_events.get(), 16);
}

#[test]
fn a_cut_stream_is_resumed_at_its_engine() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    for cut_after in [0, 1, 10, TOKENS] {
        let cut = FaultUpdate {
            cut_after_tokens: Some(cut_after),
            ..FaultUpdate::default()
        };
        engines.fault(0, &cut);
        assert_whole(&daemon.caller().stream(&[], PROMPT, TOKENS));
        engines.fault(0, &cut);
        let text = expected_tokens(PROMPT, TOKENS).concat();
        let answer = daemon.caller().complete(&[], PROMPT, TOKENS);
        assert_eq!(answer.json()["choices"][0]["text"], text);
    }
    assert_eq!(engines.runs().len(), 8);
}

#[test]
fn a_crashed_engine_s_answer_is_continued_on_another() {
    let engines = Engines::start_slow(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    let mut answer = daemon.caller().begin_stream(&[], PROMPT, TOKENS);
    answer.read_tokens(5);
    let crashed = engines.index_of_run();
    engines.0[crashed].state.crash();
    assert_whole(&answer.finish());
    let continued = engines.0[1 - crashed].state.run_log();
    assert!(continued[0].first_sequence >= 5, "{continued:?}");
}

#[test]
fn a_frozen_engine_s_answer_is_continued_on_another() {
    let engines = Engines::start_slow(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    let mut answer = daemon.caller().begin_stream(&[], PROMPT, TOKENS);
    answer.read_tokens(5);
    let frozen = engines.index_of_run();
    let freeze = FaultUpdate {
        freeze: Some(true),
        ..FaultUpdate::default()
    };
    engines.fault(frozen, &freeze);
    assert_whole(&answer.finish());
    assert_eq!(engines.0[1 - frozen].state.run_log().len(), 1);
}

#[test]
fn an_engine_frozen_from_the_start_is_passed_over() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    let freeze = FaultUpdate {
        freeze: Some(true),
        ..FaultUpdate::default()
    };
    engines.fault(0, &freeze);
    assert_whole(&daemon.caller().stream(&[], PROMPT, TOKENS));
    assert_whole(&daemon.caller().stream(&[], PROMPT, TOKENS));
}

#[test]
fn an_answer_that_can_t_be_completed_ends_in_an_explicit_error() {
    let mut engines = Engines::start_slow(1);
    let daemon = TestDaemon::start(&engines.addresses(), short_timeouts);
    let mut answer = daemon.caller().begin_stream(&[], PROMPT, TOKENS);
    answer.read_tokens(5);
    engines.0.remove(0).server.kill();
    let streamed = answer.finish().events();
    let expected = expected_tokens(PROMPT, TOKENS);
    assert!(expected.starts_with(&streamed.tokens), "{streamed:?}");
    assert!(
        !streamed.is_terminated && !streamed.has_finish,
        "{streamed:?}"
    );
    let error = streamed.error.expect("an error event");
    assert_eq!(error["outcome"], "unknown");
    assert_eq!(error["not_run"], false);
    assert!(error["retry_after_ms"].as_u64() > Some(0));
}

#[test]
fn a_caller_that_reads_nothing_keeps_its_engine_until_its_deadline_only() {
    let engines = Engines::start_with(1, |options| {
        options.engine.step_base_microseconds = 10.0;
    });
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let deadline = [("x-deadline-ms", "3000")];
    let caller = daemon.caller();
    let connection = caller.send_stream_request(&deadline, PROMPT, 1_000_000);
    wait_until("the run is cancelled", || {
        let runs = engines.runs();
        runs.first()
            .is_some_and(|run| run.ended == RunEnd::Cancelled)
    });
    let state = &daemon.running.state;
    wait_until("the request is over", || {
        state.open_requests.load(Ordering::Acquire) == 0
    });
    assert_eq!(state.metrics.abandoned_requests.get(), 1, "it was blocked");
    let streamed = OpenAnswer::read_head(connection).finish().events();
    assert_eq!(
        streamed.error.expect("an error event")["outcome"],
        "unknown"
    );
}

#[test]
fn a_caller_that_hangs_up_cancels_the_engine_s_work() {
    let engines = Engines::start_with(1, |options| {
        options.engine.step_base_microseconds = 50_000.0;
    });
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let mut answer = daemon.caller().begin_stream(&[], PROMPT, 1000);
    answer.read_tokens(1);
    drop(answer);
    wait_until("the run is cancelled", || {
        engines.runs()[0].ended == RunEnd::Cancelled
    });
    wait_until("the request is over", || {
        daemon.running.state.metrics.abandoned_requests.get() == 1
    });
}

#[test]
fn a_caller_that_hangs_up_before_the_first_token_cancels_the_engine_s_work() {
    let engines = Engines::start_with(1, |options| {
        options.engine.step_base_microseconds = 300_000.0;
    });
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let connection = daemon.caller().send_stream_request(&[], PROMPT, 1000);
    wait_until("the request runs", || !engines.runs().is_empty());
    drop(connection);
    wait_until("the run is cancelled", || {
        engines.runs()[0].ended == RunEnd::Cancelled
    });
}
