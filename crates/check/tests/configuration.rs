//! The check of configuration: linearizable, never back, in force in time.

mod common;

use common::Script;
use driftspring_check::Promise;
use driftspring_history::{ConfigOperation, ConfigResult, StorePosition};
use driftspring_types::Revision;
use quickcheck::quickcheck;

fn write(expected: u64, value: &str) -> ConfigOperation {
    ConfigOperation::Write {
        expected: Some(StorePosition::unnamed(Revision(expected))),
        value: Some(value.to_owned()),
    }
}

fn accepted(revision: u64) -> ConfigResult {
    ConfigResult::Accepted {
        position: StorePosition::unnamed(Revision(revision)),
    }
}

fn found(revision: u64, value: &str) -> ConfigResult {
    ConfigResult::Found {
        position: StorePosition::unnamed(Revision(revision)),
        value: Some(value.to_owned()),
    }
}

/// A write of "old" at revision 1, accepted.
fn first_write() -> Script {
    Script::default()
        .propose(0, 1, write(0, "old"))
        .settle(1, 1, accepted(1))
}

#[test]
fn of_two_racing_writes_that_expect_one_revision_only_one_is_accepted() {
    let race = |second| {
        first_write()
            .propose(2, 2, write(1, "left"))
            .propose(3, 3, write(1, "right"))
            .settle(4, 2, accepted(2))
            .settle(5, 3, second)
    };
    race(accepted(3)).assert_broken(Promise::Configuration, 5);
    race(ConfigResult::Refused).assert_kept(Promise::Configuration);
}

#[test]
fn a_read_after_an_accepted_write_must_see_it() {
    let read = |result| {
        first_write()
            .propose(2, 2, write(1, "new"))
            .settle(3, 2, accepted(2))
            .propose(4, 3, ConfigOperation::Read)
            .settle(5, 3, result)
    };
    read(found(1, "old")).assert_broken(Promise::Configuration, 5);
    read(found(2, "new")).assert_kept(Promise::Configuration);
}

#[test]
fn a_write_whose_answer_was_lost_may_take_effect_later_or_never_but_not_come_and_go() {
    let lost = || {
        first_write()
            .propose(2, 2, write(1, "new"))
            .settle(3, 2, ConfigResult::Unknown)
            .propose(4, 3, ConfigOperation::Read)
            .settle(5, 3, found(1, "old"))
    };
    lost().assert_kept(Promise::Configuration);
    let taken_effect = || {
        lost()
            .propose(6, 4, ConfigOperation::Read)
            .settle(7, 4, found(2, "new"))
    };
    taken_effect().assert_kept(Promise::Configuration);
    taken_effect()
        .propose(8, 5, ConfigOperation::Read)
        .settle(9, 5, found(1, "old"))
        .assert_broken(Promise::Configuration, 9);
}

#[test]
fn a_refused_write_never_takes_effect() {
    first_write()
        .propose(2, 2, write(1, "new"))
        .settle(3, 2, ConfigResult::Refused)
        .propose(4, 3, ConfigOperation::Read)
        .settle(5, 3, found(2, "new"))
        .assert_broken(Promise::Configuration, 5);
}

#[test]
fn a_daemon_never_goes_back_to_a_lower_revision() {
    first_write()
        .observe(2, 2)
        .observe(3, 1)
        .assert_broken(Promise::Configuration, 3);
    first_write()
        .observe(2, 1)
        .observe(3, 2)
        .assert_kept(Promise::Configuration);
}

#[test]
fn an_accepted_write_must_be_in_force_in_time() {
    let observed_at = |at_ms| {
        Script::default()
            .start_daemon(0, 1)
            .propose(1, 1, write(0, "old"))
            .settle(2, 1, accepted(1))
            .observe(at_ms, 1)
            .leave(30_000)
    };
    observed_at(9_000).assert_kept(Promise::Configuration);
    observed_at(11_000).assert_broken(Promise::Configuration, 2);
    Script::default()
        .start_daemon(0, 1)
        .propose(1, 1, write(0, "old"))
        .settle(2, 1, accepted(1))
        .kill_daemon(3)
        .leave(30_000)
        .assert_kept(Promise::Configuration);
}

quickcheck! {
    fn a_sequence_of_true_answers_is_always_accepted(writes: Vec<bool>) -> bool {
        let mut script = Script::default();
        let mut revision = 0;
        for (number, answered) in writes.into_iter().take(12).enumerate() {
            let at_ms = 10 * number as u64;
            let text = number.to_string();
            script = script.propose(at_ms, 2 * number as u128, write(revision, &text));
            let result = if answered { accepted(revision + 1) } else { ConfigResult::Unknown };
            script = script.settle(at_ms + 1, 2 * number as u128, result);
            revision += 1;
            script = script.propose(at_ms + 2, 2 * number as u128 + 1, ConfigOperation::Read);
            script = script.settle(at_ms + 3, 2 * number as u128 + 1, found(revision, &text));
        }
        script.check(Promise::Configuration).is_ok()
    }
}
