//! Estimate of which replicas have which prompt prefixes cached.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::cache::{Prefix, PromptHolders, prefixes};
use driftspring_gateway::protocol::{PromptPart, ReplicaEntry, ReplicaIncarnation};
use driftspring_gateway::replicas::Replica;

const REUSABLE_TOKENS: u64 = 10_000;

fn replica(id: &str) -> Rc<Replica> {
    replica_with_birth(id, None)
}

fn replica_with_birth(id: &str, born: Option<u64>) -> Rc<Replica> {
    Replica::new(ReplicaEntry {
        incarnation: ReplicaIncarnation {
            id: id.to_owned(),
            born,
        },
        service: "service".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 8,
        is_draining: false,
        cold_remaining: Duration::ZERO,
        models: Vec::new(),
        software: Some("v1".to_owned()),
    })
}

fn prompt(scope: &str, ids: &[&str]) -> Vec<Prefix> {
    let part = |id: &&str| PromptPart {
        id: (*id).to_owned(),
        tokens: 1000,
    };
    let parts: Vec<PromptPart> = ids.iter().map(part).collect();
    prefixes(scope, &parts)
}

fn record(holders: &PromptHolders, prompt: &[Prefix], replica: &Replica, now: Instant) {
    let keys = prompt.iter().map(|prefix| prefix.key);
    holders.record(keys, replica, now, now);
}

#[test]
fn the_longest_shared_prefix_counts_as_cached() {
    let (holders, one, other) = (PromptHolders::default(), replica("one"), replica("other"));
    let now = Instant::now();
    record(&holders, &prompt("1/", &["a", "b"]), &one, now);
    let cached = |prompt: &[Prefix], replica| {
        holders.cached_tokens(prompt, replica, REUSABLE_TOKENS, false, now)
    };
    assert_eq!(cached(&prompt("1/", &["a", "b"]), &one), 2000);
    assert_eq!(cached(&prompt("1/", &["a", "c"]), &one), 1000);
    assert_eq!(cached(&prompt("1/", &["c", "b"]), &one), 0);
    assert_eq!(cached(&prompt("1/", &["a", "b"]), &other), 0);
}

#[test]
fn a_prefix_cached_under_another_scope_does_not_count() {
    let (holders, one) = (PromptHolders::default(), replica("one"));
    let now = Instant::now();
    record(&holders, &prompt("1/tenant", &["a"]), &one, now);
    for scope in ["1/", "2/tenant", "1/other"] {
        let tokens =
            holders.cached_tokens(&prompt(scope, &["a"]), &one, REUSABLE_TOKENS, false, now);
        assert_eq!(tokens, 0, "{scope}");
    }
}

#[test]
fn a_prefix_counts_as_evicted_once_its_replica_was_given_more_than_it_keeps() {
    let (holders, one) = (PromptHolders::default(), replica("one"));
    let now = Instant::now();
    let prompt = prompt("1/", &["a"]);
    record(&holders, &prompt, &one, now);
    one.record_prompt(REUSABLE_TOKENS, now);
    let cached = || holders.cached_tokens(&prompt, &one, REUSABLE_TOKENS, false, now);
    assert_eq!(cached(), 1000);
    one.record_prompt(1, now);
    assert_eq!(cached(), 0);
    record(&holders, &prompt, &one, now);
    assert_eq!(cached(), 1000, "used again");
}

#[test]
fn a_prefix_can_be_fetched_only_once_it_is_prefilled() {
    let (holders, one) = (PromptHolders::default(), replica("one"));
    let now = Instant::now();
    let prefilled_at = now + Duration::from_millis(50);
    let prompt = prompt("1/", &["a"]);
    let keys = prompt.iter().map(|prefix| prefix.key);
    holders.record(keys, &one, prefilled_at, now);
    let cached = |must_be_prefilled, at| {
        holders.cached_tokens(&prompt, &one, REUSABLE_TOKENS, must_be_prefilled, at)
    };
    assert_eq!(cached(false, now), 1000);
    assert_eq!(cached(true, now), 0);
    assert_eq!(cached(true, prefilled_at), 1000);
    holders.remove(&prompt, &one);
    assert_eq!(cached(true, prefilled_at), 0, "it has not run the request");
}

#[test]
fn a_later_incarnation_of_a_replica_has_nothing_cached() {
    let now = Instant::now();
    let holders = PromptHolders::default();
    let prompt = prompt("1/", &["a", "b"]);
    let (earlier, later) = (
        replica_with_birth("r1", Some(100)),
        replica_with_birth("r1", Some(101)),
    );
    holders.record(prompt.iter().map(|prefix| prefix.key), &earlier, now, now);
    let cached =
        |replica: &Replica| holders.cached_tokens(&prompt, replica, REUSABLE_TOKENS, false, now);
    assert_eq!(cached(&earlier), 2000);
    assert_eq!(cached(&later), 0);
}
