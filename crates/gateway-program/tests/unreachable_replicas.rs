//! Gateways that lose every replica while callers, the store and the other gateways still reach them.
//!
//! Guards against serving only over one's own connections to replicas. Such gateways refused nearly all requests for as
//! long as the cut lasted, although every other gateway could have brought them to a replica.

#[path = "support/cut_fleet.rs"]
mod cut_fleet;

use std::time::Duration;

use cut_fleet::{CutFleet, Served};
use driftspring_platform_standin::partition::Cut;

/// How long after the beginning of a cut its gateways are judged (`contactMs` in the platform's rules).
const CONTACT: Duration = Duration::from_secs(3);

/// How long they are judged.
const JUDGED: Duration = Duration::from_secs(4);

/// How long gateways may take to use their own replicas again after a cut.
const HEAL: Duration = Duration::from_secs(3);

/// Gateways that are cut off may serve first tries less often than the others by no more than a third, unless no more than
/// ten and one in fifty of all first tries fail there.
fn assert_served_as_elsewhere(cut: &Served, others: &Served, seed: u64) {
    let allowed = 10 + (cut.tried + others.tried) / 50;
    let failed = cut.tried - cut.served;
    let is_as_often = cut.share() >= others.share() * 2.0 / 3.0;
    assert!(
        is_as_often || failed <= allowed,
        "seed {seed}: cut off {cut:?}, others {others:?}"
    );
    assert!(others.share() > 0.9, "seed {seed}: others {others:?}");
}

/// Cuts `count` of the four gateways off, and lets callers try for a while.
fn play(seed: u64, count: usize, cut: Cut) {
    println!("seed {seed}: {count} of 4 cut off, {cut:?}");
    let fleet = CutFleet::start(seed);
    let calm = fleet.try_for(Duration::from_secs(1));
    assert!(calm.all().share() > 0.95, "seed {seed}: calm {calm:?}");
    fleet.cut(0..count, Some(cut));
    let early = fleet.try_for(CONTACT);
    let judged = fleet.try_for(JUDGED);
    println!("first {CONTACT:?}: {early:?}; then {judged:?}");
    fleet.cut(0..count, None);
    std::thread::sleep(HEAL);
    let healed = fleet.try_for(Duration::from_secs(2));
    println!("healed: {healed:?}");
    fleet.assert_no_unsafe_request_ran_twice();
    if count < 4 {
        assert_served_as_elsewhere(&judged.of(0..count), &judged.of(count..4), seed);
    }
    assert!(healed.all().share() > 0.95, "seed {seed}: {healed:?}");
}

#[test]
fn gateways_that_lose_all_replicas_silently_serve_as_often_as_the_others() {
    play(1, 2, Cut::Silent);
}

#[test]
fn a_single_gateway_that_keeps_its_replicas_serves_the_callers_of_all_others() {
    play(2, 3, Cut::Silent);
}

#[test]
fn gateways_whose_connections_to_replicas_are_reset_serve_as_often_as_the_others() {
    play(3, 2, Cut::Reset);
}

#[test]
fn gateways_with_open_connections_only_serve_as_often_as_the_others() {
    play(4, 2, Cut::NewReset);
}
