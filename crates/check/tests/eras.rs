//! Histories in which the store comes back from a copy: what it may lose, and what breaks a promise all the same.

mod common;

use common::{Script, position};
use driftspring_check::Promise;
use driftspring_history::{ConfigOperation, ConfigResult, ConfigWriter, StorePosition};
use quickcheck::quickcheck;

/// After this time everything that is due has been judged.
const END_MS: u64 = 40_000;

fn write_at(expected: StorePosition, value: &str) -> ConfigOperation {
    ConfigOperation::Write {
        expected: Some(expected),
        value: Some(value.to_owned()),
    }
}

fn write(value: &str) -> ConfigOperation {
    ConfigOperation::Write {
        expected: None,
        value: Some(value.to_owned()),
    }
}

fn accepted(era: u64, revision: u64) -> ConfigResult {
    ConfigResult::Accepted {
        position: position(era, revision),
    }
}

fn found(era: u64, revision: u64, value: &str) -> ConfigResult {
    ConfigResult::Found {
        position: position(era, revision),
        value: Some(value.to_owned()),
    }
}

/// In era 1 "kept" is written at revision 1 and "lost" at revision 2 by `writer`; era 2 begins with a copy up to revision 1.
fn drill(writer: ConfigWriter) -> Script {
    Script::default()
        .propose_by(writer, 0, 1, write("kept"))
        .settle(1, 1, accepted(1, 1))
        .propose_by(writer, 2, 2, write("lost"))
        .settle(3, 2, accepted(1, 2))
        .store_returns(4, 2, position(1, 1))
}

fn read_after_drill(result: ConfigResult) -> Script {
    drill(ConfigWriter::System)
        .propose(5, 3, ConfigOperation::Read)
        .settle(6, 3, result)
}

#[test]
fn a_read_after_a_drill_sees_what_the_copy_holds() {
    read_after_drill(found(2, 1, "kept")).assert_kept(Promise::Configuration);
    read_after_drill(found(2, 2, "lost")).assert_broken(Promise::Configuration, 6);
    read_after_drill(found(2, 1, "lost")).assert_broken(Promise::Configuration, 6);
    read_after_drill(found(2, 0, "kept")).assert_broken(Promise::Configuration, 6);
}

#[test]
fn without_a_drill_an_older_value_is_a_broken_promise() {
    Script::default()
        .propose(0, 1, write("kept"))
        .settle(1, 1, accepted(1, 1))
        .propose(2, 2, write("newer"))
        .settle(3, 2, accepted(1, 2))
        .propose(5, 3, ConfigOperation::Read)
        .settle(6, 3, found(1, 1, "kept"))
        .assert_broken(Promise::Configuration, 5);
}

#[test]
fn a_write_whose_answer_was_lost_may_be_in_the_copy_or_not() {
    let read = |result| {
        Script::default()
            .propose(0, 1, write("kept"))
            .settle(1, 1, accepted(1, 1))
            .propose(2, 2, write("late"))
            .settle(3, 2, ConfigResult::Unknown)
            .store_returns(4, 2, position(1, 7))
            .propose(5, 3, ConfigOperation::Read)
            .settle(6, 3, result)
    };
    read(found(2, 1, "kept")).assert_kept(Promise::Configuration);
    read(found(2, 5, "late")).assert_kept(Promise::Configuration);
    read(found(2, 5, "never written")).assert_broken(Promise::Configuration, 6);
}

#[test]
fn a_condition_of_an_older_era_is_not_met_by_the_same_revision_of_another_change() {
    let written_by = |expected| {
        drill(ConfigWriter::System)
            .propose(5, 3, write("other"))
            .settle(6, 3, accepted(2, 2))
            .propose(7, 4, write_at(expected, "next"))
            .settle(8, 4, accepted(2, 3))
    };
    written_by(position(2, 2)).assert_kept(Promise::Configuration);
    written_by(position(1, 2)).assert_broken(Promise::Configuration, 8);
}

