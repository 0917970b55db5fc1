//! Which entries of replicas are held back after the store was restored from a copy.
//!
//! The copy may contain an entry that was removed before the restore although its replica has ended. An entry
//! that the replica writes again must be used.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::peers::message::WireReplica;
use driftspring_gateway::replicas::{
    HOLD_BACK_TIMEOUT, MAX_REMOVED_INCARNATIONS, REMOVED_RETENTION, RemovedIncarnations,
};
use quickcheck::quickcheck;

const SECOND: Duration = Duration::from_secs(1);

fn entry(id: &str, born: Option<u64>) -> WireReplica {
    WireReplica {
        id: id.to_owned(),
        born,
        service: "service".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        slots: 8,
        is_draining: false,
        models: Vec::new(),
        software: Some("v1".to_owned()),
    }
}

/// An incarnation that was removed at `now`, before any restore of the store.
fn removed(born: Option<u64>, now: Instant) -> RemovedIncarnations {
    let mut incarnations = RemovedIncarnations::default();
    incarnations.record_removal("r", born, 0, now);
    incarnations
}

#[test]
fn an_entry_that_is_written_again_in_the_same_era_is_used() {
    let now = Instant::now();
    let mut incarnations = removed(Some(7), now);
    assert!(!incarnations.hold_back(&entry("r", Some(7)), 0, now));
}

#[test]
fn an_entry_in_the_copy_is_held_back_until_it_has_changed() {
    let now = Instant::now();
    let mut incarnations = removed(Some(7), now);
    let copied = entry("r", Some(7));
    assert!(incarnations.hold_back(&copied, 1, now + SECOND));
    assert!(incarnations.hold_back(&copied, 1, now + SECOND * 2));
    assert!(incarnations.is_held_back("r"));
    let changed = WireReplica { slots: 9, ..copied };
    assert!(!incarnations.hold_back(&changed, 1, now + SECOND * 3));
    assert!(!incarnations.is_held_back("r"));
}

#[test]
fn a_later_incarnation_is_used_and_an_earlier_one_is_not() {
    let now = Instant::now();
    assert!(!removed(Some(7), now).hold_back(&entry("r", Some(8)), 1, now));
    assert!(removed(Some(7), now).hold_back(&entry("r", Some(6)), 1, now));
    assert!(removed(None, now).hold_back(&entry("r", None), 1, now));
    assert!(!removed(Some(7), now).hold_back(&entry("other", Some(7)), 1, now));
}

#[test]
fn an_older_copy_is_no_change_of_the_entry() {
    let now = Instant::now();
    let mut incarnations = removed(Some(7), now);
    let copied = entry("r", Some(7));
    assert!(incarnations.hold_back(&copied, 1, now));
    let older = WireReplica { slots: 9, ..copied };
    assert!(incarnations.hold_back(&older, 2, now + SECOND));
    assert!(incarnations.hold_back(&older, 2, now + SECOND * 2));
}

#[test]
fn an_entry_that_stays_in_the_store_is_used_after_the_timeout() {
    let now = Instant::now();
    let mut incarnations = removed(Some(7), now);
    let copied = entry("r", Some(7));
    let restored = now + REMOVED_RETENTION - SECOND;
    assert!(incarnations.hold_back(&copied, 1, restored));
    // The entry is held back for the whole time, although the incarnation was removed long ago.
    let just_before = restored + HOLD_BACK_TIMEOUT - Duration::from_millis(1);
    assert!(incarnations.release_expired(just_before).is_empty());
    assert!(incarnations.hold_back(&copied, 1, just_before));
    assert_eq!(
        incarnations
            .release_expired(restored + HOLD_BACK_TIMEOUT)
            .as_slice(),
        std::slice::from_ref(&copied)
    );
    assert!(!incarnations.hold_back(&copied, 1, restored + HOLD_BACK_TIMEOUT));
}

#[test]
fn an_entry_that_is_removed_again_is_held_back_after_the_next_restore() {
    let now = Instant::now();
    let mut incarnations = removed(Some(7), now);
    let copied = entry("r", Some(7));
    assert!(incarnations.hold_back(&copied, 1, now));
    incarnations.record_repeated_removal("r", 1, now + SECOND);
    assert!(!incarnations.is_held_back("r"));
    assert!(
        incarnations
            .release_expired(now + HOLD_BACK_TIMEOUT)
            .is_empty()
    );
    assert!(incarnations.hold_back(&copied, 2, now + HOLD_BACK_TIMEOUT));
    // Recording the removal of another replica changes nothing.
    incarnations.record_repeated_removal("other", 1, now);
    assert!(incarnations.held_back() == ["r"]);
}

#[test]
fn an_incarnation_is_forgotten_after_the_retention() {
    let now = Instant::now();
    let mut incarnations = removed(Some(7), now);
    assert!(
        incarnations
            .release_expired(now + REMOVED_RETENTION)
            .is_empty()
    );
    assert!(!incarnations.hold_back(&entry("r", Some(7)), 1, now + REMOVED_RETENTION));
}

#[test]
fn the_oldest_are_evicted_beyond_the_limit() {
    let now = Instant::now();
    let mut incarnations = RemovedIncarnations::default();
    for number in 0..=MAX_REMOVED_INCARNATIONS {
        let at = now + Duration::from_millis(number as u64);
        incarnations.record_removal(&format!("r{number}"), Some(7), 0, at);
    }
    let at = now + SECOND * 2;
    assert!(!incarnations.hold_back(&entry("r0", Some(7)), 1, at));
    let last = format!("r{MAX_REMOVED_INCARNATIONS}");
    assert!(incarnations.hold_back(&entry("r1", Some(7)), 1, at));
    assert!(incarnations.hold_back(&entry(&last, Some(7)), 1, at));
}

quickcheck! {
    /// Whatever is received in any order within one era, an entry is held back only as long as it is received
    /// unchanged, and is never held back again once it was used.
    fn an_entry_that_was_used_is_not_held_back_again(received: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut incarnations = removed(Some(2), now);
        let mut was_used = false;
        received.into_iter().all(|(born, slots)| {
            let entry = WireReplica {
                slots: u32::from(slots % 2),
                ..entry("r", Some(u64::from(born % 4)))
            };
            let is_held = incarnations.hold_back(&entry, 1, now);
            let is_correct = !(was_used && is_held);
            was_used |= !is_held;
            is_correct
        })
    }
}
