//! Replicas that restart under the same id, and entries that don't report the birth of the incarnation that
//! wrote them.

#[path = "support/registry_scene.rs"]
mod registry_scene;

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::protocol::ReplicaEntry;
use driftspring_gateway::replicas::Registry;
use driftspring_settings::Births;
use quickcheck::quickcheck;
use registry_scene::{entry, ids_in_use};

#[test]
fn a_later_incarnation_inherits_nothing() {
    let registry = Registry::default();
    registry.upsert(ReplicaEntry {
        is_draining: true,
        ..entry("r1", Some(100))
    });
    let before = registry.get("r1").expect("listed");
    before.set_order_sequence(5);
    before.record_version("model", 9);
    before.record_prompt(100_000, Instant::now());
    before.health.record_failure(Instant::now());
    before.set_loading(Some(Instant::now()));
    registry.upsert(entry("r1", Some(101)));
    let after = registry.get("r1").expect("listed");
    let now = Instant::now();
    assert!(!Rc::ptr_eq(&before, &after), "it must get new connections");
    assert!(after.is_eligible(now));
    assert!(!after.health.is_suspect(now));
    assert_eq!(after.order_sequence(), None);
    assert_eq!(after.version_of("model"), Some(3));
    assert_eq!(after.remaining_prefill(now), Duration::ZERO);
    assert_eq!(after.assigned_prompt_tokens(), 0);
    assert_eq!(after.loading_since(), None);
    assert_ne!(before.incarnation_hash, after.incarnation_hash);
    assert_eq!(before.id_hash, after.id_hash, "prompts keep their home");
    assert!(registry.is_replaced(&before));
    assert!(!registry.is_replaced(&after));
    assert!(!registry.is_current(&before.incarnation));
    assert!(registry.is_current(&after.incarnation));
}

#[test]
fn a_later_incarnation_of_a_replica_without_an_entry_is_in_use() {
    let registry = Registry::default();
    let now = Instant::now();
    registry.upsert(entry("r1", Some(100)));
    registry.remove("r1", Some(now + Duration::from_secs(1)));
    registry.upsert(entry("r1", Some(101)));
    assert!(!registry.remove_lapsed(now + Duration::from_secs(2)));
    assert_eq!(ids_in_use(&registry), ["r1"]);
}

#[test]
fn an_entry_without_a_birth_is_not_used_beside_entries_with_one() {
    for is_foreign_first in [false, true] {
        let registry = Registry::default();
        let insert_foreign = || registry.upsert(entry("foreign", None));
        if is_foreign_first {
            insert_foreign();
            assert_eq!(ids_in_use(&registry), ["foreign"]);
        }
        registry.upsert(entry("r1", Some(100)));
        if !is_foreign_first {
            insert_foreign();
        }
        assert_eq!(ids_in_use(&registry), ["r1"]);
        assert!(registry.all().iter().all(|replica| replica.id() == "r1"));
        // It is not used even if no other entry is left.
        registry.remove("r1", None);
        assert!(ids_in_use(&registry).is_empty());
    }
}

#[test]
fn whether_entries_need_a_birth_is_configurable() {
    let ids_with = |births| {
        let registry = Registry::new(births);
        registry.upsert(entry("r1", Some(100)));
        registry.upsert(entry("r2", None));
        ids_in_use(&registry)
    };
    assert_eq!(ids_with(Births::Observed), ["r1"]);
    assert_eq!(ids_with(Births::Optional), ["r1", "r2"]);
    let registry = Registry::new(Births::Required);
    registry.upsert(entry("r1", None));
    assert!(ids_in_use(&registry).is_empty());
}

quickcheck! {
    fn the_latest_incarnation_wins_in_any_order_of_updates(births: Vec<u8>) -> bool {
        let registry = Registry::default();
        for born in &births {
            registry.upsert(entry("r1", Some(u64::from(*born))));
        }
        let listed = registry.get("r1").and_then(|replica| replica.incarnation.born);
        listed == births.iter().max().map(|born| u64::from(*born))
    }
}
