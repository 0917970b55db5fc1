//! Interleavings of claimants, restarts, freezes, lost messages and group changes: no key is ever
//! dispatched twice. Each mechanism taken away is shown to be missed by the same check.

mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use world::{ALL_MECHANISMS, Action, Mechanisms, World};

/// Schedules tried where no second run may be found.
const SAFE_SCHEDULES: u64 = 20_000;

/// Schedules tried at the most until a missing mechanism must have been noticed.
const UNSAFE_SCHEDULES: usize = 20_000;

/// Seed of all schedules.
const SEED: u64 = 2026;

/// Steps in one schedule at the most.
const SCHEDULE_STEPS: usize = 300;

fn dispatches_at_most(schedule: &[Action], mechanisms: Mechanisms) -> usize {
    let mut world = World::new(mechanisms);
    for action in schedule {
        world.step(action);
    }
    world.most_dispatches_of_one_key()
}

fn finds_second_run(mechanisms: Mechanisms) -> bool {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_STEPS, SEED);
    let found = (0..UNSAFE_SCHEDULES).position(|_| {
        let schedule = Vec::<Action>::arbitrary(&mut generator);
        dispatches_at_most(&schedule, mechanisms) > 1
    });
    println!("seed {SEED}: second run in schedule {found:?}");
    found.is_some()
}

#[test]
fn a_key_is_dispatched_at_most_once() {
    fn property(schedule: Vec<Action>) -> bool {
        dispatches_at_most(&schedule, ALL_MECHANISMS) <= 1
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCHEDULE_STEPS, SEED))
        .tests(SAFE_SCHEDULES)
        .quickcheck(property as fn(Vec<Action>) -> bool);
}

#[test]
fn claims_are_dispatched_at_all() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_STEPS, SEED);
    let dispatched = (0..200)
        .map(|_| Vec::<Action>::arbitrary(&mut generator))
        .filter(|schedule| dispatches_at_most(schedule, ALL_MECHANISMS) == 1)
        .count();
    assert!(
        dispatched > 50,
        "only {dispatched} of 200 schedules dispatch"
    );
}

#[test]
fn without_abstaining_the_check_finds_a_second_run() {
    assert!(finds_second_run(Mechanisms {
        abstain: false,
        ..ALL_MECHANISMS
    }));
}

/// Both schedules begin with the group {0, 1, 2} in epoch 1 and end with one key submitted to
/// daemon 0, which knows only epoch 1, and to daemon 3, which knows epoch 2.
fn then_submit_in_both_epochs(mut schedule: Vec<Action>) -> Vec<Action> {
    schedule.extend([
        Action::HearFromStore { daemon: 3 },
        Action::Advance { millis: 390 },
        Action::IssueKey { ahead: 50 },
        Action::Submit { daemon: 0, key: 0 },
        Action::Submit { daemon: 3, key: 0 },
        Action::DeliverAll,
        Action::Dispatch { claimant: 0 },
        Action::Dispatch { claimant: 0 },
    ]);
    schedule
}

#[test]
fn a_herd_restart_after_a_seal_revives_no_epoch() {
    let schedule = then_submit_in_both_epochs(vec![
        Action::BeginSeal,
        Action::DeliverAll,
        Action::ConfirmSeal { sealer: 0 },
        Action::DeliverAll,
        Action::ConfirmSeal { sealer: 0 },
        Action::Restart {
            daemon: 0,
            offset: 0,
        },
        Action::Restart {
            daemon: 1,
            offset: 0,
        },
        Action::HearFromPeer { daemon: 0, peer: 2 },
        Action::HearFromPeer { daemon: 1, peer: 2 },
        Action::AskToRecover { daemon: 0 },
        Action::AskToRecover { daemon: 1 },
        Action::DeliverAll,
        Action::WriteGroup {
            sealer: 0,
            members: 0,
        },
        Action::HearFromStore { daemon: 2 },
    ]);
    let lives_not_distinct = Mechanisms {
        distinct_lives: false,
        ..ALL_MECHANISMS
    };
    assert_eq!(dispatches_at_most(&schedule, lives_not_distinct), 2);
    assert_eq!(dispatches_at_most(&schedule, ALL_MECHANISMS), 1);
}

#[test]
fn a_holder_that_returns_during_a_seal_is_not_counted_as_sealed() {
    let mut schedule = vec![Action::BeginSeal, Action::Deliver { message: 0 }];
    schedule.extend([
        Action::Deliver { message: 2 },
        Action::Restart {
            daemon: 0,
            offset: 0,
        },
        Action::HearFromPeer { daemon: 0, peer: 2 },
        Action::AskToRecover { daemon: 0 },
    ]);
    // Questions and answers of the recovery, while the seals of 1 and 2 are still under way.
    schedule.extend(vec![Action::Deliver { message: 2 }; 6]);
    schedule.extend([
        Action::Deliver { message: 0 },
        Action::Lose { message: 0 },
        Action::DeliverAll,
        Action::ConfirmSeal { sealer: 0 },
        // Of the second seals, only the one of holder 1 arrives.
        Action::Lose { message: 0 },
        Action::Lose { message: 0 },
        Action::DeliverAll,
        Action::ConfirmSeal { sealer: 0 },
        Action::WriteGroup {
            sealer: 0,
            members: 0,
        },
        Action::HearFromStore { daemon: 1 },
    ]);
    let schedule = then_submit_in_both_epochs(schedule);
    let seal_not_confirmed = Mechanisms {
        confirm_seal: false,
        ..ALL_MECHANISMS
    };
    assert_eq!(dispatches_at_most(&schedule, seal_not_confirmed), 2);
    assert_eq!(dispatches_at_most(&schedule, ALL_MECHANISMS), 1);
}