#[test]
fn a_condition_of_an_older_era_is_met_where_the_copy_holds_that_change() {
    drill(ConfigWriter::System)
        .propose(5, 3, write_at(position(1, 1), "next"))
        .settle(6, 3, accepted(2, 2))
        .assert_kept(Promise::Configuration);
}

#[test]
fn an_answer_of_an_earlier_era_after_one_of_a_later_era_is_a_broken_promise() {
    read_after_drill(found(2, 1, "kept"))
        .propose(7, 4, ConfigOperation::Read)
        .settle(8, 4, found(1, 2, "lost"))
        .assert_broken(Promise::Configuration, 8);
    // One that was under way when the later one answered may be from the copy before.
    drill(ConfigWriter::System)
        .propose(5, 4, ConfigOperation::Read)
        .propose(5, 3, ConfigOperation::Read)
        .settle(6, 3, found(2, 1, "kept"))
        .settle(7, 4, found(1, 2, "lost"))
        .assert_kept(Promise::Configuration);
}

#[test]
fn a_position_of_a_later_era_is_later_whatever_its_revision() {
    let observed = |before, after| {
        Script::default()
            .observe_version(0, before, None)
            .observe_version(1, after, None)
    };
    observed(position(1, 7), position(2, 3)).assert_kept(Promise::Configuration);
    observed(position(2, 3), position(1, 7)).assert_broken(Promise::Configuration, 1);
    observed(position(2, 3), position(2, 2)).assert_broken(Promise::Configuration, 1);
}

#[test]
fn a_version_never_falls_within_a_life_whatever_the_store_has_lost() {
    let observed = |after| {
        drill(ConfigWriter::Operator)
            .observe_version(5, position(1, 2), Some(8))
            .observe_version(6, position(2, 1), Some(after))
    };
    observed(8).assert_kept(Promise::Configuration);
    observed(9).assert_kept(Promise::Configuration);
    observed(7).assert_broken(Promise::Configuration, 6);
}

#[test]
fn a_lower_version_is_seen_though_another_one_lay_between() {
    drill(ConfigWriter::Operator)
        .observe_version(5, position(1, 2), Some(8))
        .observe_version(6, position(2, 1), None)
        .observe_version(7, position(2, 2), Some(7))
        .assert_broken(Promise::Configuration, 7);
}

#[test]
fn a_lower_token_is_a_broken_promise_in_a_new_era_too() {
    let orders = |after| {
        Script::default()
            .order(0, 40, true)
            .store_returns(1, 2, position(1, 1))
            .order(2, after, true)
    };
    orders(41).assert_kept(Promise::Fencing);
    orders(40).assert_kept(Promise::Fencing);
    orders(12).assert_broken(Promise::Fencing, 2);
}

#[test]
fn what_the_system_wrote_may_be_lost() {
    drill(ConfigWriter::System)
        .start_daemon(5, 1)
        .observe_version(6, position(2, 1), None)
        .leave(END_MS)
        .assert_kept(Promise::Configuration);
}

#[test]
fn what_the_operator_or_a_replica_wrote_has_to_be_there_again_in_time() {
    for writer in [ConfigWriter::Operator, ConfigWriter::Replica] {
        let lost = || drill(writer);
        lost()
            .leave(END_MS)
            .assert_broken(Promise::Configuration, 4);
        let again = |at_ms| {
            lost()
                .propose_by(writer, at_ms, 3, write("lost"))
                .settle(at_ms + 1, 3, accepted(2, 2))
                .leave(END_MS)
        };
        again(5_000).assert_kept(Promise::Configuration);
        again(15_000).assert_broken(Promise::Configuration, 4);
    }
}

#[test]
fn what_is_lost_again_before_it_was_written_again_has_new_time() {
    let again = |at_ms| {
        drill(ConfigWriter::Operator)
            .store_returns(9_000, 3, position(1, 1))
            .propose(at_ms, 3, write("lost"))
            .settle(at_ms + 1, 3, accepted(3, 2))
            .leave(END_MS)
    };
    again(15_000).assert_kept(Promise::Configuration);
    again(20_000).assert_broken(Promise::Configuration, 4);
}

