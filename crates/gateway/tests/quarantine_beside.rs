//! Requests that are open together with one that ends replicas: in whatever order ends are told, that one is held, and no
//! other is held for it.

use std::time::Duration;

use driftspring_gateway::quarantine::ledger::Ledger;
use driftspring_gateway::quarantine::{Fingerprint, Role, Strike, Verdict};
use http::Method;
use quickcheck::quickcheck;

/// A moment long after the begin of the clock.
const START: Duration = Duration::from_secs(1_000_000);

/// The request that ends replicas.
const DEADLY: u128 = 1;

fn fingerprint(number: u128) -> Fingerprint {
    Fingerprint::from_number(number)
}

fn at(seconds: f64) -> Duration {
    START + Duration::from_secs_f64(seconds)
}

/// Tells a daemon that counts for the request of the end of a replica, at the second of the replica's number.
fn tell(ledger: &mut Ledger, number: u128, replica: u64, now: f64) {
    let strike = Strike {
        replica,
        at: at(replica as f64),
        is_coincident: false,
    };
    ledger.strike(fingerprint(number), strike, Role::Home, at(now));
}

/// Puts `items` into an order that is drawn from `keys`.
fn ordered<T>(items: Vec<T>, keys: &[u8]) -> Vec<T> {
    let mut keyed: Vec<(u8, usize, T)> = items
        .into_iter()
        .enumerate()
        .map(|(place, item)| (keys.get(place).copied().unwrap_or(0), place, item))
        .collect();
    keyed.sort_by_key(|(key, place, _)| (*key, *place));
    keyed.into_iter().map(|(_, _, item)| item).collect()
}

quickcheck! {
    /// Where another request was told of first, its strikes took those of the deadly one away, which so ended three
    /// replicas more, or six.
    fn the_order_in_which_ends_are_told_frees_no_request_that_ended_three(others: u8, keys: Vec<u8>) -> bool {
        let requests = DEADLY..=DEADLY + u128::from(others % 4);
        let told = requests.flat_map(|number| (1..=3).map(move |replica| (number, replica)));
        let mut ledger = Ledger::default();
        for (number, replica) in ordered(told.collect(), &keys) {
            tell(&mut ledger, number, replica, 3.0);
        }
        ledger.verdict(fingerprint(DEADLY), at(3.5)) == Verdict::Quarantined
    }
}

#[test]
fn one_that_was_told_of_first_frees_no_other_that_was_open_at_the_same_ends() {
    let mut ledger = Ledger::default();
    for number in [2, DEADLY] {
        for replica in 1..=3 {
            tell(&mut ledger, number, replica, 3.0);
        }
    }
    let verdict = ledger.verdict(fingerprint(DEADLY), at(3.5));
    assert_eq!(verdict, Verdict::Quarantined);
}

#[test]
fn a_caller_that_varies_a_byte_has_a_request_of_its_own_and_three_ends_of_its_own() {
    let of = |caller: &str, body: &[u8]| {
        Fingerprint::new(&Method::POST, "host", "/safe/a", caller, body)
    };
    let (deadly, varied) = (of("a", b"deadly 1"), of("a", b"deadly 2"));
    let mut ledger = Ledger::default();
    let end = |ledger: &mut Ledger, request: Fingerprint, replica: u64| {
        let strike = Strike {
            replica,
            at: at(replica as f64),
            is_coincident: false,
        };
        ledger.strike(request, strike, Role::Home, strike.at);
    };
    (1..=3).for_each(|replica| end(&mut ledger, deadly, replica));
    // A whole answer to an ordinary request of the same caller clears neither.
    assert_eq!(ledger.clear(of("a", b"ordinary"), at(3.1)), None);
    (4..=6).for_each(|replica| end(&mut ledger, varied, replica));
    for request in [deadly, varied] {
        assert_eq!(ledger.verdict(request, at(6.1)), Verdict::Quarantined);
    }
}

#[test]
fn one_caller_can_not_get_the_request_of_another_held() {
    let of = |caller: &str| Fingerprint::new(&Method::POST, "host", "/safe/a", caller, b"body");
    let mut ledger = Ledger::default();
    // The same bytes, sent by another caller beside one that ends replicas.
    for replica in 1..=3 {
        let strike = Strike {
            replica,
            at: at(replica as f64),
            is_coincident: false,
        };
        ledger.strike(of("mallory"), strike, Role::Home, strike.at);
    }
    assert_eq!(ledger.verdict(of("mallory"), at(4.0)), Verdict::Quarantined);
    assert_eq!(ledger.verdict(of("alice"), at(4.0)), Verdict::Clear);
}
