//! Breaker and retry budget.

use std::time::Duration;

use driftspring_limits::breaker::{FIRST_OPEN, LONGEST_OPEN, PROBE_TIMEOUT};
use driftspring_limits::{BreakerState, EngineBreaker, RetryBudget};
use quickcheck::quickcheck;

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn opened_at(now_ms: u64) -> EngineBreaker {
    let breaker = EngineBreaker::new();
    let opened: Vec<bool> = (0..3).map(|_| breaker.record_failure(now_ms)).collect();
    assert_eq!(opened, [false, false, true]);
    breaker
}

#[test]
fn failures_in_a_row_open_it_and_a_success_between_does_not() {
    let breaker = EngineBreaker::new();
    breaker.record_failure(0);
    breaker.record_failure(0);
    breaker.record_success();
    breaker.record_failure(0);
    assert_eq!(breaker.state(0), BreakerState::Closed);
    let breaker = opened_at(1000);
    assert!(!breaker.try_pass(1000));
    let for_time = FIRST_OPEN;
    assert_eq!(breaker.state(1000), BreakerState::Open { for_time });
}

#[test]
fn one_probe_passes_and_decides() {
    let breaker = opened_at(0);
    let due = millis(FIRST_OPEN);
    assert!(!breaker.try_pass(due - 1));
    assert_eq!(breaker.state(due), BreakerState::ProbeDue);
    assert!(breaker.try_pass(due));
    assert!(!breaker.try_pass(due));
    breaker.record_failure(due);
    let for_time = FIRST_OPEN * 2;
    assert_eq!(breaker.state(due), BreakerState::Open { for_time });
    let due_again = due + millis(for_time);
    assert!(breaker.try_pass(due_again));
    breaker.record_success();
    assert_eq!(breaker.state(due_again), BreakerState::Closed);
}

#[test]
fn a_lost_probe_is_repeated_and_old_failures_do_not_prolong() {
    let breaker = opened_at(0);
    breaker.record_failure(10);
    let due = millis(FIRST_OPEN);
    assert_eq!(breaker.state(due), BreakerState::ProbeDue);
    assert!(breaker.try_pass(due));
    let repeated = due + millis(PROBE_TIMEOUT);
    assert!(!breaker.try_pass(repeated - 1));
    assert!(breaker.try_pass(repeated));
}

quickcheck! {
    /// However often it fails, an engine is tried again within the longest time.
    fn no_engine_is_given_up(failures: Vec<bool>) -> bool {
        let breaker = opened_at(0);
        let mut now = 0;
        for _ in &failures {
            now += millis(LONGEST_OPEN);
            if !breaker.try_pass(now) {
                return false;
            }
            breaker.record_failure(now);
        }
        matches!(breaker.state(now), BreakerState::Open { for_time } if for_time <= LONGEST_OPEN)
    }

    fn retries_are_a_part_of_first_attempts(first_attempts: u16, percent: u8) -> bool {
        const AT_THE_START: u64 = 10;
        let percent = u32::from(percent % 100);
        let budget = RetryBudget::new(percent);
        let mut retries = 0;
        for _ in 0..first_attempts {
            budget.first_attempt();
            retries += u64::from(budget.try_retry());
        }
        let earned = u64::from(first_attempts) * u64::from(percent) / 100;
        let saved = if percent == 0 { 0 } else { AT_THE_START };
        retries <= earned + saved && retries >= earned.min(u64::from(first_attempts))
    }
}
