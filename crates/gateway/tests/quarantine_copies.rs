//! Quarantine records when the store was restored from a backup: who writes which record again, and which
//! records do not come back.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_gateway::peers::directory::Directory;
use driftspring_gateway::peers::message::WireDaemon;
use driftspring_gateway::protocol::QuarantineRecord;
use driftspring_gateway::quarantine::ledger::{Ledger, Role};
use driftspring_gateway::quarantine::stored_state::{StoredState, compare};
use driftspring_gateway::quarantine::{Fingerprint, Strike, WRITE_TURN, home_rank, is_write_turn};
use driftspring_gateway::store::{StoreEra, StorePosition};
use quickcheck::quickcheck;

/// The number of records that a store has lost at once; few requests crash replicas.
const RECORDS: u128 = 40;

/// The time by which all records are to be restored.
const RECOVERED: Duration = Duration::from_secs(2);

fn fingerprint(number: u128) -> Fingerprint {
    Fingerprint::from_number(number << 64 | number)
}

fn daemons(count: usize) -> Vec<WireDaemon> {
    let daemon = |number: usize| WireDaemon {
        name: format!("gateway-{number}"),
        peers: format!("10.0.{}.{}:7000", number / 250, number % 250),
        zone: format!("z{}", number % 5),
        capacity: 100,
    };
    (0..count).map(daemon).collect()
}

#[test]
fn each_record_has_one_writer_and_no_daemon_writes_many() {
    for count in [8, 295, 985] {
        let all = daemons(count);
        let mut calls: HashMap<&str, u128> = HashMap::new();
        for own in &all {
            let directory = Directory::new(&all, own);
            let places = (0..RECORDS).map(|number| home_rank(&directory, fingerprint(number), own));
            let writes = places
                .filter(|home_rank| is_write_turn(*home_rank, Duration::ZERO))
                .count();
            calls.insert(&own.name, writes as u128);
        }
        let most = calls.values().max().copied().unwrap_or(0);
        println!("{count} daemons, {RECORDS} records: {most} at the most by one");
        assert_eq!(calls.values().sum::<u128>(), RECORDS);
        // Three times the even share, plus a few.
        let share = RECORDS.div_ceil(count as u128);
        assert!(most <= share * 3 + 3, "{count}: {most}");
    }
}

#[test]
fn the_second_and_third_homes_write_in_time_if_those_before_are_down() {
    for home_rank in 0..3 {
        assert!(is_write_turn(
            Some(home_rank),
            WRITE_TURN * u32::try_from(home_rank).expect("small")
        ));
        assert!(
            home_rank == 0
                || !is_write_turn(
                    Some(home_rank),
                    WRITE_TURN * home_rank as u32 - Duration::from_millis(1)
                )
        );
    }
    assert!(WRITE_TURN * 2 < RECOVERED);
    assert!(
        !is_write_turn(None, Duration::from_secs(60)),
        "not a home of the request"
    );
}

fn record(generation: u8, replicas: &[u8], is_quarantined: bool, trials: u8) -> QuarantineRecord {
    QuarantineRecord {
        generation: u32::from(generation % 3),
        replicas: replicas
            .iter()
            .map(|replica| u64::from(replica % 4))
            .collect(),
        is_quarantined,
        trials: u32::from(trials % 3),
        good_ends: 0,
        apart_trials: u32::from(trials / 3 % 3),
    }
}

/// The random input of a record.
type Draw = (u8, Vec<u8>, bool, u8);

quickcheck! {
    fn a_current_object_is_not_written_again(stored: Draw, own: Draw) -> bool {
        let stored = record(stored.0, &stored.1, stored.2, stored.3);
        let own = record(own.0, &own.1, own.2, own.3);
        match compare(&stored, &own) {
            StoredState::Current => {
                stored.generation == own.generation
                    && stored.is_quarantined >= own.is_quarantined
                    && stored.trials >= own.trials
                    && stored.apart_trials >= own.apart_trials
                    && own.replicas.iter().all(|replica| stored.replicas.contains(replica))
            }
            // A record that was released or cleared is never overwritten.
            StoredState::Newer => stored.generation > own.generation,
            StoredState::Outdated => stored.generation <= own.generation,
        }
    }

    fn a_written_record_is_current(own: Draw) -> bool {
        let own = record(own.0, &own.1, own.2, own.3);
        compare(&own, &own) == StoredState::Current
    }

    fn a_quarantine_overwrites_an_object_without_it(own: Draw) -> bool {
        let own = record(own.0, &own.1, true, own.3);
        let stored = QuarantineRecord { is_quarantined: false, ..own.clone() };
        compare(&stored, &own) == StoredState::Outdated
    }
}

fn struck(number: u128) -> Ledger {
    let mut ledger = Ledger::default();
    for (replica, seconds) in [(1, 1), (2, 2)] {
        let at = Duration::from_secs(seconds);
        let strike = Strike {
            replica,
            at,
            is_coincident: false,
            began_at: None,
        };
        ledger.strike(fingerprint(number), strike, Role::Home, at);
    }
    ledger
}

#[test]
fn a_forgotten_record_is_recognized_when_a_backup_restores_it() {
    let mut ledger = struck(1);
    let position = StorePosition::unnamed(7).in_era(StoreEra::named(2));
    let record = ledger.get(fingerprint(1)).expect("a record");
    let stored = record.stored_at(position);
    ledger.note_stored(fingerprint(1), stored);
    assert!(!ledger.has_forgotten(fingerprint(1), &[1, 2]));
    let forgotten = ledger.forget_old(Duration::from_secs(3600));
    assert_eq!(forgotten, [(fingerprint(1), position)]);
    assert!(ledger.has_forgotten(fingerprint(1), &[1, 2]));
    assert!(
        ledger.has_forgotten(fingerprint(1), &[1]),
        "an earlier state of the record"
    );
    assert!(
        !ledger.has_forgotten(fingerprint(1), &[1, 3]),
        "a strike was added"
    );
    assert!(
        !ledger.has_forgotten(fingerprint(2), &[1, 2]),
        "another request"
    );
}
