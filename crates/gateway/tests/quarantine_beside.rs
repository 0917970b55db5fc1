//! Requests that are open together with one that crashes replicas: in whatever order crashes are reported,
//! that one is quarantined, and no other is because of it.

use std::time::Duration;

use driftspring_gateway::peers::directory::Directory;
use driftspring_gateway::peers::message::WireDaemon;
use driftspring_gateway::quarantine::ledger::Ledger;
use driftspring_gateway::quarantine::{
    Fingerprint, Record, Role, Strike, Verdict, home_rank, isolated_trials,
};
use driftspring_gateway::store::{StoreEra, StorePosition};
use http::Method;
use quickcheck::quickcheck;

/// A time long after the start of the clock.
const START: Duration = Duration::from_secs(1_000_000);

/// The request that crashes replicas.
const POISON: u128 = 1;

fn fingerprint(number: u128) -> Fingerprint {
    Fingerprint::from_number(number)
}

fn at(seconds: f64) -> Duration {
    START + Duration::from_secs_f64(seconds)
}

/// Reports a crash to a home gateway of the request; the replica crashed at the second of its number.
fn strike(ledger: &mut Ledger, number: u128, replica: u64, now: f64) {
    let strike = Strike {
        replica,
        at: at(replica as f64),
        is_coincident: false,
        began_at: None,
    };
    ledger.strike(fingerprint(number), strike, Role::Home, at(now));
}

/// Orders `items` by `keys`.
fn ordered<T>(items: Vec<T>, keys: &[u8]) -> Vec<T> {
    let mut keyed: Vec<(u8, usize, T)> = items
        .into_iter()
        .enumerate()
        .map(|(home_rank, item)| (keys.get(home_rank).copied().unwrap_or(0), home_rank, item))
        .collect();
    keyed.sort_by_key(|(key, home_rank, _)| (*key, *home_rank));
    keyed.into_iter().map(|(_, _, item)| item).collect()
}

quickcheck! {
    /// Regression test: if another request was reported first, its strikes displaced those of the poison
    /// request, which crashed three to six more replicas.
    fn the_poison_request_is_quarantined_in_any_order_of_reports(others: u8, keys: Vec<u8>) -> bool {
        let requests = POISON..=POISON + u128::from(others % 4);
        let strikes = requests.flat_map(|number| (1..=3).map(move |replica| (number, replica)));
        let mut ledger = Ledger::default();
        for (number, replica) in ordered(strikes.collect(), &keys) {
            strike(&mut ledger, number, replica, 3.0);
        }
        ledger.verdict(fingerprint(POISON), at(3.5)) == Verdict::Quarantined
    }
}

#[test]
fn a_request_reported_first_does_not_excuse_another_with_the_same_crashes() {
    let mut ledger = Ledger::default();
    for number in [2, POISON] {
        for replica in 1..=3 {
            strike(&mut ledger, number, replica, 3.0);
        }
    }
    let verdict = ledger.verdict(fingerprint(POISON), at(3.5));
    assert_eq!(verdict, Verdict::Quarantined);
}

#[test]
fn a_request_with_one_byte_changed_is_counted_separately() {
    let of = |caller: &str, body: &[u8]| {
        Fingerprint::new(&Method::POST, "host", "/safe/a", caller, body)
    };
    let (poison, varied) = (of("a", b"deadly 1"), of("a", b"deadly 2"));
    let mut ledger = Ledger::default();
    let crash = |ledger: &mut Ledger, request: Fingerprint, replica: u64| {
        let strike = Strike {
            replica,
            at: at(replica as f64),
            is_coincident: false,
            began_at: None,
        };
        ledger.strike(request, strike, Role::Home, strike.at);
    };
    (1..=3).for_each(|replica| crash(&mut ledger, poison, replica));
    // A completed answer to an ordinary request of the same caller clears neither.
    assert_eq!(ledger.clear(of("a", b"ordinary"), at(3.1)), None);
    (4..=6).for_each(|replica| crash(&mut ledger, varied, replica));
    for request in [poison, varied] {
        assert_eq!(ledger.verdict(request, at(6.1)), Verdict::Quarantined);
    }
}

#[test]
fn one_caller_can_not_get_the_request_of_another_quarantined() {
    let of = |caller: &str| Fingerprint::new(&Method::POST, "host", "/safe/a", caller, b"body");
    let mut ledger = Ledger::default();
    // The same bytes, sent by another caller together with a request that crashes replicas.
    for replica in 1..=3 {
        let strike = Strike {
            replica,
            at: at(replica as f64),
            is_coincident: false,
            began_at: None,
        };
        ledger.strike(of("mallory"), strike, Role::Home, strike.at);
    }
    assert_eq!(ledger.verdict(of("mallory"), at(4.0)), Verdict::Quarantined);
    assert_eq!(ledger.verdict(of("alice"), at(4.0)), Verdict::Clear);
}

