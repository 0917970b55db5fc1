//! What a gateway measures while its process stands still.

use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use driftspring_clock::{Instant, simulate_suspension};
use driftspring_gateway::replicas::{QueueWaitEstimator, QueuedRequest};
use driftspring_gateway::standstill;

const STANDSTILL: Duration = Duration::from_secs(4);
const URGENCY: u8 = 1;

/// How long after a standstill incoming data may have been waiting.
const WAKE_WINDOW: Duration = Duration::from_millis(250);

/// Longer than any wait in these tests without the standstill.
const MAX_SHORT_WAIT: Duration = Duration::from_millis(200);

/// A suspension moves the clock of the whole process, so the tests run one at a time.
static CLOCK_LOCK: Mutex<()> = Mutex::new(());

fn lock_clock() -> MutexGuard<'static, ()> {
    CLOCK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn a_gap_between_two_ticks_is_a_standstill() {
    let _guard = lock_clock();
    standstill::tick();
    let before = standstill::total();
    assert_eq!(standstill::tick(), None);
    simulate_suspension(STANDSTILL);
    let after = standstill::total();
    assert!(after - before >= STANDSTILL, "{before:?}, then {after:?}");
    assert_eq!(standstill::tick(), None, "it is counted once");
    assert_eq!(standstill::total(), after);
    assert!(standstill::has_just_woken());
    simulate_suspension(WAKE_WINDOW / 2);
    assert!(standstill::has_just_woken());
    standstill::tick();
    simulate_suspension(WAKE_WINDOW / 2);
    assert!(!standstill::has_just_woken());
}

#[test]
fn a_standstill_of_the_gateway_does_not_count_as_a_wait_at_a_replica() {
    // The answers of requests in flight during a standstill of the gateway waited in its sockets. When it
    // resumed, each reported a wait of the whole standstill, so all replicas seemed to have queues of
    // seconds: their weights went out of use early, and requests were refused.
    let _guard = lock_clock();
    standstill::tick();
    let waits = Rc::new(QueueWaitEstimator::default());
    let begin = || QueuedRequest::begin(&waits, URGENCY, Instant::now());
    let [started, abandoned, dropped] = std::array::from_fn(|_| begin());
    simulate_suspension(STANDSTILL);
    started.record_start(Instant::now());
    abandoned.abandon(Instant::now());
    drop(dropped);
    let expected = waits.expected_wait(URGENCY, Instant::now());
    assert!(expected < MAX_SHORT_WAIT, "{expected:?} is expected");
}

#[test]
fn a_wait_without_a_standstill_is_learned() {
    let _guard = lock_clock();
    standstill::tick();
    simulate_suspension(STANDSTILL);
    let waits = Rc::new(QueueWaitEstimator::default());
    let now = Instant::now();
    let waiting = QueuedRequest::begin(&waits, URGENCY, now);
    waiting.record_start(now + STANDSTILL);
    let expected = waits.expected_wait(URGENCY, now + STANDSTILL);
    assert!(expected > MAX_SHORT_WAIT, "{expected:?} is expected");
}

#[test]
fn a_wait_across_a_standstill_is_learned_without_the_standstill() {
    let _guard = lock_clock();
    standstill::tick();
    let waits = Rc::new(QueueWaitEstimator::default());
    let now = Instant::now();
    let waiting = QueuedRequest::begin(&waits, URGENCY, now);
    simulate_suspension(STANDSTILL / 4);
    waiting.record_start(now + STANDSTILL);
    let mean = waits.typical_wait(URGENCY, now + STANDSTILL);
    // A single sample has a weight of a quarter.
    let learned = mean * 4;
    assert!(learned > STANDSTILL / 2, "{learned:?} were learned");
    assert!(learned < STANDSTILL, "{learned:?} were learned");
}
