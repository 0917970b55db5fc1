//! The earliest time at which a change in the store that is learned late may have been made.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::currency::{Currency, Proof};
use driftspring_gateway::store::{KnownNamings, StoreEra, StorePosition, StoreProgress};

fn position(revision: u64) -> StorePosition {
    StorePosition {
        era: StoreEra::UNNAMED,
        revision,
    }
}

#[test]
fn a_change_is_later_than_the_last_read_with_a_lower_revision() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut progress = StoreProgress::default();
    progress.note(at(1), position(10));
    progress.note(at(3), position(12));
    progress.note(at(2), position(10));
    assert_eq!(progress.last_read_before(position(10)), None);
    assert_eq!(progress.last_read_before(position(11)), Some(at(2)));
    assert_eq!(progress.last_read_before(position(13)), Some(at(3)));
}

#[test]
fn repeated_reports_of_one_read_displace_no_other_read() {
    // Each answer of another gateway reports the last read that it knows of, up to forty times a second. 32 such reports
    // displaced all earlier reads, so no read before a naming was known, and the naming counted from when it was learned.
    let start = Instant::now();
    let mut progress = StoreProgress::default();
    progress.note(start, position(10));
    for report in 1..=100 {
        progress.note(start + Duration::from_millis(900 + report), position(12));
    }
    assert_eq!(progress.last_read_before(position(11)), Some(start));
}

#[test]
fn a_proof_keeps_the_position_of_its_own_read() {
    // A gateway reported the age of a proof that it had from another one together with the highest revision that it had
    // read itself long before. The receiver assumed that the store had not advanced beyond that revision at the time of the
    // proof, and took weights named before it for younger than they were.
    let start = Instant::now();
    let currency = Currency::new();
    let read = |seconds, revision| Proof {
        started_at: start + Duration::from_secs(seconds),
        position: Some(position(revision)),
    };
    assert!(currency.prove(1, read(1, 10)));
    assert!(currency.prove(1, read(3, 14)));
    assert!(currency.prove(1, read(2, 12)));
    assert_eq!(currency.proof(), Some(read(3, 14)));
}

#[test]
fn namings_are_known_up_to_the_last_read_at_or_before_the_applied_position() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut progress = StoreProgress::default();
    progress.note(at(1), position(10));
    progress.note(at(2), position(10));
    progress.note(at(3), position(12));
    let known = KnownNamings::default();
    assert_eq!(known.known_until(&progress), None);
    known.note_read(position(10));
    assert_eq!(known.known_until(&progress), Some(at(2)));
    known.note_read(position(11));
    known.note_read(position(9));
    assert_eq!(known.known_until(&progress), Some(at(2)));
    let of_other_era = position(20).in_era(StoreEra::named(1));
    progress.note(at(4), of_other_era);
    known.note_read(of_other_era);
    assert_eq!(known.known_until(&progress), Some(at(4)));
}

#[test]
fn namings_reported_by_another_gateway_are_known_up_to_its_readers_lag() {
    const READER_LAG: Duration = Duration::from_millis(1400);
    let start = Instant::now() + Duration::from_secs(10);
    let known = KnownNamings::default();
    known.note_told(start);
    known.note_told(start - Duration::from_secs(1));
    assert_eq!(
        known.known_until(&StoreProgress::default()),
        Some(start - READER_LAG)
    );
}