#[test]
fn crashes_of_a_quarantined_request_do_not_count_against_one_with_fewer_crashes() {
    let mut ledger = Ledger::default();
    for replica in [1, 2] {
        strike(&mut ledger, POISON, replica, 2.0);
        strike(&mut ledger, 2, replica, 2.0);
    }
    assert_eq!(ledger.verdict(fingerprint(2), at(2.0)), Verdict::Suspicious);
    strike(&mut ledger, POISON, 3, 3.0);
    let of_poison = ledger.verdict(fingerprint(POISON), at(3.0));
    assert_eq!(of_poison, Verdict::Quarantined);
    assert_eq!(ledger.verdict(fingerprint(2), at(3.0)), Verdict::Clear);
    // Reporting the crash again, or later, changes nothing.
    strike(&mut ledger, 2, 1, 3.5);
    strike(&mut ledger, 3, 1, 3.5);
    strike(&mut ledger, 3, 3, 3.5);
    for number in [2, 3] {
        let verdict = ledger.verdict(fingerprint(number), at(4.0));
        assert_eq!(verdict, Verdict::Clear, "{number}");
    }
    // Completed answers of the explained request do not clear the other one.
    ledger.clear(fingerprint(2), at(4.0));
    let of_poison = ledger.verdict(fingerprint(POISON), at(4.0));
    assert_eq!(of_poison, Verdict::Quarantined);
}

/// A ledger with the crashes of replicas 1 to 3, at the seconds of their numbers, with these requests open at
/// each.
fn struck_by_three_crashes(requests: &[u128]) -> Ledger {
    let mut ledger = Ledger::default();
    for number in requests {
        (1..=3).for_each(|replica| strike(&mut ledger, *number, replica, 3.0));
    }
    ledger
}

fn is_isolated_trial_due(ledger: &Ledger, number: u128, now: f64) -> bool {
    let verdict = ledger.verdict(fingerprint(number), at(now));
    matches!(verdict, Verdict::IsolatedTrialDue(_))
}

#[test]
fn a_request_without_rivals_is_not_tried_in_isolation() {
    let mut ledger = struck_by_three_crashes(&[POISON]);
    // Open at two of its crashes, which explains nothing.
    strike(&mut ledger, 2, 1, 3.0);
    strike(&mut ledger, 2, 2, 3.0);
    for second in 4..3000 {
        assert!(
            !is_isolated_trial_due(&ledger, POISON, f64::from(second)),
            "{second}"
        );
    }
}

#[test]
fn requests_with_the_same_crashes_are_tried_in_turn_except_for_the_last() {
    let mut ledger = struck_by_three_crashes(&[POISON, 2, 3]);
    let due = |ledger: &Ledger, now: f64| -> Vec<u128> {
        let all = [POISON, 2, 3].into_iter();
        all.filter(|number| is_isolated_trial_due(ledger, *number, now))
            .collect()
    };
    assert_eq!(
        due(&ledger, 4.9),
        Vec::<u128>::new(),
        "other replicas may still crash"
    );
    let first = due(&ledger, 5.1);
    assert_eq!(first.len(), 1);
    ledger.begin_isolated_trial(fingerprint(first[0]), at(5.1));
    assert_eq!(due(&ledger, 5.2), Vec::<u128>::new(), "one at a time");
    ledger.clear(fingerprint(first[0]), at(5.5));
    let second = due(&ledger, 5.6);
    assert_eq!(second.len(), 1);
    ledger.begin_isolated_trial(fingerprint(second[0]), at(5.6));
    ledger.clear(fingerprint(second[0]), at(6.0));
    for now in [6.1, 60.0, 3000.0] {
        assert_eq!(
            due(&ledger, now),
            Vec::<u128>::new(),
            "nothing else explains the crashes"
        );
    }
}

#[test]
fn a_request_whose_trial_crashes_a_replica_is_not_tried_in_isolation_again() {
    let mut ledger = struck_by_three_crashes(&[POISON, 2]);
    ledger.begin_isolated_trial(fingerprint(POISON), at(6.0));
    strike(&mut ledger, POISON, 7, 7.1);
    assert!((8..3000).all(|second| !is_isolated_trial_due(&ledger, POISON, f64::from(second))));
    assert!(is_isolated_trial_due(&ledger, 2, 9.1));
}

