//! Whether a request is of use at a replica, and when a refused caller should come back.

use std::time::Duration;

use driftspring_gateway::pipeline::{is_in_time, is_worth_sending, late_rank, retry_after};
use quickcheck::quickcheck;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn what_begins_within_its_objective_is_in_time() {
    assert!(is_in_time(ms(500), ms(500)));
    assert!(!is_in_time(ms(501), ms(500)));
    assert!(is_in_time(Duration::ZERO, Duration::ZERO));
}

#[test]
fn late_requests_go_behind_all_ranks_of_routes_and_keep_their_order() {
    let behind: Vec<u8> = (0..=9).map(late_rank).collect();
    assert_eq!(behind, [5, 6, 7, 8, 9, 9, 9, 9, 9, 9]);
}

#[test]
fn what_is_late_is_still_of_use() {
    assert!(is_worth_sending(Duration::ZERO, ms(4000)));
    assert!(is_worth_sending(ms(3100), ms(4000)));
}

#[test]
fn what_its_caller_gives_up_first_is_not() {
    assert!(!is_worth_sending(ms(3200), ms(4000)));
    assert!(!is_worth_sending(ms(60_000), ms(4000)));
    assert!(!is_worth_sending(Duration::ZERO, Duration::ZERO));
}

quickcheck! {
    fn a_longer_line_is_never_of_more_use(wait: u16, more: u16, patience: u16) -> bool {
        let (wait, patience) = (ms(wait.into()), ms(patience.into()));
        is_worth_sending(wait, patience) || !is_worth_sending(wait + ms(more.into()), patience)
    }

    fn callers_are_never_told_more_than_they_obey(wait: u16, patience: u16, left: u16, draw: u64) -> bool {
        let left = ms(left.into());
        retry_after(ms(wait.into()), ms(patience.into()), left, draw) <= left / 3 + ms(1)
    }
}

#[test]
fn callers_return_when_the_line_has_shrunk_to_what_they_wait_for() {
    let (wait, patience, left) = (ms(5000), ms(4000), ms(15_000));
    for draw in 0..100 {
        let returns_after = retry_after(wait, patience, left, draw);
        assert!(returns_after >= wait - patience, "{returns_after:?}");
        assert!(returns_after <= wait, "{returns_after:?}");
    }
}

#[test]
fn callers_refused_together_return_spread_over_a_window() {
    const CALLERS: u64 = 400;
    const PARTS: u32 = 10;
    const MOST_IN_A_PART: usize = 120;
    for left in [ms(15_000), ms(5000)] {
        let returns = (0..CALLERS).map(|draw| retry_after(ms(4500), ms(4000), left, draw));
        let mut returns: Vec<Duration> = returns.collect();
        returns.sort_unstable();
        let (first, last) = (returns[0], returns[returns.len() - 1]);
        assert!(last - first >= ms(1000), "{first:?} to {last:?}");
        let mut counted = 0;
        for part in 1..=PARTS {
            let end = first + (last - first) * part / PARTS;
            let until_end = returns.partition_point(|time| *time <= end);
            let in_part = until_end - counted;
            assert!(in_part < MOST_IN_A_PART, "{in_part} return before {end:?}");
            counted = until_end;
        }
    }
}
