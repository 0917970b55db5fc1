//! Ends of replicas that start again under their ids, told by daemons that have not heard of that yet.

use std::time::Duration;

use driftspring_gateway::quarantine::ledger::{Ledger, RecordUpdate};
use driftspring_gateway::quarantine::{Fingerprint, Role, Strike, Verdict};
use quickcheck::quickcheck;

/// A moment long after the begin of the clock.
const START: Duration = Duration::from_secs(1_000_000);

/// The request that ends replicas.
fn poison() -> Fingerprint {
    Fingerprint::from_number(1)
}

/// The lives of one replica, and that of another one.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const THIRD: u64 = 3;
const OTHER_REPLICA: u64 = 7;

/// How long each request had been at its replica.
const RAN_MS: u64 = 40;

/// The end of a life, so long after the first one, in milliseconds.
fn crash(replica: u64, ended_ms: u64) -> Strike {
    let at = START + Duration::from_millis(ended_ms);
    Strike {
        replica,
        at,
        is_coincident: false,
        began_at: Some(at - Duration::from_millis(RAN_MS)),
    }
}

/// Tells a daemon that counts for the request.
fn strike(ledger: &mut Ledger, strike: Strike) -> RecordUpdate {
    ledger.strike(poison(), strike, Role::Home, strike.at)
}

/// The replicas whose ends count against the request.
fn struck_replicas(ledger: &Ledger) -> Vec<u64> {
    let strikes = ledger.get(poison()).into_iter();
    let strikes = strikes.flat_map(|record| &record.strikes);
    strikes.map(|strike| strike.replica).collect()
}

#[test]
fn a_run_that_began_after_the_end_of_its_life_counts_for_the_next_one() {
    // A daemon that had not heard of the restart told the end of the second life under the name of the first. The request had
    // ended that one too, and the second end was lost.
    let mut ledger = Ledger::default();
    ledger.note_next_incarnation(FIRST, SECOND, START);
    strike(&mut ledger, crash(FIRST, 0));
    strike(&mut ledger, crash(FIRST, 1100));
    strike(&mut ledger, crash(SECOND, 1102));
    strike(&mut ledger, crash(FIRST, 1104));
    assert_eq!(struck_replicas(&ledger), [FIRST, SECOND]);
    strike(&mut ledger, crash(OTHER_REPLICA, 2000));
    let now = START + Duration::from_secs(2);
    assert_eq!(ledger.verdict(poison(), now), Verdict::Quarantined);
}

#[test]
fn it_waits_for_the_name_of_a_life_that_was_not_heard_of() {
    let mut ledger = Ledger::default();
    strike(&mut ledger, crash(FIRST, 0));
    strike(&mut ledger, crash(OTHER_REPLICA, 500));
    assert_eq!(
        strike(&mut ledger, crash(FIRST, 1100)),
        RecordUpdate::NotShared
    );
    assert_eq!(struck_replicas(&ledger), [FIRST, OTHER_REPLICA]);
    let updates = ledger.note_next_incarnation(FIRST, SECOND, START + Duration::from_millis(1200));
    assert_eq!(updates, [(poison(), RecordUpdate::Quarantined)]);
    assert_eq!(struck_replicas(&ledger), [FIRST, OTHER_REPLICA, SECOND]);
}

#[test]
fn it_counts_as_told_where_no_life_follows_under_the_id() {
    // The replica at the address has a new id by then; the request was not open as the one before it ended.
    let mut ledger = Ledger::default();
    let other = Fingerprint::from_number(2);
    ledger.strike(other, crash(FIRST, 0), Role::Home, START);
    strike(&mut ledger, crash(FIRST, 1100));
    assert!(struck_replicas(&ledger).is_empty());
    ledger.note_removed_incarnation(FIRST, START + Duration::from_millis(1200));
    assert_eq!(struck_replicas(&ledger), [FIRST]);
}

#[test]
fn an_end_is_of_the_life_after_all_that_had_ended_before_it() {
    // A daemon that has missed two restarts.
    let mut ledger = Ledger::default();
    ledger.note_next_incarnation(FIRST, SECOND, START);
    ledger.note_next_incarnation(SECOND, THIRD, START);
    strike(&mut ledger, crash(FIRST, 0));
    strike(&mut ledger, crash(SECOND, 1100));
    strike(&mut ledger, crash(FIRST, 2200));
    assert_eq!(struck_replicas(&ledger), [FIRST, SECOND, THIRD]);
}

#[test]
fn a_run_that_is_lost_at_once_shows_no_later_life() {
    // It may have been sent on a kept connection to a process that had ended unseen.
    let mut ledger = Ledger::default();
    ledger.note_next_incarnation(FIRST, SECOND, START);
    strike(&mut ledger, crash(FIRST, 0));
    let lost_at_once = Strike {
        began_at: Some(START + Duration::from_millis(1097)),
        ..crash(FIRST, 1100)
    };
    strike(&mut ledger, lost_at_once);
    assert_eq!(struck_replicas(&ledger), [FIRST]);
}

quickcheck! {
    /// News of one end that are under way for different times, up to 0.3 s, are of one end.
    fn news_of_one_end_that_come_late_name_one_life(delays_ms: Vec<u16>) -> bool {
        let mut ledger = Ledger::default();
        ledger.note_next_incarnation(FIRST, SECOND, START);
        for delay_ms in delays_ms {
            strike(&mut ledger, crash(FIRST, u64::from(delay_ms % 300)));
        }
        struck_replicas(&ledger).len() <= 1
    }
}
