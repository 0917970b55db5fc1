//! Interference: bounds of the costs, and which replicas are preferred for long prompts.

mod support;

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::interference::{PromptProfile, Separation, interference_cost_ms};
use driftspring_decisions::load::ReplicaLoad;
use driftspring_decisions::placement::{Candidate, PlacementKey, place};
use quickcheck::quickcheck;
use support::candidate;

/// Cost of a replica where all requests fail: both costs of interference together stay below it.
const MAX_COST_MS: f64 = 900.0;

const LONG_MS: u64 = 80;
const SHORT_MS: u64 = 17;

fn profile(prefill_ms: u64, target_ms: Option<u64>) -> PromptProfile {
    let target = target_ms.map(Duration::from_millis);
    PromptProfile {
        prefill_time: Duration::from_millis(prefill_ms),
        whole_prefill_time: Duration::from_millis(prefill_ms),
        pause_target: target,
        service_pause_target: target,
    }
}

fn load(running_streams: f64, prefill_share: f64, remaining_prefill_ms: u64) -> ReplicaLoad {
    ReplicaLoad {
        running_streams,
        prefill_share,
        remaining_prefill: Duration::from_millis(remaining_prefill_ms),
        ..ReplicaLoad::default()
    }
}

fn separation(demand: f64, replicas: usize) -> Separation {
    let mut separation = Separation::default();
    separation.update(demand, replicas, Instant::now());
    separation
}

/// The number of replicas with ids below `replicas` that long prompts prefer. Short prompts prefer all others.
fn preferred_for_long(separation: &Separation, replicas: u64) -> usize {
    let long = profile(LONG_MS, Some(300));
    let short = profile(SHORT_MS, Some(300));
    let prefers_long = |id: &u64| {
        let is_for_long = separation.prefers(*id, &long);
        assert_ne!(is_for_long, separation.prefers(*id, &short), "replica {id}");
        is_for_long
    };
    (0..replicas).filter(prefers_long).count()
}

fn is_bounded(cost: f64) -> bool {
    (0.0..=MAX_COST_MS).contains(&cost)
}

quickcheck! {
    fn costs_are_bounded_whatever_is_reported(
        reported: (f64, f64, u64), prefill: u64, target: Option<u64>, demand: f64, replicas: usize, id: u64
    ) -> bool {
        let (streams, share, remaining) = reported;
        let prompt = profile(prefill, target);
        let separation = separation(demand, replicas);
        let stall = interference_cost_ms(&load(streams, share, remaining), &prompt);
        let side = separation.cost_ms(id, &prompt);
        is_bounded(stall) && is_bounded(side) && is_bounded(stall + side)
            && (0.0..=replicas as f64).contains(&separation.reserved_replicas())
    }

    fn without_a_pause_target_there_is_no_cost(
        streams: f64, share: f64, remaining: u64, prefill: u64, demand: f64, replicas: usize, id: u64
    ) -> bool {
        [None, Some(0)].into_iter().all(|target| {
            let untargeted = profile(prefill, target);
            interference_cost_ms(&load(streams, share, remaining), &untargeted) == 0.0
                && separation(demand, replicas).cost_ms(id, &untargeted) == 0.0
        })
    }

    fn every_request_gets_a_replica(ids: Vec<u64>, reported: Vec<(f64, f64, u32)>, key: Option<u64>, demand: f64) -> bool {
        let prompt = profile(LONG_MS, Some(300));
        let separation = separation(demand, ids.len());
        let to_candidate = |(id, (streams, share, remaining)): (&u64, &(f64, f64, u32))| {
            let load = load(*streams, *share, u64::from(*remaining));
            let cost = interference_cost_ms(&load, &prompt) + separation.cost_ms(*id, &prompt);
            Candidate { load, interference_cost_ms: cost, ..candidate(*id, 0) }
        };
        let candidates: Vec<Candidate> = ids.iter().zip(&reported).map(to_candidate).collect();
        place(&candidates, key.map(PlacementKey), 0).is_some() != candidates.is_empty()
    }

    fn more_streams_never_cost_less(streams: u8, more: u8, prefill: u16) -> bool {
        let prompt = profile(prefill.into(), Some(300));
        let cost = |streams: f64| interference_cost_ms(&load(streams, 0.2, 0), &prompt);
        cost(streams.into()) <= cost(f64::from(streams) + f64::from(more))
    }

    fn gateways_that_know_the_same_demand_agree_on_the_sides(past: Vec<f64>, demand: u8, ids: Vec<u64>) -> bool {
        const REPLICAS: usize = 60;
        let start = Instant::now();
        let mut experienced = Separation::default();
        for (second, demand) in (0..).zip(past) {
            experienced.update(demand, REPLICAS, start + Duration::from_secs(second));
        }
        let mut restarted = Separation::default();
        let settled = start + Duration::from_secs(10_000);
        experienced.update(demand.into(), REPLICAS, settled);
        restarted.update(demand.into(), REPLICAS, settled);
        ids.iter().all(|id| {
            let long = profile(LONG_MS, Some(300));
            (experienced.cost_ms(*id, &long) - restarted.cost_ms(*id, &long)).abs() < 0.01
        })
    }
}

