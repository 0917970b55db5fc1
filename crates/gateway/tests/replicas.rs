//! Replicas whose entries are added, changed, removed and restored.

#[path = "support/registry_scene.rs"]
mod registry_scene;

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::peers::view::View;
use driftspring_gateway::protocol::{ModelVersion, ReplicaEntry};
use driftspring_gateway::replicas::{Registry, Replica};
use driftspring_gateway::weights::{Since, WantedWeights};
use registry_scene::ids_in_use;

fn entry(id: &str, is_draining: bool) -> ReplicaEntry {
    ReplicaEntry {
        is_draining,
        models: Vec::new(),
        software: Some("v1".to_owned()),
        ..registry_scene::entry(id, None)
    }
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_replica_that_leaves_is_out_of_use_at_once() {
    let start = Instant::now();
    let view = View::default();
    assert_eq!(
        view.keep_until(start, Some(start)),
        None,
        "nothing was known before"
    );
    view.prove(start, None, start);
    view.prove(start + ms(500), None, start + ms(600));
    assert_eq!(
        view.keep_until(start + ms(1100), Some(start + ms(3000))),
        None
    );
}

#[test]
fn entries_that_are_gone_after_an_outage_are_given_time_to_come_back() {
    let start = Instant::now();
    let view = View::default();
    view.prove(start, None, start);
    let back = start + ms(5000);
    assert_eq!(
        view.keep_until(back, Some(back + ms(3000))),
        Some(back + ms(2200))
    );
    view.prove(back, None, back);
    let later = back + ms(1000);
    assert_eq!(
        view.keep_until(later, Some(back + ms(3000))),
        Some(back + ms(2200))
    );
    view.prove(later, None, later);
    assert_eq!(
        view.keep_until(back + ms(2200), Some(back + ms(3000))),
        None
    );
}

#[test]
fn a_replica_without_entry_is_kept_until_its_time_is_over() {
    let now = Instant::now();
    let registry = Registry::default();
    registry.upsert(entry("r1", false));
    registry.upsert(entry("r2", false));
    registry.remove("r1", Some(now + ms(1000)));
    assert!(!registry.remove_lapsed(now + ms(999)));
    assert_eq!(ids_in_use(&registry), ["r1", "r2"]);
    assert!(registry.remove_lapsed(now + ms(1000)));
    assert_eq!(ids_in_use(&registry), ["r2"]);
}

#[test]
fn a_replica_whose_entry_comes_back_stays() {
    let now = Instant::now();
    let registry = Registry::default();
    registry.upsert(entry("r1", false));
    let before = registry.get("r1").expect("listed");
    registry.remove("r1", Some(now + ms(1000)));
    registry.upsert(entry("r1", false));
    assert!(!registry.remove_lapsed(now + ms(2000)));
    let after = registry.get("r1").expect("listed");
    assert!(
        std::rc::Rc::ptr_eq(&before, &after),
        "it must keep its connections"
    );
}

#[test]
fn a_replica_that_comes_back_at_another_address_stays() {
    let now = Instant::now();
    let registry = Registry::default();
    registry.upsert(entry("r1", false));
    registry.remove("r1", Some(now + ms(1000)));
    registry.upsert(ReplicaEntry {
        address: "10.0.0.2:80".parse().expect("an address"),
        ..entry("r1", false)
    });
    assert!(!registry.remove_lapsed(now + ms(2000)));
    assert_eq!(ids_in_use(&registry), ["r1"]);
}

#[test]
fn a_replica_that_was_leaving_is_not_kept() {
    let registry = Registry::default();
    registry.upsert(entry("r1", true));
    registry.remove("r1", Some(Instant::now() + ms(1000)));
    assert!(ids_in_use(&registry).is_empty());
}

fn weights(version: u64) -> ModelVersion {
    ModelVersion {
        model: "model".to_owned(),
        version,
    }
}

fn wanted(versions: &[u64]) -> WantedWeights {
    let mut wanted = WantedWeights::default();
    for version in versions {
        wanted.add(&weights(*version), Since::Known(Instant::now()));
    }
    wanted
}

#[test]
fn a_replica_that_refuses_a_version_is_believed_to_have_the_next() {
    let wanted = wanted(&[2, 4, 5]);
    let replica = Replica::new(ReplicaEntry {
        models: vec![weights(1)],
        ..entry("r1", false)
    });
    replica.correct_version("model", 1, &wanted);
    assert_eq!(replica.version_of("model"), Some(2));
    replica.correct_version("model", 1, &wanted);
    assert_eq!(replica.version_of("model"), Some(2), "an older answer");
    replica.correct_version("model", 2, &wanted);
    assert_eq!(replica.version_of("model"), Some(4));
}

#[test]
fn after_a_refusal_of_the_newest_version_the_entry_is_believed() {
    let wanted = wanted(&[2, 4]);
    let replica = Replica::new(ReplicaEntry {
        models: vec![weights(1)],
        ..entry("r1", false)
    });
    replica.record_version("model", 4);
    replica.update(ReplicaEntry {
        models: vec![weights(2)],
        ..entry("r1", false)
    });
    assert_eq!(replica.version_of("model"), Some(4), "entries lag");
    replica.correct_version("model", 4, &wanted);
    assert_eq!(replica.version_of("model"), Some(2));
}

#[test]
fn the_time_of_a_replica_without_entry_counts_from_the_proof_not_from_its_receipt() {
    let start = Instant::now();
    let view = View::default();
    view.prove(start, None, start);
    // The source knew at 5.0 s that the store was reachable again; this gateway learns it 0.8 s later.
    let known_at = start + ms(5000);
    let received_at = known_at + ms(800);
    view.prove(known_at, None, received_at);
    let in_touch_at = Some(known_at + ms(3000));
    assert_eq!(
        view.keep_until(received_at, in_touch_at),
        Some(known_at + ms(2200))
    );
}

#[test]
fn a_repeated_removal_does_not_extend_the_time_of_a_replica() {
    let now = Instant::now();
    let registry = Registry::default();
    registry.upsert(entry("r1", false));
    registry.remove("r1", Some(now + ms(1000)));
    registry.remove("r1", Some(now + ms(3000)));
    assert!(registry.remove_lapsed(now + ms(1000)));
    assert!(ids_in_use(&registry).is_empty());
}

#[test]
fn the_time_of_the_next_lapse_is_known() {
    let now = Instant::now();
    let registry = Registry::default();
    for id in ["r1", "r2", "r3"] {
        registry.upsert(entry(id, false));
    }
    assert_eq!(registry.next_lapse(), None);
    registry.remove("r1", Some(now + ms(2000)));
    registry.remove("r2", Some(now + ms(1000)));
    assert_eq!(registry.next_lapse(), Some(now + ms(1000)));
    registry.upsert(entry("r2", false));
    assert_eq!(registry.next_lapse(), Some(now + ms(2000)));
    registry.remove_lapsed(now + ms(2000));
    assert_eq!(registry.next_lapse(), None);
}

#[test]
fn replicas_without_entry_are_kept_only_after_an_own_outage_and_until_the_gateway_is_in_touch() {
    let start = Instant::now();
    let view = View::default();
    view.prove(start, None, start);
    let now = start + ms(6000);
    view.prove(now, None, now);
    assert_eq!(view.keep_until(now, None), None, "the store was reachable");
    let in_touch = Some(now + ms(100));
    assert_eq!(view.keep_until(now, in_touch), None, "almost in touch");
    let soon = now + ms(2000);
    assert_eq!(
        view.keep_until(now, Some(soon)),
        Some(soon - ms(200)),
        "in touch sooner than entries are back"
    );
}

/// Guards against a gateway that called itself ready before its replicas were published. It had been killed
/// together with all others, and was ready 0.7 s after its start, with the first page of a transfer that ended
/// 0.9 s later (medians of 301). Until then it refused requests, since the received replicas were not
/// published: 273 refusals of "all are leaving, tried or unknown" in 1.5 s.
#[test]
fn a_gateway_whose_replicas_are_not_published_has_none() {
    let registry = Registry::default();
    registry.upsert(entry("one", false));
    assert!(registry.is_empty(), "none is published");
    registry.rebuild_index();
    assert!(!registry.is_empty());
}
