//! Which limit of a replica is in force when answers overtake one another.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::notices::{LimitNotice, ReplicaNotices};
use driftspring_gateway::protocol::RequestRate;
use quickcheck::quickcheck;

/// An answer that reports this limit in requests a second, with the times in milliseconds at which its request
/// was sent and it was received.
fn answer(start: Instant, limit: Option<f64>, sent_ms: u64, received_ms: u64) -> LimitNotice {
    LimitNotice {
        rate: limit.and_then(RequestRate::from_per_second),
        sent_at: start + Duration::from_millis(sent_ms),
        received_at: start + Duration::from_millis(received_ms),
    }
}

fn in_force(notices: &ReplicaNotices) -> Option<f64> {
    notices.limit().map(RequestRate::per_second)
}

#[test]
fn an_answer_without_a_limit_ends_it_if_its_request_was_sent_after_the_limit_was_received() {
    let start = Instant::now();
    let notices = ReplicaNotices::default();
    notices.record_limit(answer(start, Some(2.0), 0, 10));
    assert!(!notices.record_limit(answer(start, None, 5, 20)));
    assert_eq!(in_force(&notices), Some(2.0));
    assert!(notices.record_limit(answer(start, None, 11, 30)));
    assert_eq!(in_force(&notices), None);
}

#[test]
fn a_limit_that_was_received_before_its_end_does_not_return() {
    let start = Instant::now();
    let notices = ReplicaNotices::default();
    notices.record_limit(answer(start, Some(2.0), 0, 10));
    notices.record_limit(answer(start, None, 50, 60));
    // Another gateway reports late what it received before.
    assert!(!notices.record_limit(answer(start, Some(2.0), 20, 40)));
    assert_eq!(in_force(&notices), None);
    // This answer may have been written after the limit had ended.
    assert!(notices.record_limit(answer(start, Some(1.0), 20, 70)));
}

#[test]
fn of_two_limits_in_unknown_order_the_lower_one_holds() {
    let start = Instant::now();
    let notices = ReplicaNotices::default();
    notices.record_limit(answer(start, Some(2.0), 10, 20));
    assert!(!notices.record_limit(answer(start, Some(3.0), 0, 30)));
    assert!(notices.record_limit(answer(start, Some(1.0), 0, 30)));
    assert!(notices.record_limit(answer(start, Some(4.0), 40, 50)));
    assert_eq!(in_force(&notices), Some(4.0));
}

quickcheck! {
    /// The replica changes its limit at some times, and its answers arrive in any order. Once an answer arrives
    /// whose request was sent after all others had arrived, its limit is in force.
    fn the_last_answer_that_was_not_overtaken_holds(
        changes: Vec<(u8, Option<u8>)>,
        answers: Vec<(u8, u8, u8)>
    ) -> bool {
        let start = Instant::now();
        let notices = ReplicaNotices::default();
        let limit_at = |ms: u64| {
            let until = changes.iter().filter(|(at, _)| u64::from(*at) <= ms);
            let latest = until.max_by_key(|(at, _)| *at);
            latest.and_then(|(_, limit)| limit.map(f64::from))
        };
        let mut received: Vec<LimitNotice> = answers
            .iter()
            .map(|(sent, write_delay, transit_time)| {
                let sent = u64::from(*sent);
                let written = sent + u64::from(*write_delay);
                answer(start, limit_at(written), sent, written + u64::from(*transit_time))
            })
            .collect();
        received.sort_by_key(|notice| notice.received_at);
        for notice in received {
            notices.record_limit(notice);
        }
        let last = limit_at(2000);
        notices.record_limit(answer(start, last, 2000, 2001));
        in_force(&notices) == last
    }
}
