//! What is believed of which replicas keep which prompts.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::cache::{Prefix, PromptHolders, prefixes};
use driftspring_gateway::protocol::{PromptPart, ReplicaEntry, ReplicaIncarnation};
use driftspring_gateway::replicas::Replica;

const KEPT_TOKENS: u64 = 10_000;

fn replica(id: &str) -> Rc<Replica> {
    replica_born(id, None)
}

fn replica_born(id: &str, born: Option<u64>) -> Rc<Replica> {
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

fn note(holders: &PromptHolders, prompt: &[Prefix], replica: &Replica, now: Instant) {
    let keys = prompt.iter().map(|prefix| prefix.key);
    holders.record(keys, replica, now, now);
}

#[test]
fn the_longest_prefix_that_two_prompts_share_is_held() {
    let (holders, one, other) = (PromptHolders::default(), replica("one"), replica("other"));
    let now = Instant::now();
    note(&holders, &prompt("1/", &["a", "b"]), &one, now);
    let held = |prompt: &[Prefix], replica| {
        holders.cached_tokens(prompt, replica, KEPT_TOKENS, false, now)
    };
    assert_eq!(held(&prompt("1/", &["a", "b"]), &one), 2000);
    assert_eq!(held(&prompt("1/", &["a", "c"]), &one), 1000);
    assert_eq!(held(&prompt("1/", &["c", "b"]), &one), 0);
    assert_eq!(held(&prompt("1/", &["a", "b"]), &other), 0);
}

#[test]
fn what_is_kept_for_a_tenant_or_under_other_weights_is_not_found() {
    let (holders, one) = (PromptHolders::default(), replica("one"));
    let now = Instant::now();
    note(&holders, &prompt("1/tenant", &["a"]), &one, now);
    for scope in ["1/", "2/tenant", "1/other"] {
        let tokens = holders.cached_tokens(&prompt(scope, &["a"]), &one, KEPT_TOKENS, false, now);
        assert_eq!(tokens, 0, "{scope}");
    }
}

#[test]
fn a_prefix_is_gone_once_its_replica_was_given_more_than_it_keeps() {
    let (holders, one) = (PromptHolders::default(), replica("one"));
    let now = Instant::now();
    let prompt = prompt("1/", &["a"]);
    note(&holders, &prompt, &one, now);
    one.record_prompt(KEPT_TOKENS, now);
    let held = || holders.cached_tokens(&prompt, &one, KEPT_TOKENS, false, now);
    assert_eq!(held(), 1000);
    one.record_prompt(1, now);
    assert_eq!(held(), 0);
    note(&holders, &prompt, &one, now);
    assert_eq!(held(), 1000, "used again");
}

#[test]
fn a_prefix_can_be_fetched_only_once_it_is_read() {
    let (holders, one) = (PromptHolders::default(), replica("one"));
    let now = Instant::now();
    let read_at = now + Duration::from_millis(50);
    let prompt = prompt("1/", &["a"]);
    let keys = prompt.iter().map(|prefix| prefix.key);
    holders.record(keys, &one, read_at, now);
    let held = |is_read, at| holders.cached_tokens(&prompt, &one, KEPT_TOKENS, is_read, at);
    assert_eq!(held(false, now), 1000);
    assert_eq!(held(true, now), 0);
    assert_eq!(held(true, read_at), 1000);
    holders.remove(&prompt, &one);
    assert_eq!(held(true, read_at), 0, "it has not run the request");
}

#[test]
fn a_later_life_of_a_replica_keeps_nothing_of_what_the_earlier_one_read() {
    let now = Instant::now();
    let holders = PromptHolders::default();
    let prompt = prompt("1/", &["a", "b"]);
    let (earlier, later) = (replica_born("r1", Some(100)), replica_born("r1", Some(101)));
    holders.record(prompt.iter().map(|prefix| prefix.key), &earlier, now, now);
    let held = |replica: &Replica| holders.cached_tokens(&prompt, replica, KEPT_TOKENS, false, now);
    assert_eq!(held(&earlier), 2000);
    assert_eq!(held(&later), 0);
}
