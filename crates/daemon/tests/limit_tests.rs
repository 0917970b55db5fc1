//! Limits on the request path: a tenant that floods does not starve another, refusals come at once and
//! say when to come back, and a silent engine is left alone.

mod support;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use driftspring_settings::Settings;
use driftspring_standin::FaultUpdate;
use driftspring_types::{KeyHash, Route, Tenant};
use support::caller::{Answer, Caller};
use support::daemon::{TestDaemon, route, tenant};
use support::engines::Engines;

const SMALL_KEY: &str = "key-of-clinics";
const SMALL: [(&str, &str); 1] = [("authorization", "Bearer key-of-clinics")];
/// Threads of the tenant that floods.
const FLOOD_CALLERS: usize = 40;

fn small_tenant() -> Tenant {
    Tenant {
        id: "clinics".into(),
        key_hash: KeyHash::of_bearer_key(SMALL_KEY),
        ..tenant()
    }
}

fn small_route() -> Route {
    Route {
        name: "clinic-verdicts".to_owned(),
        tenant: "clinics".into(),
        ..route()
    }
}

fn two_tenants(settings: &mut Settings) {
    settings.bootstrap.tenants.push(small_tenant());
    settings.bootstrap.routes.push(small_route());
    settings.request.max_open = 20;
}

#[track_caller]
fn assert_refused(answer: &Answer, status: u16, code: &str) {
    let error = &answer.json()["error"];
    assert_eq!(answer.status, status, "{error}");
    assert_eq!(error["code"], code, "{error}");
    assert_eq!(error["not_run"], true, "{error}");
    assert!(
        error["retry_after_ms"]
            .as_u64()
            .is_some_and(|time| time > 0),
        "{error}"
    );
    assert!(answer.header("retry-after").is_some(), "{error}");
}

/// Requests until told to stop; counts the refusals.
fn flood(caller: Caller, stops: &AtomicBool, refusals: &AtomicUsize) {
    while !stops.load(Ordering::Acquire) {
        let answer = caller.complete(&[], "a flood", 30);
        if answer.status == 503 {
            assert_refused(&answer, 503, "overloaded");
            refusals.fetch_add(1, Ordering::AcqRel);
        }
    }
}

#[test]
fn a_flood_of_one_tenant_does_not_starve_another() {
    let engines = Engines::start(2);
    let daemon = TestDaemon::start(&engines.addresses(), two_tenants);
    let caller = daemon.caller();
    let (stops, refusals) = (AtomicBool::new(false), AtomicUsize::new(0));
    let refused = std::thread::scope(|scope| {
        for _ in 0..FLOOD_CALLERS {
            scope.spawn(|| flood(caller, &stops, &refusals));
        }
        support::wait_until("the flood is shed", || {
            refusals.load(Ordering::Acquire) > 50
        });
        let answers = (0..30).map(|_| caller.complete(&SMALL, "a verdict", 4));
        let refused = answers.filter(|answer| answer.status != 200).count();
        stops.store(true, Ordering::Release);
        refused
    });
    assert_eq!(refused, 0, "requests of the small tenant were refused");
}

#[test]
fn limits_of_a_tenant_are_named_and_refused_at_once() {
    let engines = Engines::start(1);
    let limited = |requests_per_second, max_concurrent| {
        TestDaemon::start(&engines.addresses(), move |settings| {
            settings.bootstrap.tenants = vec![Tenant {
                requests_per_second,
                max_concurrent,
                ..tenant()
            }];
        })
    };
    let daemon = limited(2, 0);
    let answers: Vec<Answer> = (0..6)
        .map(|_| daemon.caller().complete(&[], "text", 0))
        .collect();
    let refused = answers.iter().find(|answer| answer.status != 200);
    assert_refused(refused.expect("a refusal"), 429, "tenant_limit");
    let daemon = limited(0, 1);
    let mut open = daemon.caller().begin_stream(&[], "text", 60);
    open.read_tokens(1);
    assert_refused(
        &daemon.caller().complete(&[], "text", 1),
        429,
        "tenant_limit",
    );
    assert_eq!(open.finish().events().tokens.len(), 60);
    support::wait_until("the permit is given back", || {
        daemon.caller().complete(&[], "text", 1).status == 200
    });
}

#[test]
fn a_silent_engine_is_left_alone_until_it_answers_again() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |settings| {
        settings.request.first_token_timeout = Duration::from_millis(100);
    });
    let caller = daemon.caller();
    let freeze = |freeze| {
        engines.fault(
            0,
            &FaultUpdate {
                freeze: Some(freeze),
                ..FaultUpdate::default()
            },
        );
    };
    freeze(true);
    support::wait_until("the breaker opens", || {
        let answer = caller.complete(&[], "text", 1);
        answer.json()["error"]["code"] == "no_engine"
    });
    let before = Instant::now();
    let answers: Vec<Answer> = (0..5).map(|_| caller.complete(&[], "text", 1)).collect();
    let at_once = answers.iter().filter(|answer| answer.status == 503).count();
    assert!(
        at_once > 0,
        "nothing was refused at once within {:?}",
        before.elapsed()
    );
    freeze(false);
    support::wait_until("a probe closes the breaker", || {
        caller.complete(&[], "text", 1).status == 200
    });
}