#[test]
fn an_inconclusive_trial_is_repeated_up_to_three_times() {
    let mut ledger = struck_by_three_crashes(&[POISON, 2]);
    let mut now = 5.1;
    let mut trials = 0;
    while now < 200.0 {
        if is_isolated_trial_due(&ledger, POISON, now) {
            ledger.begin_isolated_trial(fingerprint(POISON), at(now));
            trials += 1;
        }
        now += 0.1;
    }
    assert_eq!(trials, 3);
}

#[test]
fn a_run_started_after_the_previous_crash_is_a_separate_event() {
    // A request that is sent twice per attempt crashes two replicas 40 ms apart; one that was open at both
    // all the time proves less.
    let crashes = [(1, 0.04, 0.0), (2, 0.08, 0.041), (3, 0.2, 0.16)];
    for (has_run_before, expected) in [(false, Verdict::Quarantined), (true, Verdict::Suspicious)] {
        let mut ledger = Ledger::default();
        for (replica, crashed_at, began_at) in crashes {
            let began_at = if has_run_before { 0.0 } else { began_at };
            let strike = Strike {
                replica,
                at: at(crashed_at),
                is_coincident: false,
                began_at: Some(at(began_at)),
            };
            ledger.strike(fingerprint(POISON), strike, Role::Home, strike.at);
        }
        assert_eq!(ledger.verdict(fingerprint(POISON), at(0.21)), expected);
    }
}

#[test]
fn daemons_have_different_delays_for_a_trial() {
    let daemon = |number: usize| WireDaemon {
        name: format!("gateway-{number}"),
        peers: format!("10.0.0.{number}:7000"),
        zone: "z".to_owned(),
        capacity: 100,
    };
    let all: Vec<WireDaemon> = (0..40).map(daemon).collect();
    let mut soonest: Vec<Duration> = Vec::new();
    for own in &all {
        let directory = Directory::new(&all, own);
        let turn = isolated_trials::trial_delay(&directory, fingerprint(5), own);
        let is_home = home_rank(&directory, fingerprint(5), own).is_some();
        assert_eq!(turn < Duration::from_secs(3), is_home);
        soonest.push(turn);
    }
    soonest.sort_unstable();
    let of_homes: Vec<u64> = soonest[..3].iter().map(Duration::as_secs).collect();
    assert_eq!(of_homes, [0, 1, 2]);
    assert!(soonest[39] < Duration::from_secs(68));
}

#[test]
fn a_trial_is_stored_and_not_repeated_after_all_daemons_restart() {
    let mut ledger = struck_by_three_crashes(&[POISON, 2]);
    for number in [POISON, 2] {
        let stored = ledger
            .get(fingerprint(number))
            .map(|record| record.stored_at(StorePosition::unnamed(7)));
        ledger.note_stored(fingerprint(number), stored.expect("a record"));
    }
    let needs_storing = |ledger: &Ledger| {
        let record = ledger.get(fingerprint(POISON));
        record.is_some_and(|record| record.needs_storing(StoreEra::UNNAMED))
    };
    assert!(!needs_storing(&ledger));
    ledger.begin_isolated_trial(fingerprint(POISON), at(6.0));
    assert!(needs_storing(&ledger));
    let record = ledger.get(fingerprint(POISON)).cloned().expect("a record");
    ledger.note_stored(
        fingerprint(POISON),
        record.stored_at(StorePosition::unnamed(8)),
    );
    assert!(!needs_storing(&ledger));

    // As read from the store, which keeps the number of trials but not their times.
    let mut later = struck_by_three_crashes(&[2]);
    let read = Record {
        isolated_trial_at: Duration::ZERO,
        ..record
    };
    later.merge(fingerprint(POISON), read, Role::Other, at(100.0));
    assert!((100..3000).all(|second| !is_isolated_trial_due(&later, POISON, f64::from(second))));
    assert!(is_isolated_trial_due(&later, 2, 100.0));
}

#[test]
fn a_request_with_one_crash_of_its_own_is_tried_in_isolation_and_one_with_two_is_not() {
    for (crashes, is_trial_due) in [([2, 3, 13], true), ([3, 12, 13], false)] {
        let mut ledger = struck_by_three_crashes(&[POISON]);
        for replica in crashes {
            strike(&mut ledger, 2, replica, 13.0);
        }
        assert_eq!(
            is_isolated_trial_due(&ledger, 2, 30.0),
            is_trial_due,
            "{crashes:?}"
        );
        assert_eq!(
            is_isolated_trial_due(&ledger, POISON, 31.0),
            is_trial_due,
            "{crashes:?}"
        );
    }
}

/// Reports a crash to a home gateway of the request, at the second of the replica's number, after the request
/// had run there for `ran` seconds.
fn strike_after_run(ledger: &mut Ledger, number: u128, replica: u64, ran: f64) {
    let crashed_at = replica as f64;
    let strike = Strike {
        replica,
        at: at(crashed_at),
        is_coincident: false,
        began_at: Some(at(crashed_at - ran)),
    };
    ledger.strike(fingerprint(number), strike, Role::Home, strike.at);
}

