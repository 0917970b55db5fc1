//! Crashes of replicas that restart under their ids, reported by gateways that have not heard of the restart
//! yet.

use std::time::Duration;

use driftspring_gateway::quarantine::ledger::{Ledger, RecordUpdate};
use driftspring_gateway::quarantine::{Fingerprint, Role, Strike, Verdict};
use quickcheck::quickcheck;

/// A time long after the start of the clock.
const START: Duration = Duration::from_secs(1_000_000);

/// The request that crashes replicas.
fn poison() -> Fingerprint {
    Fingerprint::from_number(1)
}

/// The incarnations of one replica, and one of another replica.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const THIRD: u64 = 3;
const OTHER_REPLICA: u64 = 7;

/// How long each request had been at its replica.
const RAN_MS: u64 = 40;

/// The crash of an incarnation, this many milliseconds after the start.
fn crash(replica: u64, ended_ms: u64) -> Strike {
    let at = START + Duration::from_millis(ended_ms);
    Strike {
        replica,
        at,
        is_coincident: false,
        began_at: Some(at - Duration::from_millis(RAN_MS)),
    }
}

/// Reports a strike to a home gateway of the request.
fn strike(ledger: &mut Ledger, strike: Strike) -> RecordUpdate {
    ledger.strike(poison(), strike, Role::Home, strike.at)
}

/// The replicas whose crashes count against the request.
fn struck_replicas(ledger: &Ledger) -> Vec<u64> {
    let strikes = ledger.get(poison()).into_iter();
    let strikes = strikes.flat_map(|record| &record.strikes);
    strikes.map(|strike| strike.replica).collect()
}

#[test]
fn a_run_started_after_the_crash_of_its_incarnation_counts_for_the_next_one() {
    // Regression test: a gateway that had not heard of the restart reported the crash of the second
    // incarnation under the first. The request had crashed that one too, so the second crash was lost.
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
fn a_strike_waits_until_its_incarnation_is_known() {
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
fn a_strike_counts_as_reported_if_no_incarnation_follows_under_the_id() {
    // The replica at the address has a new id by then; the request was not open when the previous one
    // crashed.
    let mut ledger = Ledger::default();
    let other = Fingerprint::from_number(2);
    ledger.strike(other, crash(FIRST, 0), Role::Home, START);
    strike(&mut ledger, crash(FIRST, 1100));
    assert!(struck_replicas(&ledger).is_empty());
    ledger.note_removed_incarnation(FIRST, START + Duration::from_millis(1200));
    assert_eq!(struck_replicas(&ledger), [FIRST]);
}

#[test]
fn a_crash_belongs_to_the_incarnation_after_all_that_had_crashed_before() {
    // A gateway that has missed two restarts.
    let mut ledger = Ledger::default();
    ledger.note_next_incarnation(FIRST, SECOND, START);
    ledger.note_next_incarnation(SECOND, THIRD, START);
    strike(&mut ledger, crash(FIRST, 0));
    strike(&mut ledger, crash(SECOND, 1100));
    strike(&mut ledger, crash(FIRST, 2200));
    assert_eq!(struck_replicas(&ledger), [FIRST, SECOND, THIRD]);
}

#[test]
fn a_run_lost_at_once_does_not_prove_a_later_incarnation() {
    // It may have been sent on a pooled connection to a process that had crashed unnoticed.
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
    /// Reports of one crash that arrive up to 0.3 s late count as one crash.
    fn late_reports_of_one_crash_count_once(delays_ms: Vec<u16>) -> bool {
        let mut ledger = Ledger::default();
        ledger.note_next_incarnation(FIRST, SECOND, START);
        for delay_ms in delays_ms {
            strike(&mut ledger, crash(FIRST, u64::from(delay_ms % 300)));
        }
        struck_replicas(&ledger).len() <= 1
    }
}
