//! The estimate of how long a request is queued at a replica before it starts.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::replicas::{QueueWaitEstimator, QueuedRequest};
use quickcheck::quickcheck;

const URGENT: u8 = 0;
const USUAL: u8 = 1;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn nothing_is_expected_where_nothing_was_seen() {
    let waits = QueueWaitEstimator::default();
    assert_eq!(waits.expected_wait(USUAL, Instant::now()), Duration::ZERO);
}

#[test]
fn equal_waits_are_expected_again() {
    let (waits, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| waits.record_wait(USUAL, ms(2000), now));
    let expected = waits.expected_wait(USUAL, now);
    assert!(expected >= ms(1990) && expected < ms(2200), "{expected:?}");
}

#[test]
fn the_typical_wait_lies_in_the_middle_and_the_expected_one_above_nearly_all() {
    let (waits, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..60).for_each(|number| waits.record_wait(USUAL, ms(500 + 1000 * (number % 2)), now));
    let typical = waits.typical_wait(USUAL, now);
    assert!(typical > ms(800) && typical < ms(1200), "{typical:?}");
    let expected = waits.expected_wait(USUAL, now);
    assert!(expected > ms(1500), "{expected:?}");
}

#[test]
fn those_that_still_wait_count_for_the_typical_wait_too() {
    let (waits, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    let _held: Vec<QueuedRequest> = (0..2)
        .map(|_| QueuedRequest::begin(&waits, USUAL, now))
        .collect();
    assert_eq!(waits.typical_wait(USUAL, now + ms(3000)), ms(3000));
}

#[test]
fn one_sample_alone_is_not_believed() {
    let (waits, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..20).for_each(|_| waits.record_wait(USUAL, ms(50), now));
    waits.record_wait(USUAL, ms(2000), now);
    let expected = waits.expected_wait(USUAL, now);
    assert!(expected < ms(1700), "{expected:?}");
    let waits = QueueWaitEstimator::default();
    waits.record_wait(USUAL, ms(2000), now);
    assert!(waits.expected_wait(USUAL, now) < ms(2000));
}

#[test]
fn what_was_learnt_fades_while_nothing_is_sent() {
    let (waits, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| waits.record_wait(USUAL, ms(2000), now));
    assert!(waits.expected_wait(USUAL, now + ms(3000)) < ms(1200));
    assert!(waits.expected_wait(USUAL, now + ms(30_000)) < ms(10));
}

#[test]
fn a_short_wait_after_a_long_silence_does_not_bring_back_what_had_faded() {
    let (waits, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| waits.record_wait(USUAL, ms(2000), now));
    let later = now + ms(60_000);
    waits.record_wait(USUAL, ms(10), later);
    let expected = waits.expected_wait(USUAL, later);
    assert!(expected < ms(100), "{expected:?}");
}

#[test]
fn waits_that_are_seen_each_second_are_expected() {
    let (waits, start) = (QueueWaitEstimator::default(), Instant::now());
    (0..20).for_each(|second| waits.record_wait(USUAL, ms(2000), start + ms(1000 * second)));
    let expected = waits.expected_wait(USUAL, start + ms(20_000));
    assert!(expected > ms(1500) && expected < ms(3500), "{expected:?}");
}

#[test]
fn requests_that_still_wait_count_also_where_the_replica_is_silent() {
    let (waits, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    let first = QueuedRequest::begin(&waits, USUAL, now);
    assert_eq!(
        waits.expected_wait(USUAL, now + ms(3000)),
        Duration::ZERO,
        "one may be lost"
    );
    let second = QueuedRequest::begin(&waits, USUAL, now + ms(100));
    assert_eq!(waits.expected_wait(USUAL, now + ms(3000)), ms(2900));
    first.abandon(now);
    second.abandon(now);
    assert_eq!(waits.expected_wait(USUAL, now + ms(3000)), Duration::ZERO);
}

#[test]
fn urgent_requests_say_what_others_wait_at_least_and_not_the_other_way_round() {
    let (waits, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| waits.record_wait(USUAL, ms(2000), now));
    assert_eq!(waits.expected_wait(URGENT, now), Duration::ZERO);
    let waits = QueueWaitEstimator::default();
    (0..40).for_each(|_| waits.record_wait(URGENT, ms(2000), now));
    assert!(waits.expected_wait(USUAL, now) >= ms(1990));
}

#[test]
fn a_request_that_was_given_up_tells_that_the_wait_is_longer() {
    let (waits, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    for number in 0..20 {
        let at = now + ms(number);
        QueuedRequest::begin(&waits, USUAL, at).abandon(at + ms(1500));
    }
    assert!(waits.expected_wait(USUAL, now + ms(1600)) > ms(1000));
    let learnt = waits.expected_wait(USUAL, now + ms(1600));
    QueuedRequest::begin(&waits, USUAL, now + ms(1600)).abandon(now + ms(1601));
    assert_eq!(
        waits.expected_wait(USUAL, now + ms(1600)),
        learnt,
        "one that left at once tells nothing"
    );
}

#[test]
fn a_request_that_has_begun_tells_wait_and_estimate() {
    let (waits, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    let begun = QueuedRequest::begin(&waits, USUAL, now).record_start(now + ms(80));
    assert_eq!((begun.wait, begun.expected), (ms(80), Duration::ZERO));
    assert!(waits.expected_wait(USUAL, now + ms(80)) > Duration::ZERO);
}

quickcheck! {
    fn the_estimate_is_never_beyond_thrice_the_longest_wait(waits_ms: Vec<u16>) -> bool {
        let (waits, now) = (QueueWaitEstimator::default(), Instant::now());
        waits_ms.iter().for_each(|wait| waits.record_wait(USUAL, ms(u64::from(*wait)), now));
        let longest = waits_ms.iter().max().copied().unwrap_or_default();
        waits.expected_wait(USUAL, now) <= ms(3 * u64::from(longest) + 1)
    }
}
