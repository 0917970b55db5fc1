//! Ends of replicas that start again under their ids, told by daemons that have not heard of that yet.

use std::time::Duration;

use driftspring_gateway::quarantine::ledger::{Ledger, News};
use driftspring_gateway::quarantine::{Fingerprint, Role, Strike, Verdict};
use quickcheck::quickcheck;

/// A moment long after the begin of the clock.
const START: Duration = Duration::from_secs(1_000_000);

/// The request that ends replicas.
fn deadly() -> Fingerprint {
    Fingerprint::from_number(1)
}

/// The lives of one replica, and that of another one.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const THIRD: u64 = 3;
const ELSEWHERE: u64 = 7;

/// How long each request had been at its replica.
const RAN_MS: u64 = 40;

/// The end of a life, so long after the first one, in milliseconds.
fn end(replica: u64, ended_ms: u64) -> Strike {
    let at = START + Duration::from_millis(ended_ms);
    Strike {
        replica,
        at,
        is_coincident: false,
        began_at: Some(at - Duration::from_millis(RAN_MS)),
    }
}

/// Tells a daemon that counts for the request.
fn tell(ledger: &mut Ledger, strike: Strike) -> News {
    ledger.strike(deadly(), strike, Role::Home, strike.at)
}

/// The replicas whose ends count against the request.
fn ends(ledger: &Ledger) -> Vec<u64> {
    let strikes = ledger.get(deadly()).into_iter();
    let strikes = strikes.flat_map(|record| &record.strikes);
    strikes.map(|strike| strike.replica).collect()
}

#[test]
fn a_run_that_began_after_the_end_of_its_life_counts_for_the_next_one() {
    // A daemon that had not heard of the restart told the end of the second life under the name of the first. The request had
    // ended that one too, and the second end was lost.
    let mut ledger = Ledger::default();
    ledger.note_next_life(FIRST, SECOND, START);
    tell(&mut ledger, end(FIRST, 0));
    tell(&mut ledger, end(FIRST, 1100));
    tell(&mut ledger, end(SECOND, 1102));
    tell(&mut ledger, end(FIRST, 1104));
    assert_eq!(ends(&ledger), [FIRST, SECOND]);
    tell(&mut ledger, end(ELSEWHERE, 2000));
    let now = START + Duration::from_secs(2);
    assert_eq!(ledger.verdict(deadly(), now), Verdict::Quarantined);
}

#[test]
fn it_waits_for_the_name_of_a_life_that_was_not_heard_of() {
    let mut ledger = Ledger::default();
    tell(&mut ledger, end(FIRST, 0));
    tell(&mut ledger, end(ELSEWHERE, 500));
    assert_eq!(tell(&mut ledger, end(FIRST, 1100)), News::Nothing);
    assert_eq!(ends(&ledger), [FIRST, ELSEWHERE]);
    let named = ledger.note_next_life(FIRST, SECOND, START + Duration::from_millis(1200));
    assert_eq!(named, [(deadly(), News::Quarantined)]);
    assert_eq!(ends(&ledger), [FIRST, ELSEWHERE, SECOND]);
}

#[test]
fn it_counts_as_told_where_no_life_follows_under_the_id() {
    // The replica at the address has a new id by then; the request was not open as the one before it ended.
    let mut ledger = Ledger::default();
    let other = Fingerprint::from_number(2);
    ledger.strike(other, end(FIRST, 0), Role::Home, START);
    tell(&mut ledger, end(FIRST, 1100));
    assert!(ends(&ledger).is_empty());
    ledger.note_gone_life(FIRST, START + Duration::from_millis(1200));
    assert_eq!(ends(&ledger), [FIRST]);
}

#[test]
fn an_end_is_of_the_life_after_all_that_had_ended_before_it() {
    // A daemon that has missed two restarts.
    let mut ledger = Ledger::default();
    ledger.note_next_life(FIRST, SECOND, START);
    ledger.note_next_life(SECOND, THIRD, START);
    tell(&mut ledger, end(FIRST, 0));
    tell(&mut ledger, end(SECOND, 1100));
    tell(&mut ledger, end(FIRST, 2200));
    assert_eq!(ends(&ledger), [FIRST, SECOND, THIRD]);
}

#[test]
fn a_run_that_is_lost_at_once_shows_no_later_life() {
    // It may have been sent on a kept connection to a process that had ended unseen.
    let mut ledger = Ledger::default();
    ledger.note_next_life(FIRST, SECOND, START);
    tell(&mut ledger, end(FIRST, 0));
    let lost_at_once = Strike {
        began_at: Some(START + Duration::from_millis(1097)),
        ..end(FIRST, 1100)
    };
    tell(&mut ledger, lost_at_once);
    assert_eq!(ends(&ledger), [FIRST]);
}

quickcheck! {
    /// News of one end that are under way for different times, up to 0.3 s, are of one end.
    fn news_of_one_end_that_come_late_name_one_life(delays_ms: Vec<u16>) -> bool {
        let mut ledger = Ledger::default();
        ledger.note_next_life(FIRST, SECOND, START);
        for delay_ms in delays_ms {
            tell(&mut ledger, end(FIRST, u64::from(delay_ms % 300)));
        }
        ends(&ledger).len() <= 1
    }
}
