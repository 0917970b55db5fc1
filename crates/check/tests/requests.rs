//! The checks of requests: each accepts a good history and rejects a bad one at the right event.

mod common;

use common::{Script, invocation, request, run_with_cached, token};
use driftspring_check::Promise;
use driftspring_history::{Ending, Event, Fault, FaultTarget, Invocation};
use driftspring_types::NotRunReason;

const NOT_RUN: Ending = Ending::NotRun { reason: None };

#[test]
fn a_whole_stream_keeps_every_promise() {
    let script = Script::default()
        .start_daemon(0, 1)
        .invoke(1, 1)
        .dispatch(2, 1, 1, 0)
        .run(2, 1, run_with_cached(0))
        .all_tokens(3, 1)
        .answer(4, 1, Ending::Whole);
    for promise in Promise::ALL {
        script.assert_kept(promise);
    }
}

#[test]
fn a_repeated_a_missing_and_an_exchanged_token_break_the_stream() {
    let begun = || Script::default().invoke(0, 1).token(1, 1, 0, 0);
    begun().token(2, 1, 0, 0).assert_broken(Promise::Streams, 2);
    begun().token(2, 1, 2, 2).assert_broken(Promise::Streams, 2);
    begun().token(2, 1, 1, 2).assert_broken(Promise::Streams, 2);
    begun().token(2, 1, 1, 1).assert_kept(Promise::Streams);
}

#[test]
fn a_part_marked_as_whole_breaks_the_stream() {
    let part = || Script::default().invoke(0, 1).token(1, 1, 0, 0);
    part()
        .answer(2, 1, Ending::Whole)
        .assert_broken(Promise::Streams, 2);
    part()
        .answer(2, 1, Ending::Unknown)
        .assert_kept(Promise::Streams);
}

#[test]
fn a_token_after_the_end_breaks_the_stream() {
    Script::default()
        .invoke(0, 1)
        .token(1, 1, 0, 0)
        .answer(2, 1, Ending::Unknown)
        .token(3, 1, 1, 1)
        .assert_broken(Promise::Streams, 3);
}

#[test]
fn a_silent_end_is_excused_only_by_the_loss_of_the_daemon() {
    let begun = || Script::default().start_daemon(0, 1).invoke(1, 1);
    begun()
        .answer(3, 1, Ending::Silent)
        .assert_broken(Promise::Streams, 2);
    begun()
        .kill_daemon(2)
        .answer(3, 1, Ending::Silent)
        .assert_kept(Promise::Streams);
}

#[test]
fn a_request_without_an_end_breaks_the_stream_once_it_is_overdue() {
    let begun = || Script::default().invoke(0, 1);
    begun().leave(119_000).assert_kept(Promise::Streams);
    begun().leave(121_000).assert_broken(Promise::Streams, 0);
}

#[test]
fn a_token_of_another_request_is_no_own_answer() {
    let mut foreign = invocation(1);
    foreign.expected_tokens = Some(vec![" other".to_owned()]);
    Script::default()
        .at(0, Event::Invoked(foreign))
        .token(1, 1, 0, 0)
        .assert_broken(Promise::OwnAnswer, 1);
    let mut named = token(1, 0, 0);
    named.named_request_id = Some(request(2));
    Script::default()
        .invoke(0, 1)
        .at(1, Event::TokenReceived(named))
        .assert_broken(Promise::OwnAnswer, 1);
    Script::default()
        .invoke(0, 1)
        .token(1, 1, 0, 0)
        .assert_kept(Promise::OwnAnswer);
}

#[test]
fn a_request_answered_not_run_must_be_in_no_run_log() {
    let refused = || Script::default().invoke(0, 1).answer(2, 1, NOT_RUN);
    refused().assert_kept(Promise::NotRun);
    refused()
        .run(1, 1, run_with_cached(0))
        .assert_broken(Promise::NotRun, 2);
    Script::default()
        .invoke(0, 1)
        .run(1, 1, run_with_cached(0))
        .answer(2, 1, Ending::Unknown)
        .assert_kept(Promise::NotRun);
}

#[test]
fn a_key_that_may_not_be_repeated_has_one_run_at_most() {
    let keyed = |number, tenant: &str| {
        Event::Invoked(Invocation {
            idempotency_key: Some("alert-7".into()),
            repeatable: false,
            tenant: tenant.into(),
            ..invocation(number)
        })
    };
    let both_run = |second_tenant| {
        Script::default()
            .at(0, keyed(1, "moreton"))
            .at(0, keyed(2, second_tenant))
            .run(1, 1, run_with_cached(0))
            .run(2, 2, run_with_cached(0))
    };
    both_run("moreton").assert_broken(Promise::AtMostOnce, 3);
    both_run("directorate").assert_kept(Promise::AtMostOnce);
}

#[test]
fn the_first_request_after_a_start_is_served() {
    let first = |reason| {
        Script::default()
            .start_daemon(0, 1)
            .invoke(1, 1)
            .answer(2, 1, Ending::NotRun { reason })
    };
    first(Some(NotRunReason::Starting)).assert_broken(Promise::Restart, 2);
    first(Some(NotRunReason::NoEngine)).assert_broken(Promise::Restart, 2);
    first(Some(NotRunReason::TenantLimit)).assert_kept(Promise::Restart);
    first(Some(NotRunReason::NoEngine))
        .leave(0)
        .assert_kept(Promise::Restart);
    let silent = || Script::default().start_daemon(0, 1).invoke(1, 1);
    silent()
        .answer(3, 1, Ending::Silent)
        .assert_broken(Promise::Restart, 2);
    silent()
        .kill_daemon(2)
        .answer(3, 1, Ending::Silent)
        .assert_kept(Promise::Restart);
}

#[test]
fn a_planned_stop_of_a_daemon_cuts_no_open_stream() {
    let stopped = |ending| {
        let daemon = "daemon-1".into();
        Script::default()
            .invoke(0, 1)
            .token(1, 1, 0, 0)
            .at(2, Event::DaemonStopping { daemon })
            .answer(3, 1, ending)
    };
    stopped(Ending::Unknown).assert_broken(Promise::PlannedStop, 3);
    stopped(Ending::Silent).assert_broken(Promise::PlannedStop, 3);
    stopped(Ending::Whole).assert_kept(Promise::PlannedStop);
}

#[test]
fn an_error_by_the_loss_of_the_engine_is_no_cut_by_the_stop() {
    let crashed = |engine: &str, ending| {
        let target = FaultTarget::Engine(engine.into());
        let fault = Fault::Crash;
        let daemon = "daemon-1".into();
        Script::default()
            .invoke(0, 1)
            .dispatch(1, 1, 1, 0)
            .token(2, 1, 0, 0)
            .at(3, Event::FaultInjected { target, fault })
            .at(4, Event::DaemonStopping { daemon })
            .answer(5, 1, ending)
    };
    crashed("engine-1", Ending::Unknown).assert_kept(Promise::PlannedStop);
    crashed("engine-1", Ending::Silent).assert_broken(Promise::PlannedStop, 5);
    crashed("engine-2", Ending::Unknown).assert_broken(Promise::PlannedStop, 5);
}

#[test]
fn a_planned_stop_of_an_engine_cuts_no_open_stream() {
    let stopped = |ending| {
        Script::default()
            .invoke(0, 1)
            .run(1, 1, run_with_cached(0))
            .leave(2)
            .answer(3, 1, ending)
    };
    stopped(Ending::Unknown).assert_broken(Promise::PlannedStop, 3);
    stopped(Ending::Whole).assert_kept(Promise::PlannedStop);
}