#[test]
fn an_accepted_write_has_to_be_in_force_in_time_as_long_as_the_store_has_it() {
    let scene = |returned_ms, observed| {
        Script::default()
            .start_daemon(0, 1)
            .propose_by(ConfigWriter::System, 1, 1, write("of the system"))
            .settle(2, 1, accepted(1, 2))
            .store_returns(returned_ms, 2, position(1, 1))
            .observe_version(returned_ms + 1, observed, None)
            .leave(END_MS)
    };
    scene(5_000, position(2, 1)).assert_kept(Promise::Configuration);
    scene(15_000, position(2, 1)).assert_broken(Promise::Configuration, 2);
}

#[test]
fn a_kept_write_has_to_be_in_force_through_a_drill() {
    let scene = |observed| {
        Script::default()
            .start_daemon(0, 1)
            .propose(1, 1, write("kept"))
            .settle(2, 1, accepted(1, 2))
            .store_returns(3, 2, position(1, 4))
            .observe_version(4, observed, None)
            .leave(END_MS)
    };
    scene(position(2, 2)).assert_kept(Promise::Configuration);
    scene(position(2, 1)).assert_broken(Promise::Configuration, 2);
}

#[test]
fn a_copy_may_be_older_than_the_return_before() {
    let read = |result| {
        read_after_drill(found(2, 1, "kept"))
            .propose(7, 4, write("of era 2"))
            .settle(8, 4, accepted(2, 2))
            .store_returns(9, 3, position(1, 2))
            .propose(10, 5, ConfigOperation::Read)
            .settle(11, 5, result)
    };
    read(found(3, 2, "lost")).assert_kept(Promise::Configuration);
    read(found(3, 2, "of era 2")).assert_broken(Promise::Configuration, 11);
}

/// One true history: writes, some unanswered, and drills, each followed by a read of what is there.
fn true_history(steps: &[(bool, u8)]) -> Script {
    let mut script = Script::default();
    let mut contents: Vec<(u64, String)> = Vec::new();
    let mut era = 1;
    for (number, (is_drill, draw)) in steps.iter().enumerate() {
        let at_ms = 10 * number as u64;
        let last = contents.last().map_or(0, |(revision, _)| *revision);
        let operation = 2 * number as u128;
        if *is_drill {
            contents.truncate(usize::from(*draw) % (contents.len() + 1));
            let copied = contents.last().map_or(0, |(revision, _)| *revision);
            script = script.store_returns(at_ms, era + 1, position(era, copied));
            era += 1;
        } else {
            let text = number.to_string();
            let result = match draw % 3 {
                0 => ConfigResult::Unknown,
                _ => accepted(era, last + 1),
            };
            script = script
                .propose(at_ms, operation, write_at(position(era, last), &text))
                .settle(at_ms + 1, operation, result);
            contents.push((last + 1, text));
        }
        if let Some((revision, text)) = contents.last() {
            script = script
                .propose(at_ms + 2, operation + 1, ConfigOperation::Read)
                .settle(at_ms + 3, operation + 1, found(era, *revision, text));
        }
    }
    script
}

quickcheck! {
    fn a_true_history_with_drills_is_always_accepted(steps: Vec<(bool, u8)>) -> bool {
        let steps: Vec<(bool, u8)> = steps.into_iter().take(12).collect();
        true_history(&steps).check(Promise::Configuration).is_ok()
    }

    fn a_read_of_what_a_drill_has_lost_is_never_accepted(steps: Vec<(bool, u8)>) -> bool {
        let steps: Vec<(bool, u8)> = steps.into_iter().take(8).collect();
        let script = true_history(&steps)
            .propose(200, 1000, write("lost"))
            .settle(201, 1000, accepted(100, 1000))
            .store_returns(202, 101, position(100, 999))
            .propose(203, 1001, ConfigOperation::Read)
            .settle(204, 1001, found(101, 1000, "lost"));
        script.check(Promise::Configuration).is_err()
    }
}
