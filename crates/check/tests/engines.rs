//! The checks of engines: cache reliance, leaving and fencing.

mod common;

use common::{Script, invocation, run_with_cached};
use driftspring_check::{CheckSettings, Promise};
use driftspring_history::{Event, Invocation, RunLogEntry};
use driftspring_types::{Incarnation, WeightsVersion};

const STRICT: CheckSettings = CheckSettings {
    leaving_bound: std::time::Duration::from_secs(5),
    configuration_bound: std::time::Duration::from_secs(10),
    answer_bound: std::time::Duration::from_secs(120),
    kept_cache: false,
};

#[test]
fn a_dispatch_that_relies_on_an_ended_life_must_not_run() {
    let run_in_life_2 = RunLogEntry {
        incarnation: Incarnation(2),
        ..run_with_cached(0)
    };
    let relying_on = |life, cached| {
        Script::default()
            .invoke(0, 1)
            .dispatch(1, 1, life, cached)
            .run(2, 1, run_in_life_2.clone())
    };
    relying_on(1, 640).assert_broken(Promise::CacheReliance, 2);
    relying_on(2, 640).assert_kept(Promise::CacheReliance);
    relying_on(1, 0).assert_kept(Promise::CacheReliance);
}

#[test]
fn cached_tokens_must_come_from_the_same_tenant_and_weights() {
    let second = |tenant: &str, weights_version| {
        let invoked = Invocation {
            tenant: tenant.into(),
            ..invocation(2)
        };
        let run = RunLogEntry {
            weights_version: WeightsVersion(weights_version),
            ..run_with_cached(640)
        };
        Script::default()
            .invoke(0, 1)
            .run(1, 1, run_with_cached(0))
            .at(2, Event::Invoked(invoked))
            .run(3, 2, run)
    };
    second("moreton", 1).assert_kept(Promise::CacheReliance);
    second("directorate", 1).assert_broken(Promise::CacheReliance, 3);
    second("moreton", 2).assert_broken(Promise::CacheReliance, 3);
}

#[test]
fn cached_tokens_outlive_no_crash_where_cache_is_not_kept() {
    let run_after_crash = RunLogEntry {
        incarnation: Incarnation(2),
        ..run_with_cached(640)
    };
    let script = Script::default()
        .invoke(0, 1)
        .run(1, 1, run_with_cached(0))
        .invoke(2, 2)
        .run(3, 2, run_after_crash);
    script.assert_kept(Promise::CacheReliance);
    let violation = script.check_with(Promise::CacheReliance, &STRICT);
    assert_eq!(violation.expect_err("bad").event_index, 3);
}

#[test]
fn a_run_explains_no_cached_tokens_of_its_own() {
    Script::default()
        .invoke(0, 1)
        .run(1, 1, run_with_cached(64))
        .assert_broken(Promise::CacheReliance, 1);
}

#[test]
fn a_leaving_engine_gets_work_only_within_the_bound() {
    let sent_at = |at_ms| {
        Script::default()
            .leave(0)
            .invoke(1, 1)
            .dispatch(at_ms, 1, 1, 0)
    };
    sent_at(4_900).assert_kept(Promise::Leaving);
    sent_at(5_100).assert_broken(Promise::Leaving, 2);
    let begun_at = |at_ms| {
        Script::default()
            .leave(0)
            .invoke(1, 1)
            .run(at_ms, 1, run_with_cached(0))
    };
    begun_at(4_900).assert_kept(Promise::Leaving);
    begun_at(5_100).assert_broken(Promise::Leaving, 2);
}

#[test]
fn an_engine_that_has_returned_may_get_work() {
    let engine = "engine-1".into();
    Script::default()
        .leave(0)
        .at(100, Event::EngineReturned { engine })
        .invoke(6_000, 1)
        .dispatch(6_001, 1, 1, 0)
        .assert_kept(Promise::Leaving);
}

#[test]
fn an_order_under_a_lower_token_may_only_be_refused() {
    let orders = |accepted| {
        Script::default()
            .order(0, 3, true)
            .order(1, 7, true)
            .order(2, 5, accepted)
    };
    orders(true).assert_broken(Promise::Fencing, 2);
    orders(false).assert_kept(Promise::Fencing);
}
