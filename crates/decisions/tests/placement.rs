//! Placement: which replica takes a request.

mod support;

use std::time::Duration;

use driftspring_decisions::placement::{Candidate, PlacementKey, place};
use quickcheck::quickcheck;
use support::candidate;

fn shared(key: u64) -> Option<PlacementKey> {
    Some(PlacementKey(key))
}

quickcheck! {
    fn a_key_keeps_its_home_when_another_replica_is_removed(key: u64, ids: Vec<u64>, removed: usize) -> bool {
        let mut ids = ids;
        ids.sort_unstable();
        ids.dedup();
        if ids.len() < 2 {
            return true;
        }
        let all: Vec<Candidate> = ids.iter().map(|id| candidate(*id, 0)).collect();
        let (home, _) = place(&all, shared(key), 0).expect("there are some");
        let removed = removed % all.len();
        if removed == home {
            return true;
        }
        let mut rest = all.clone();
        rest.remove(removed);
        let (new_home, _) = place(&rest, shared(key), 0).expect("there are some");
        rest[new_home].id_hash == all[home].id_hash
    }
}

#[test]
fn the_home_is_passed_over_if_its_prefill_wait_exceeds_a_cache_miss() {
    let mut all: Vec<Candidate> = (1..=6).map(|id| candidate(id, 0)).collect();
    let (home, _) = place(&all, shared(7), 0).expect("there are some");
    all[home].load.remaining_prefill = Duration::from_millis(90);
    assert_eq!(place(&all, shared(7), 0), Some((home, home)));
    all[home].load.remaining_prefill = Duration::from_millis(120);
    let (chosen, same_home) = place(&all, shared(7), 0).expect("there are some");
    assert_ne!(chosen, home);
    assert_eq!(same_home, home);
}

#[test]
fn a_replica_with_the_prompt_cached_is_preferred_to_a_home_that_has_to_fetch_it() {
    let mut all: Vec<Candidate> = (1..=6).map(|id| candidate(id, 0)).collect();
    let (home, _) = place(&all, shared(7), 0).expect("there are some");
    let holder = (home + 1) % all.len();
    all[home].fetch_time = Duration::from_millis(40);
    all[holder].recompute_time = Duration::ZERO;
    let (chosen, same_home) = place(&all, shared(7), 0).expect("there are some");
    assert_eq!((chosen, same_home), (holder, home));
}

#[test]
fn a_replica_with_a_high_failure_rate_is_avoided() {
    let mut all: Vec<Candidate> = (1..=6).map(|id| candidate(id, 0)).collect();
    let (home, _) = place(&all, shared(7), 0).expect("there are some");
    all[home].failure_rate = 0.3;
    let (chosen, _) = place(&all, shared(7), 0).expect("there are some");
    assert_ne!(chosen, home);
}

#[test]
fn without_a_key_the_least_loaded_replica_is_chosen() {
    let all = [candidate(1, 3), candidate(2, 1), candidate(3, 2)];
    assert_eq!(place(&all, None, 5), Some((1, 1)));
    assert_eq!(place(&[], None, 5), None);
}

quickcheck! {
    // A service in which all replicas are of normal speed must be placed as if no speed were learnt.
    fn at_normal_speed_the_time_of_the_request_makes_no_difference(loads: Vec<(u8, u8)>, key: Option<u64>, service_ms: u16) -> bool {
        let with = |service_ms: u16| {
            let all = loads.iter().enumerate().map(|(id, (open, prefill_ms))| {
                let mut one = candidate(id as u64, u32::from(*open));
                one.load.remaining_prefill = Duration::from_millis(u64::from(*prefill_ms));
                one.service_time = Duration::from_millis(u64::from(service_ms));
                one
            });
            let all: Vec<Candidate> = all.collect();
            place(&all, key.map(PlacementKey), 1)
        };
        with(0) == with(service_ms)
    }
}

#[test]
fn a_slow_replica_is_chosen_once_the_others_are_busier_than_it_is_slow() {
    let mut all: Vec<Candidate> = (1..=2).map(|id| candidate(id, 0)).collect();
    for one in &mut all {
        one.service_time = Duration::from_secs(1);
    }
    all[0].load.slowdown = 2.0;
    // 20 ms of the additional time count: as much as five open requests.
    all[1].load.open_requests = 4;
    assert_eq!(place(&all, None, 1), Some((1, 1)));
    all[1].load.open_requests = 6;
    assert_eq!(place(&all, None, 1), Some((0, 0)));
}
