//! Proofs that the configuration in force is the newest.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::currency::{Currency, NewerVersion, Proof};
use quickcheck::quickcheck;

/// A read that started at `started_at` and returned no position.
fn read(started_at: Instant) -> Proof {
    Proof {
        started_at,
        position: None,
    }
}

#[test]
fn a_read_proves_nothing_for_an_older_version_than_another_gateway_has() {
    // A gateway that starts while the store serves an old copy reads a version that others have already replaced.
    let currency = Currency::new();
    let now = Instant::now();
    assert!(currency.prove(4, read(now)));
    currency.note_version(7);
    let later = now + Duration::from_millis(1);
    assert!(!currency.prove(4, read(later)));
    assert!(currency.prove(7, read(later)));
    assert!(currency.prove(8, read(later)));
}

#[test]
fn a_gateway_is_outdated_while_the_store_lacks_a_version_that_others_have() {
    let currency = Currency::new();
    currency.note_version(7);
    // The version may still be on its way: only a read that starts later shows that the store has lost it.
    assert!(!currency.is_outdated(4));
    currency.note_lost_version(currency.highest());
    assert!(currency.is_outdated(4));
    assert!(!currency.is_outdated(7));
    assert!(!currency.is_outdated(9));
}

#[test]
fn a_requested_version_counts_as_known_to_another_gateway() {
    let currency = Currency::new();
    let proof = read(Instant::now());
    currency.request_version(NewerVersion { version: 3, proof });
    assert!(!currency.prove(2, proof));
    assert_eq!(currency.age(), None);
}

quickcheck! {
    /// Whatever versions are reported in whatever order, only a version at least as high as all of them is proved.
    fn only_the_highest_version_is_proved(reported: Vec<u8>, held: u8) -> bool {
        let currency = Currency::new();
        for version in &reported {
            currency.note_version(u64::from(*version));
        }
        let is_highest = reported.iter().all(|version| *version <= held);
        currency.prove(u64::from(held), read(Instant::now())) == is_highest
    }
}
