//! Each mechanism of the request path earns its place: without it, its promise breaks.

mod support;

use std::time::Duration;

use driftspring_settings::MechanismSettings;
use driftspring_standin::FaultUpdate;
use driftspring_types::{KeyHash, Tenant, WeightsVersion};
use support::daemon::{TestDaemon, route, tenant};
use support::engines::{Engines, expected_tokens};
use support::wait_until;

const PROMPT: &str = "clause 9: glazing";
const TOKENS: u32 = 8;

fn start(engines: &Engines, change: impl Fn(&mut MechanismSettings)) -> TestDaemon {
    TestDaemon::start(&engines.addresses(), |settings| {
        settings.mechanisms.claims = false;
        change(&mut settings.mechanisms);
    })
}

/// The results of `run` with a mechanism on and with it off.
fn on_and_off<T>(run: impl Fn(bool) -> T) -> (T, T) {
    (run(true), run(false))
}

#[test]
fn without_matching_crossed_events_get_into_answers() {
    let right = |on| {
        let engines = Engines::start(1);
        let daemon = start(&engines, |mechanisms| mechanisms.match_answers = on);
        let cross = FaultUpdate {
            cross_answers: Some(3),
            ..FaultUpdate::default()
        };
        engines.fault(0, &cross);
        let tokens = daemon.caller().stream(&[], PROMPT, TOKENS).events().tokens;
        tokens == expected_tokens(PROMPT, TOKENS)
    };
    assert_eq!(on_and_off(right), (true, false));
}

#[test]
fn without_resuming_a_cut_stream_ends_silently() {
    let explicit_or_whole = |on| {
        let engines = Engines::start(1);
        let daemon = start(&engines, |mechanisms| mechanisms.resume_streams = on);
        let cut = FaultUpdate {
            cut_after_tokens: Some(3),
            ..FaultUpdate::default()
        };
        engines.fault(0, &cut);
        let streamed = daemon.caller().stream(&[], PROMPT, TOKENS).events();
        streamed.is_terminated || streamed.error.is_some()
    };
    assert_eq!(on_and_off(explicit_or_whole), (true, false));
}

#[test]
fn without_expectations_other_weights_answer() {
    let refused = |on| {
        let engines = Engines::start_with(1, |options| options.weights_version = WeightsVersion(2));
        let daemon = start(&engines, |mechanisms| mechanisms.expect_incarnation = on);
        daemon.caller().complete(&[], PROMPT, TOKENS).status == 503 && engines.runs().is_empty()
    };
    assert_eq!(on_and_off(refused), (true, false));
}

#[test]
fn without_tenant_scope_another_tenant_s_cache_is_used() {
    let isolated = |on| {
        let engines = Engines::start(1);
        let daemon = TestDaemon::start(&engines.addresses(), |settings| {
            settings.mechanisms.tenant_scope = on;
            settings.bootstrap.tenants.push(Tenant {
                id: "shire".into(),
                key_hash: KeyHash::of_bearer_key("key-of-shire"),
                ..tenant()
            });
            let mut other_route = route();
            other_route.name = "shire-verdicts".to_owned();
            other_route.tenant = "shire".into();
            settings.bootstrap.routes.push(other_route);
        });
        let prompt = "the same text ".repeat(100);
        daemon.caller().complete(&[], &prompt, 1);
        let other_key = [("authorization", "Bearer key-of-shire")];
        let answer = daemon.caller().complete(&other_key, &prompt, 1);
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        answer.header("x-cached-tokens") == Some("0")
    };
    assert_eq!(on_and_off(isolated), (true, false));
}

#[test]
fn without_classification_a_request_that_ran_is_told_as_not_run() {
    let truthful = |on| {
        let engines = Engines::start(1);
        let daemon = TestDaemon::start(&engines.addresses(), |settings| {
            settings.mechanisms.claims = false;
            settings.mechanisms.classify_outcomes = on;
            settings.request.first_token_timeout = Duration::from_millis(300);
        });
        let once = [
            ("x-repeatable", "false"),
            ("idempotency-key", "order-7"),
            ("x-idempotency-issued-at", "1780000000000"),
        ];
        let caller = daemon.caller();
        let asking = std::thread::spawn(move || caller.complete(&once, PROMPT, 1000));
        wait_until("the request runs", || !engines.runs().is_empty());
        engines.0[0].state.crash();
        let answer = asking.join().expect("an answer");
        assert_eq!(engines.runs().len(), 1);
        answer.json()["error"]["not_run"] == false
    };
    assert_eq!(on_and_off(truthful), (true, false));
}

#[test]
fn without_heed_a_drained_engine_gets_new_work() {
    let spared = |on| {
        let engines = Engines::start(1);
        let daemon = start(&engines, |mechanisms| mechanisms.heed_leaving = on);
        daemon.drain("engine-0");
        daemon.caller().complete(&[], PROMPT, TOKENS);
        engines.runs().is_empty()
    };
    assert_eq!(on_and_off(spared), (true, false));
}
