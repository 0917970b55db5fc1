//! Which limit of a replica is in force when answers overtake one another.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::notices::{LimitNotice, ReplicaNotices};
use driftspring_gateway::protocol::RequestRate;
use quickcheck::quickcheck;

/// An answer that reports this limit in requests a second, with the times in milliseconds at which its request
/// was sent and it was received.
fn answer(began: Instant, limit: Option<f64>, sent_ms: u64, heard_ms: u64) -> LimitNotice {
    LimitNotice {
        rate: limit.and_then(RequestRate::from_per_second),
        sent_at: began + Duration::from_millis(sent_ms),
        received_at: began + Duration::from_millis(heard_ms),
    }
}

fn in_force(notices: &ReplicaNotices) -> Option<f64> {
    notices.limit().map(RequestRate::per_second)
}

#[test]
fn an_answer_without_a_limit_ends_it_where_its_request_was_sent_after_the_limit_was_heard() {
    let began = Instant::now();
    let notices = ReplicaNotices::default();
    notices.record_limit(answer(began, Some(2.0), 0, 10));
    assert!(!notices.record_limit(answer(began, None, 5, 20)));
    assert_eq!(in_force(&notices), Some(2.0));
    assert!(notices.record_limit(answer(began, None, 11, 30)));
    assert_eq!(in_force(&notices), None);
}

#[test]
fn a_limit_that_was_heard_before_its_end_does_not_come_back() {
    let began = Instant::now();
    let notices = ReplicaNotices::default();
    notices.record_limit(answer(began, Some(2.0), 0, 10));
    notices.record_limit(answer(began, None, 50, 60));
    // Another gateway reports late what it received before.
    assert!(!notices.record_limit(answer(began, Some(2.0), 20, 40)));
    assert_eq!(in_force(&notices), None);
    // This answer may have been written after the limit had ended.
    assert!(notices.record_limit(answer(began, Some(1.0), 20, 70)));
}

#[test]
fn of_two_limits_whose_order_is_not_known_the_lower_one_holds() {
    let began = Instant::now();
    let notices = ReplicaNotices::default();
    notices.record_limit(answer(began, Some(2.0), 10, 20));
    assert!(!notices.record_limit(answer(began, Some(3.0), 0, 30)));
    assert!(notices.record_limit(answer(began, Some(1.0), 0, 30)));
    assert!(notices.record_limit(answer(began, Some(4.0), 40, 50)));
    assert_eq!(in_force(&notices), Some(4.0));
}

quickcheck! {
    /// The replica changes its limit at some times, and its answers arrive in any order. Once an answer arrives
    /// whose request was sent after all others had arrived, its limit is in force.
    fn the_last_answer_that_nothing_overtook_holds(
        changes: Vec<(u8, Option<u8>)>,
        answers: Vec<(u8, u8, u8)>
    ) -> bool {
        let began = Instant::now();
        let notices = ReplicaNotices::default();
        let limit_at = |ms: u64| {
            let until = changes.iter().filter(|(at, _)| u64::from(*at) <= ms);
            let latest = until.max_by_key(|(at, _)| *at);
            latest.and_then(|(_, limit)| limit.map(f64::from))
        };
        let mut heard: Vec<LimitNotice> = answers
            .iter()
            .map(|(sent, until_written, until_heard)| {
                let sent = u64::from(*sent);
                let written = sent + u64::from(*until_written);
                answer(began, limit_at(written), sent, written + u64::from(*until_heard))
            })
            .collect();
        heard.sort_by_key(|notice| notice.received_at);
        for notice in heard {
            notices.record_limit(notice);
        }
        let last = limit_at(2000);
        notices.record_limit(answer(began, last, 2000, 2001));
        in_force(&notices) == last
    }
}
