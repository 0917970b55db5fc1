//! Admission: whether a request is worth sending to a replica, and when a refused caller should retry.

use std::time::Duration;

use driftspring_decisions::admission::{is_in_time, is_worth_sending, late_rank};
use driftspring_decisions::retry_after::retry_after;
use quickcheck::quickcheck;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_request_that_begins_within_its_objective_is_in_time() {
    assert!(is_in_time(ms(500), ms(500)));
    assert!(!is_in_time(ms(501), ms(500)));
    assert!(is_in_time(Duration::ZERO, Duration::ZERO));
}

#[test]
fn late_ranks_follow_all_ranks_of_routes_and_keep_their_order() {
    let behind: Vec<u8> = (0..=9).map(late_rank).collect();
    assert_eq!(behind, [5, 6, 7, 8, 9, 9, 9, 9, 9, 9]);
}

#[test]
fn a_late_request_is_worth_sending() {
    assert!(is_worth_sending(Duration::ZERO, ms(4000)));
    assert!(is_worth_sending(ms(3100), ms(4000)));
}

#[test]
fn a_request_that_its_caller_gives_up_first_is_not_worth_sending() {
    assert!(!is_worth_sending(ms(3200), ms(4000)));
    assert!(!is_worth_sending(ms(60_000), ms(4000)));
    assert!(!is_worth_sending(Duration::ZERO, Duration::ZERO));
}

quickcheck! {
    fn a_longer_wait_is_never_worth_more(wait: u16, more: u16, timeout: u16) -> bool {
        let (wait, timeout) = (ms(wait.into()), ms(timeout.into()));
        is_worth_sending(wait, timeout) || !is_worth_sending(wait + ms(more.into()), timeout)
    }

    fn retry_after_never_exceeds_what_callers_obey(wait: u16, acceptable: u16, left: u16, draw: u64) -> bool {
        let left = ms(left.into());
        retry_after(ms(wait.into()), ms(acceptable.into()), left, draw) <= left / 3 + ms(1)
    }
}

#[test]
fn callers_retry_when_the_queue_has_shrunk_to_an_acceptable_wait() {
    let (wait, acceptable, left) = (ms(5000), ms(4000), ms(15_000));
    for draw in 0..100 {
        let delay = retry_after(wait, acceptable, left, draw);
        assert!(delay >= wait - acceptable, "{delay:?}");
        assert!(delay <= wait, "{delay:?}");
    }
}

#[test]
fn callers_refused_together_retry_spread_over_a_window() {
    const CALLERS: u64 = 400;
    const PARTS: u32 = 10;
    const MAX_PER_PART: usize = 120;
    for left in [ms(15_000), ms(5000)] {
        let retries = (0..CALLERS).map(|draw| retry_after(ms(4500), ms(4000), left, draw));
        let mut retries: Vec<Duration> = retries.collect();
        retries.sort_unstable();
        let (first, last) = (retries[0], retries[retries.len() - 1]);
        assert!(last - first >= ms(1000), "{first:?} to {last:?}");
        let mut counted = 0;
        for part in 1..=PARTS {
            let end = first + (last - first) * part / PARTS;
            let until_end = retries.partition_point(|time| *time <= end);
            let in_part = until_end - counted;
            assert!(in_part < MAX_PER_PART, "{in_part} retries before {end:?}");
            counted = until_end;
        }
    }
}
