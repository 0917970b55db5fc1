//! The speed of replicas, in a replay of generated load. The targets are those of the callers: half a second.

mod speed_replay;
mod support;

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::replica_speed::{HedgeShare, ReplicaSpeed};
use speed_replay::{Ended, Outcome, Replay};

const OBJECTIVE_MS: u64 = 500;

/// Four gateways and eight replicas at 0.6 of what these can run.
fn scene(slowness: fn(usize, u64) -> f64) -> Replay {
    Replay {
        gateways: 4,
        replicas: 8,
        slots: 4,
        rate: 192.0,
        work_ms: 100.0,
        time_ms: 15_000,
        is_enabled: true,
        slowness,
        seed: seed(),
    }
}

/// A seed that differs from run to run, unless `SEED` names one.
fn seed() -> u64 {
    let named = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seed = named.unwrap_or_else(|| {
        std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("later")
            .as_nanos() as u64
    });
    println!("SEED={seed}");
    seed
}

fn share_in_time(outcome: &Outcome) -> f64 {
    let is_in_time = |call: &&Ended| !call.has_failed && call.took_ms <= OBJECTIVE_MS;
    let share = outcome.calls.iter().filter(is_in_time).count() as f64 / outcome.calls.len() as f64;
    println!(
        "in time {share:.4} of {}, hedged {}",
        outcome.calls.len(),
        outcome.hedged
    );
    share
}

/// Share of the calls that arrived in this time and were answered by the first replica.
fn share_of_first(outcome: &Outcome, from_ms: u64, until_ms: u64) -> f64 {
    let calls = outcome
        .calls
        .iter()
        .filter(|call| (from_ms..until_ms).contains(&call.arrived_ms));
    let calls: Vec<&Ended> = calls.collect();
    let share = calls.iter().filter(|call| call.replica == 0).count() as f64 / calls.len() as f64;
    println!("share of the first replica {share:.4} of {}", calls.len());
    share
}

fn a_quarter_is_slow(replica: usize, at_ms: u64) -> f64 {
    if replica < 2 && at_ms >= 3000 {
        8.0
    } else {
        1.0
    }
}

#[test]
fn calls_are_in_time_while_a_quarter_of_the_replicas_is_slow() {
    let enabled = scene(a_quarter_is_slow);
    let disabled = Replay {
        is_enabled: false,
        ..scene(a_quarter_is_slow)
    };
    let before = share_in_time(&disabled.play());
    assert!(before < 0.98, "the load does not show the fault: {before}");
    assert!(share_in_time(&enabled.play()) >= 0.98);
}

#[test]
fn a_replica_gets_its_share_again_after_its_recovery() {
    let recovery = |replica, at_ms| {
        if replica == 0 && (3000..8000).contains(&at_ms) {
            8.0
        } else {
            1.0
        }
    };
    let outcome = Replay {
        time_ms: 30_000,
        ..scene(recovery)
    }
    .play();
    assert!(share_of_first(&outcome, 4000, 8000) < 0.03);
    assert!(share_of_first(&outcome, 25_000, 29_000) > 0.08);
}

/// Windows of 600 ms that take 15% of the time are no reason to leave replicas out or to hedge much.
#[test]
fn short_slow_windows_cost_nothing() {
    let windows = |replica, at_ms| {
        let window = at_ms / 600;
        let is_slow = (window * 7919 + replica as u64 * 104_729) % 20 < 3;
        if is_slow { 2.5 } else { 1.0 }
    };
    let before = share_in_time(
        &Replay {
            is_enabled: false,
            ..scene(windows)
        }
        .play(),
    );
    let outcome = scene(windows).play();
    assert!(share_in_time(&outcome) >= before - 0.002);
    let first = share_of_first(&outcome, 0, 15_000);
    assert!((0.06..0.2).contains(&first));
}

/// Immediate failures are no fast answers: they must not attract calls, nor make the others look slow.
#[test]
fn a_replica_that_fails_at_once_gets_no_more_calls_than_without_the_speed() {
    let fails = |replica, at_ms| {
        if replica == 0 && at_ms >= 3000 {
            0.0
        } else {
            1.0
        }
    };
    let without = share_of_first(
        &Replay {
            is_enabled: false,
            ..scene(fails)
        }
        .play(),
        3000,
        15_000,
    );
    let outcome = scene(fails).play();
    assert!(share_of_first(&outcome, 3000, 15_000) <= without + 0.01);
}

/// Answers in no time must not starve the other replicas: these would all look slow next to it.
#[test]
fn a_replica_that_answers_in_no_time_does_not_make_the_others_look_slow() {
    let nonsense = |replica, _| if replica == 0 { 0.001 } else { 1.0 };
    let load = || Replay {
        replicas: 4,
        rate: 200.0,
        ..scene(nonsense)
    };
    let without = share_of_first(
        &Replay {
            is_enabled: false,
            ..load()
        }
        .play(),
        3000,
        15_000,
    );
    assert!(share_of_first(&load().play(), 3000, 15_000) <= without + 0.05);
}

/// Hedging must not add to the load when there is no faster replica.
#[test]
fn when_all_replicas_are_slow_few_calls_are_hedged_and_all_replicas_are_used() {
    let all = |_, at_ms| if at_ms >= 3000 { 1.6 } else { 1.0 };
    let outcome = scene(all).play();
    share_in_time(&outcome);
    // A share of 5%, and the three for each gateway that may be saved up, of the third that may be hedged.
    assert!(outcome.hedged as f64 <= 0.05 * outcome.calls.len() as f64 + 12.0);
    assert!((0.09..0.16).contains(&share_of_first(&outcome, 5000, 15_000)));
}

/// The customer with many gateways: each sees about one call per second. Every gateway has to find out for itself.
#[test]
fn many_gateways_with_few_samples_each_avoid_a_slow_replica() {
    let one_of_three = |replica, at_ms| {
        if replica == 0 && at_ms >= 30_000 {
            8.0
        } else {
            1.0
        }
    };
    let load = || Replay {
        gateways: 73,
        replicas: 3,
        slots: 6,
        rate: 94.0,
        work_ms: 100.0,
        time_ms: 90_000,
        ..scene(one_of_three)
    };
    let without = share_in_time(
        &Replay {
            is_enabled: false,
            ..load()
        }
        .play(),
    );
    let outcome = load().play();
    let with = share_in_time(&outcome);
    assert!(with > without, "{with} {without}");
    assert!(share_of_first(&outcome, 60_000, 89_000) < 0.1);
}

/// The limit of a replica that refuses falls below what was open there, down to one request but never to none.
#[test]
fn refusals_lower_the_limit_down_to_one_request() {
    let mut speed = ReplicaSpeed::default();
    assert_eq!(speed.limit(), u32::MAX);
    speed.record_refusal(10);
    assert_eq!(speed.limit(), 7);
    for _ in 0..20 {
        speed.record_refusal(10);
    }
    assert_eq!(speed.limit(), 1);
}

/// Hedged requests must not take the retry budget from requests that look for a replica with room.
#[test]
fn nothing_is_hedged_for_a_second_after_a_refusal() {
    let now = Instant::now();
    let mut share = HedgeShare::default();
    assert!(!share.is_left(now), "nothing was earned");
    (0..21).for_each(|_| share.earn());
    assert!(share.is_left(now));
    share.record_refusal(now);
    assert!(!share.is_left(now + Duration::from_millis(999)));
    assert!(share.is_left(now + Duration::from_secs(1)));
    share.spend();
    assert!(!share.is_left(now + Duration::from_secs(1)));
}
