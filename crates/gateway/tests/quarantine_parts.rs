//! Parts of prompts in the quarantine: which are held, and which are not for the crashes of others.

use std::time::Duration;

use driftspring_gateway::quarantine::ledger::Ledger;
use driftspring_gateway::quarantine::{Fingerprint, Role, Strike, Verdict};

/// A time long after the start of the clock.
const START: Duration = Duration::from_secs(1_000_000);

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part("", "model", name)
}

fn request(number: u128) -> Fingerprint {
    Fingerprint::from_number(number)
}

fn at(second: u64) -> Duration {
    START + Duration::from_secs(second)
}

/// Records that the replica of this number crashed in this second with all of these open.
fn crash(ledger: &mut Ledger, second: u64, open: &[Fingerprint]) {
    for fingerprint in open {
        let strike = Strike {
            replica: second,
            at: at(second),
            is_coincident: false,
            began_at: Some(at(second) - Duration::from_millis(40)),
        };
        ledger.strike(*fingerprint, strike, Role::Home, at(second));
    }
}

#[test]
fn fingerprints_of_parts_differ_by_partition_model_and_name_and_from_requests() {
    let one = Fingerprint::of_part("", "model", "a");
    assert!(one.is_part());
    assert!(!request(1).is_part());
    for other in [
        Fingerprint::of_part("tenant", "model", "a"),
        Fingerprint::of_part("", "other", "a"),
        Fingerprint::of_part("", "model", "b"),
        Fingerprint::of_part("", "modela", ""),
    ] {
        assert!(other.is_part());
        assert_ne!(one, other);
    }
    let text = one.to_string();
    assert_eq!(text.parse::<Fingerprint>(), Ok(one));
}

#[test]
fn a_part_is_held_after_three_crashes_of_requests_that_are_never_alike() {
    let mut ledger = Ledger::default();
    for second in 1..=3 {
        assert_ne!(
            ledger.verdict(part("bad"), at(second)),
            Verdict::Quarantined
        );
        crash(
            &mut ledger,
            second,
            &[part("bad"), request(u128::from(second))],
        );
    }
    assert_eq!(ledger.verdict(part("bad"), at(3)), Verdict::Quarantined);
    for number in 1..=3 {
        let own = request(number);
        assert_eq!(ledger.verdict(own, at(3)), Verdict::Clear);
    }
}

#[test]
fn a_shared_part_that_completes_elsewhere_is_not_held() {
    let mut ledger = Ledger::default();
    for second in 1..=8 {
        crash(&mut ledger, second, &[part("bad"), part("shared")]);
        ledger.clear(part("shared"), at(second));
    }
    assert_eq!(ledger.verdict(part("bad"), at(8)), Verdict::Quarantined);
    assert_eq!(ledger.verdict(part("shared"), at(8)), Verdict::Clear);
}

#[test]
fn the_parts_of_one_request_that_crashes_replicas_are_not_held() {
    let mut ledger = Ledger::default();
    for second in 1..=3 {
        crash(&mut ledger, second, &[request(9), part("own")]);
    }
    assert_eq!(ledger.verdict(request(9), at(3)), Verdict::Quarantined);
    assert_eq!(ledger.verdict(part("own"), at(3)), Verdict::Clear);
    // Nor is the request tried in isolation from them.
    assert_eq!(ledger.verdict(request(9), at(60)), Verdict::Quarantined);
    // A crash without it shows that it is not the only cause.
    crash(&mut ledger, 61, &[part("own"), request(10)]);
    assert_eq!(ledger.verdict(part("own"), at(61)), Verdict::Quarantined);
}

#[test]
fn parts_that_always_come_together_are_told_apart_by_a_trial() {
    let mut ledger = Ledger::default();
    for second in 1..=3 {
        crash(&mut ledger, second, &[part("bad"), part("beside")]);
    }
    let due = |fingerprint| {
        matches!(
            ledger.verdict(fingerprint, at(20)),
            Verdict::IsolatedTrialDue(_)
        )
    };
    assert!(due(part("bad")) || due(part("beside")));
    assert_ne!(ledger.verdict(part("bad"), at(3)), Verdict::Clear);
    assert_ne!(ledger.verdict(part("beside"), at(3)), Verdict::Clear);
}
