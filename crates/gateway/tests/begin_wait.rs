//! The estimate of how long a request is queued at a replica before it starts.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::replicas::{QueueWaitEstimator, QueuedRequest};
use quickcheck::quickcheck;

const URGENT: u8 = 0;
const NORMAL: u8 = 1;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn no_wait_is_expected_without_samples() {
    let estimator = QueueWaitEstimator::default();
    assert_eq!(
        estimator.expected_wait(NORMAL, Instant::now()),
        Duration::ZERO
    );
}

#[test]
fn equal_waits_are_expected() {
    let (estimator, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| estimator.record_wait(NORMAL, ms(2000), now));
    let expected = estimator.expected_wait(NORMAL, now);
    assert!(expected >= ms(1990) && expected < ms(2200), "{expected:?}");
}

#[test]
fn the_typical_wait_is_the_middle_and_the_expected_wait_exceeds_nearly_all() {
    let (estimator, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..60).for_each(|number| estimator.record_wait(NORMAL, ms(500 + 1000 * (number % 2)), now));
    let typical = estimator.typical_wait(NORMAL, now);
    assert!(typical > ms(800) && typical < ms(1200), "{typical:?}");
    let expected = estimator.expected_wait(NORMAL, now);
    assert!(expected > ms(1500), "{expected:?}");
}

#[test]
fn queued_requests_count_for_the_typical_wait() {
    let (estimator, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    let _held: Vec<QueuedRequest> = (0..2)
        .map(|_| QueuedRequest::begin(&estimator, NORMAL, now))
        .collect();
    assert_eq!(estimator.typical_wait(NORMAL, now + ms(3000)), ms(3000));
}

#[test]
fn a_single_sample_moves_the_estimate_only_in_part() {
    let (estimator, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..20).for_each(|_| estimator.record_wait(NORMAL, ms(50), now));
    estimator.record_wait(NORMAL, ms(2000), now);
    let expected = estimator.expected_wait(NORMAL, now);
    assert!(expected < ms(1700), "{expected:?}");
    let estimator = QueueWaitEstimator::default();
    estimator.record_wait(NORMAL, ms(2000), now);
    assert!(estimator.expected_wait(NORMAL, now) < ms(2000));
}

#[test]
fn samples_decay_while_nothing_is_sent() {
    let (estimator, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| estimator.record_wait(NORMAL, ms(2000), now));
    assert!(estimator.expected_wait(NORMAL, now + ms(3000)) < ms(1200));
    assert!(estimator.expected_wait(NORMAL, now + ms(30_000)) < ms(10));
}

#[test]
fn a_short_wait_after_a_long_idle_time_does_not_restore_decayed_samples() {
    let (estimator, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| estimator.record_wait(NORMAL, ms(2000), now));
    let later = now + ms(60_000);
    estimator.record_wait(NORMAL, ms(10), later);
    let expected = estimator.expected_wait(NORMAL, later);
    assert!(expected < ms(100), "{expected:?}");
}

#[test]
fn waits_sampled_each_second_are_expected() {
    let (estimator, start) = (QueueWaitEstimator::default(), Instant::now());
    (0..20).for_each(|second| estimator.record_wait(NORMAL, ms(2000), start + ms(1000 * second)));
    let expected = estimator.expected_wait(NORMAL, start + ms(20_000));
    assert!(expected > ms(1500) && expected < ms(3500), "{expected:?}");
}

#[test]
fn queued_requests_count_while_the_replica_does_not_answer() {
    let (estimator, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    let first = QueuedRequest::begin(&estimator, NORMAL, now);
    assert_eq!(
        estimator.expected_wait(NORMAL, now + ms(3000)),
        Duration::ZERO,
        "a single one may be lost"
    );
    let second = QueuedRequest::begin(&estimator, NORMAL, now + ms(100));
    assert_eq!(estimator.expected_wait(NORMAL, now + ms(3000)), ms(2900));
    first.abandon(now);
    second.abandon(now);
    assert_eq!(
        estimator.expected_wait(NORMAL, now + ms(3000)),
        Duration::ZERO
    );
}

#[test]
fn urgent_requests_bound_the_wait_of_others_but_not_vice_versa() {
    let (estimator, now) = (QueueWaitEstimator::default(), Instant::now());
    (0..40).for_each(|_| estimator.record_wait(NORMAL, ms(2000), now));
    assert_eq!(estimator.expected_wait(URGENT, now), Duration::ZERO);
    let estimator = QueueWaitEstimator::default();
    (0..40).for_each(|_| estimator.record_wait(URGENT, ms(2000), now));
    assert!(estimator.expected_wait(NORMAL, now) >= ms(1990));
}

#[test]
fn an_abandoned_request_raises_the_estimate() {
    let (estimator, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    for number in 0..20 {
        let at = now + ms(number);
        QueuedRequest::begin(&estimator, NORMAL, at).abandon(at + ms(1500));
    }
    assert!(estimator.expected_wait(NORMAL, now + ms(1600)) > ms(1000));
    let estimate = estimator.expected_wait(NORMAL, now + ms(1600));
    QueuedRequest::begin(&estimator, NORMAL, now + ms(1600)).abandon(now + ms(1601));
    assert_eq!(
        estimator.expected_wait(NORMAL, now + ms(1600)),
        estimate,
        "a request that is abandoned at once is no sample"
    );
}

#[test]
fn a_started_request_reports_its_wait_and_the_estimate() {
    let (estimator, now) = (Rc::new(QueueWaitEstimator::default()), Instant::now());
    let measured = QueuedRequest::begin(&estimator, NORMAL, now).record_start(now + ms(80));
    assert_eq!((measured.wait, measured.expected), (ms(80), Duration::ZERO));
    assert!(estimator.expected_wait(NORMAL, now + ms(80)) > Duration::ZERO);
}

quickcheck! {
    fn the_estimate_is_at_most_three_times_the_longest_wait(waits_ms: Vec<u16>) -> bool {
        let (estimator, now) = (QueueWaitEstimator::default(), Instant::now());
        waits_ms.iter().for_each(|wait| estimator.record_wait(NORMAL, ms(u64::from(*wait)), now));
        let longest = waits_ms.iter().max().copied().unwrap_or_default();
        estimator.expected_wait(NORMAL, now) <= ms(3 * u64::from(longest) + 1)
    }
}
