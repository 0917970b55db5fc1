//! All interleavings of claims, releases and seals on one slot.
//! Run with `RUSTFLAGS="--cfg loom" cargo test -p driftspring-claims --test loom_table`.
#![cfg(loom)]

use driftspring_claims::table::{Insertion, Segment};
use driftspring_claims::{Attempt, ClaimKey};
use loom::sync::Arc;
use loom::thread;

const ONE_BUCKET: usize = 8;

fn claim(segment: &Segment, key: u64, attempt: u64) -> bool {
    let attempt = Attempt::from_number(attempt);
    segment.insert(ClaimKey::from_hash(key), attempt) == Insertion::Inserted
}

#[test]
fn one_of_two_attempts_gets_a_key_while_another_key_takes_a_slot() {
    loom::model(|| {
        let segment = Arc::new(Segment::new(ONE_BUCKET, 0));
        let others = Arc::clone(&segment);
        let rival = thread::spawn(move || claim(&others, 1, 2));
        let others = Arc::clone(&segment);
        let other_key = thread::spawn(move || claim(&others, 9, 3));
        let own = claim(&segment, 1, 1);
        let rivals = rival.join().unwrap();
        assert!(own != rivals, "own {own}, rival's {rivals}");
        assert!(other_key.join().unwrap());
    });
}

#[test]
fn a_release_by_the_loser_does_not_free_the_winner() {
    loom::model(|| {
        let segment = Arc::new(Segment::new(ONE_BUCKET, 0));
        let others = Arc::clone(&segment);
        let rival = thread::spawn(move || {
            let granted = claim(&others, 1, 2);
            if !granted {
                others.release(ClaimKey::from_hash(1), Attempt::from_number(2));
            }
            granted
        });
        let own = claim(&segment, 1, 1);
        let rivals = rival.join().unwrap();
        assert!(own != rivals);
        assert!(!claim(&segment, 1, 3), "the winner's claim was lost");
    });
}
