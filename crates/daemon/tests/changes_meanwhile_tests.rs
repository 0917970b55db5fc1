//! Requests during which the configuration changes.
//!
//! Guards against a request that takes its tenant from one configuration and its route from another.

mod support;

use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use driftspring_standin::FaultUpdate;
use driftspring_types::{ConfigView, KeyHash, Route, Tenant};
use support::caller::{OpenAnswer, completion};
use support::daemon::{KEY, TestDaemon, route, tenant};
use support::engines::{Engines, expected_tokens};
use support::wait_until;

const PROMPT: &str = "band 4: 2 to 8 degrees; depot 7; truck 12; log:";
const TOKENS: u32 = 24;

/// The tenant that takes the key over.
const OTHER: &str = "harbours";

/// Puts a configuration of only this tenant, which holds the key, and these routes in force.
fn put(daemon: &TestDaemon, tenant: Tenant, routes: &[Route]) {
    let by_model = |route: &Route| (route.model.clone(), Arc::new(route.clone()));
    let config = ConfigView {
        routes: HashMap::from([(tenant.id.clone(), routes.iter().map(by_model).collect())]),
        tenants_by_key: HashMap::from([(KeyHash::of_bearer_key(KEY), Arc::new(tenant))]),
        ..ConfigView::default()
    };
    daemon.running.state.config.store(Arc::new(config));
}

fn other_tenant() -> Tenant {
    Tenant {
        id: OTHER.into(),
        ..tenant()
    }
}

fn other_route() -> Route {
    Route {
        name: "harbour-verdicts".to_owned(),
        tenant: OTHER.into(),
        ..route()
    }
}

/// Sends a request half of whose body comes after `change`.
fn send_in_halves(daemon: &TestDaemon, change: impl FnOnce()) -> OpenAnswer {
    let body = completion(PROMPT, TOKENS, true).to_string();
    let length = body.len();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: daemon\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    );
    let (first, second) = body.split_at(length / 2);
    let mut stream = daemon.caller().connect();
    stream.write_all(head.as_bytes()).expect("the daemon reads");
    stream
        .write_all(first.as_bytes())
        .expect("the daemon reads");
    let open = &daemon.running.state.open_requests;
    wait_until("the head is read", || open.load(Ordering::Acquire) == 1);
    change();
    stream
        .write_all(second.as_bytes())
        .expect("the daemon reads");
    OpenAnswer::read_head(stream)
}

fn tenants_of_runs(engines: &Engines) -> Vec<Option<String>> {
    engines.runs().into_iter().map(|run| run.tenant).collect()
}

// A request whose body arrives in halves runs in the name of the tenant that held its key before.
#[test]
fn a_key_that_passes_to_another_tenant_while_the_body_arrives() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let answer = send_in_halves(&daemon, || put(&daemon, other_tenant(), &[other_route()]));
    assert_eq!(
        answer.finish().events().tokens,
        expected_tokens(PROMPT, TOKENS)
    );
    assert_eq!(tenants_of_runs(&engines), [Some(OTHER.to_owned())]);
}

// The same request runs on the route of the tenant that held its key before.
#[test]
fn a_key_that_passes_to_a_tenant_without_a_route_while_the_body_arrives() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let answer = send_in_halves(&daemon, || put(&daemon, other_tenant(), &[]));
    assert_eq!(answer.finish().status, 404);
    assert!(engines.runs().is_empty());
}

// A stream that goes on at a second engine does so in the name of another tenant, or is ended.
#[test]
fn a_key_that_passes_to_another_tenant_while_a_stream_is_sent() {
    let engines = Engines::start_slow(2);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let mut answer = daemon.caller().begin_stream(&[], PROMPT, TOKENS);
    answer.read_tokens(3);
    put(&daemon, other_tenant(), &[]);
    let cut = FaultUpdate {
        cut: Some(true),
        ..FaultUpdate::default()
    };
    engines.fault(engines.index_of_run(), &cut);
    assert_eq!(
        answer.finish().events().tokens,
        expected_tokens(PROMPT, TOKENS)
    );
    let tenants = tenants_of_runs(&engines);
    assert_eq!(
        tenants,
        [Some("depots".to_owned()), Some("depots".to_owned())]
    );
}