#[test]
fn costs_are_bounded_for_values_that_are_no_numbers() {
    let extremes = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, -1.0];
    for value in extremes {
        for time in [Duration::ZERO, Duration::from_nanos(1), Duration::MAX] {
            let prompt = PromptProfile {
                prefill_time: time,
                whole_prefill_time: time,
                pause_target: Some(Duration::from_nanos(1)),
                service_pause_target: Some(Duration::from_nanos(1)),
            };
            let load = ReplicaLoad {
                remaining_prefill: time,
                ..load(value, value, 0)
            };
            let cost = interference_cost_ms(&load, &prompt);
            assert!(is_bounded(cost), "{cost} for {value} and {time:?}");
            let mut separation = separation(1.0, 60);
            separation.update(value, 60, Instant::now() + Duration::from_secs(1));
            let cost = separation.cost_ms(1, &prompt);
            assert!(is_bounded(cost), "{cost} for a demand of {value}");
        }
    }
}

#[test]
fn the_side_for_long_prompts_is_at_most_half_used() {
    const REPLICAS: u64 = 10_000;
    for demand in [500.0, 1_000.0, 2_500.0] {
        let separation = separation(demand, REPLICAS as usize);
        let long = preferred_for_long(&separation, REPLICAS) as f64;
        assert!(
            long >= demand * 1.9,
            "{long} replicas for a demand of {demand}"
        );
        assert!(
            long <= demand * 2.2,
            "{long} replicas for a demand of {demand}"
        );
    }
}

#[test]
fn short_prompts_keep_a_side_whatever_the_demand() {
    const REPLICAS: u64 = 10_000;
    let separation = separation(f64::INFINITY, REPLICAS as usize);
    let long = preferred_for_long(&separation, REPLICAS) as u64;
    assert!(long <= REPLICAS * 3 / 4, "{long} of {REPLICAS}");
}

#[test]
fn nothing_is_separated_without_demand() {
    let separation = separation(0.0, 60);
    for prompt in [profile(LONG_MS, Some(300)), profile(SHORT_MS, Some(300))] {
        assert!((0..60).all(|id| separation.prefers(id, &prompt)));
        assert!((0..60).all(|id| separation.cost_ms(id, &prompt) == 0.0));
    }
}

// Guards against replicas that change sides to and fro: their caches would fit neither kind of prompt.
#[test]
fn scatter_of_the_demand_moves_no_cost() {
    const SETTLED: u64 = 100;
    const MAX_CHANGE_MS: f64 = 1.0;
    let long = profile(LONG_MS, Some(300));
    let start = Instant::now();
    let mut separation = Separation::default();
    let mut ranges = [(f64::INFINITY, f64::NEG_INFINITY); 60];
    for update in 0..700 {
        let demand = if update % 2 == 0 { 10.5 } else { 9.5 };
        separation.update(demand, 60, start + Duration::from_millis(100 * update));
        if update < SETTLED {
            continue;
        }
        for (id, (least, greatest)) in (0..).zip(&mut ranges) {
            let cost = separation.cost_ms(id, &long);
            (*least, *greatest) = (least.min(cost), greatest.max(cost));
        }
    }
    for (least, greatest) in ranges {
        assert!(greatest - least <= MAX_CHANGE_MS, "{least} to {greatest}");
    }
}

#[test]
fn a_rise_of_the_demand_is_followed_within_a_second() {
    let now = Instant::now();
    let mut separation = separation(2.0, 60);
    for update in 1..=10 {
        separation.update(15.0, 60, now + Duration::from_millis(100 * update));
    }
    let reserved = separation.reserved_replicas();
    assert!(reserved >= 28.0, "{reserved} replicas for a demand of 15");
}

#[test]
fn a_long_prompt_leaves_its_home_when_streams_run_there_that_cannot_tolerate_it() {
    let prompt = profile(400, Some(300));
    let with_streams = |candidate: Candidate, streams: f64| {
        let load = load(streams, 0.0, 0);
        let cost = interference_cost_ms(&load, &prompt);
        Candidate {
            load,
            interference_cost_ms: cost,
            ..candidate
        }
    };
    let mut all: Vec<Candidate> = (1..=6).map(|id| candidate(id, 0)).collect();
    let key = Some(PlacementKey(7));
    let (home, _) = place(&all, key, 0).expect("there are some");
    all[home] = with_streams(all[home], 3.0);
    let (chosen, _) = place(&all, key, 0).expect("there are some");
    assert_ne!(chosen, home);
    all = all
        .into_iter()
        .map(|candidate| with_streams(candidate, 3.0))
        .collect();
    assert_eq!(
        place(&all, key, 0),
        Some((home, home)),
        "streams run everywhere"
    );
}

// Guards against long prompts that gather at one replica because their shared part is cached there.
#[test]
fn the_long_prompts_that_a_replica_prefills_at_once_are_bounded() {
    let prompt = profile(LONG_MS, Some(300));
    let mut all: Vec<Candidate> = (1..=6).map(|id| candidate(id, 0)).collect();
    let key = Some(PlacementKey(7));
    let (home, _) = place(&all, key, 0).expect("there are some");
    for candidate in &mut all {
        candidate.recompute_time = Duration::from_millis(700);
    }
    let mut at_home = 0;
    while place(&all, key, 0) == Some((home, home)) {
        at_home += 1;
        let load = &mut all[home].load;
        load.remaining_prefill += prompt.prefill_time;
        all[home].interference_cost_ms = interference_cost_ms(load, &prompt);
        assert!(
            at_home <= 6,
            "{at_home} long prompts at one replica while others are idle"
        );
    }
}

#[test]
fn short_prompts_avoid_a_replica_that_prefills_all_the_time() {
    let prompt = profile(SHORT_MS, Some(300));
    let cost = |share| interference_cost_ms(&load(0.0, share, 0), &prompt);
    assert!(cost(0.9) >= cost(0.1) + 50.0);
    let long = profile(LONG_MS, Some(300));
    assert_eq!(interference_cost_ms(&load(0.0, 0.9, 0), &long), 0.0);
}