/// Regression test: two requests crashed replicas while a harmless one had the same crashes and thus
/// explained theirs. One of the two was tried in isolation before the harmless one and crashed one more
/// replica: nine crashed where eight are allowed. After the harmless one had completed, nothing explained the
/// crashes of the two, and neither would have been tried.
#[test]
fn the_request_with_the_longest_runs_before_the_crashes_is_tried_first() {
    // Regardless of the order of their numbers.
    for (harmless, poison) in [(1, 2), (2, 1)] {
        let mut ledger = Ledger::default();
        for replica in 1..=3 {
            strike_after_run(&mut ledger, poison, replica, 0.04);
            strike_after_run(&mut ledger, harmless, replica, 0.3);
        }
        assert!(
            is_isolated_trial_due(&ledger, harmless, 5.1),
            "{harmless} is harmless"
        );
        assert!(
            !is_isolated_trial_due(&ledger, poison, 5.1),
            "{poison} crashes replicas"
        );
    }
}

/// Regression test: next to two requests that crash replicas, a harmless one has more strikes than each of
/// them. If it was quarantined first, all crashes of the others were attributed to it, and they were
/// quarantined at the fifth or sixth crash instead of the third.
#[test]
fn a_quarantined_request_explains_at_most_three_crashes_of_another() {
    let mut ledger = Ledger::default();
    for replica in 1..=5 {
        strike(&mut ledger, 2, replica, 5.0);
    }
    for replica in 1..=3 {
        strike(&mut ledger, POISON, replica, 5.0);
    }
    let of_poison = ledger.verdict(fingerprint(POISON), at(5.0));
    assert_eq!(of_poison, Verdict::Clear, "the other one explains three");
    strike(&mut ledger, POISON, 4, 5.0);
    let of_poison = ledger.verdict(fingerprint(POISON), at(5.0));
    assert_eq!(of_poison, Verdict::Quarantined);
}

/// Regression test: the store keeps no times, so its crashes are assumed to be a second apart. Each gateway
/// reads what it has written itself; crashes that had happened together thus moved apart and counted fully,
/// and runs seemed to have started after them.
#[test]
fn stored_records_do_not_change_known_times_of_crashes() {
    let crashes = [(1, 10.0), (2, 10.04)].map(|(replica, crashed_at)| Strike {
        replica,
        at: at(crashed_at),
        is_coincident: false,
        began_at: Some(at(9.8)),
    });
    let of_store = [(1, 9.2), (2, 10.2)].map(|(replica, crashed_at)| Strike {
        replica,
        at: at(crashed_at),
        is_coincident: false,
        began_at: None,
    });
    for is_store_first in [false, true] {
        let mut ledger = Ledger::default();
        let mut strikes = [crashes, of_store].map(|strikes| Record {
            strikes: strikes.to_vec(),
            ..Record::default()
        });
        if is_store_first {
            strikes.reverse();
        }
        for record in strikes {
            ledger.merge(fingerprint(2), record, Role::Home, at(10.2));
        }
        let record = ledger.get(fingerprint(2)).expect("a record");
        assert_eq!(record.strikes, crashes, "store first: {is_store_first}");
    }
}

/// Regression test: a request had crashed two replicas, and was to be sent only once per attempt. A harmless
/// one, quarantined just before, had these strikes and more, so the first counted as explained, was sent a
/// second time in the same attempt, and crashed two replicas in it (logs: `REPLICA_ENDED` 46 ms after
/// `REQUEST_QUARANTINED`, in each of two attempts).
#[test]
fn a_request_with_longer_runs_does_not_explain_crashes_of_one_with_shorter_runs() {
    const SHORT: f64 = 0.04;
    const LONG: f64 = 0.3;
    for (quarantined_ran, other_ran, expected) in [
        (LONG, SHORT, Verdict::Suspicious),
        (SHORT, LONG, Verdict::Clear),
    ] {
        let mut ledger = Ledger::default();
        (1..=4).for_each(|replica| strike_after_run(&mut ledger, 2, replica, quarantined_ran));
        (1..=2).for_each(|replica| strike_after_run(&mut ledger, 3, replica, other_ran));
        assert_eq!(
            ledger.verdict(fingerprint(2), at(4.0)),
            Verdict::Quarantined
        );
        let of_other = ledger.verdict(fingerprint(3), at(4.0));
        assert_eq!(
            of_other, expected,
            "quarantined {quarantined_ran} s, other {other_ran} s"
        );
    }
}
