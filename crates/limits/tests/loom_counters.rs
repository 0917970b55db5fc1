//! All interleavings of permits, breaker and retry budget.
//! Run with `RUSTFLAGS="--cfg loom" cargo test -p driftspring-limits --test loom_counters`.
#![cfg(loom)]

use std::sync::Arc as PlainArc;

use driftspring_limits::breaker::FIRST_OPEN;
use driftspring_limits::{
    BreakerState, DaemonUsage, EngineBreaker, Permit, RetryBudget, TenantUsage,
};
use loom::sync::Arc;
use loom::thread;

const WEIGHT: u32 = 5;

#[test]
fn one_of_two_gets_the_last_place_and_all_counts_return_to_zero() {
    loom::model(|| {
        let daemon = PlainArc::new(DaemonUsage::new());
        let tenant = PlainArc::new(TenantUsage::new(WEIGHT));
        let (others_daemon, others_tenant) = (PlainArc::clone(&daemon), PlainArc::clone(&tenant));
        let other = thread::spawn(move || Permit::take(&others_daemon, &others_tenant));
        let own = Permit::take(&daemon, &tenant);
        let other = other.join().unwrap();
        let first = [&own, &other].map(|permit| permit.position().in_tenant == 0);
        assert!(first[0] != first[1], "both or none were first");
        assert_eq!(daemon.active_weight(), u64::from(WEIGHT));
        let dropping = thread::spawn(move || drop(other));
        drop(own);
        dropping.join().unwrap();
        assert_eq!(
            (daemon.open(), tenant.open(), daemon.active_weight()),
            (0, 0, 0)
        );
    });
}

#[test]
fn a_tenant_that_ends_and_begins_at_once_is_counted_once() {
    loom::model(|| {
        let daemon = PlainArc::new(DaemonUsage::new());
        let tenant = PlainArc::new(TenantUsage::new(WEIGHT));
        let ending = Permit::take(&daemon, &tenant);
        let other = thread::spawn(move || drop(ending));
        let beginning = Permit::take(&daemon, &tenant);
        other.join().unwrap();
        assert_eq!(daemon.active_weight(), u64::from(WEIGHT));
        drop(beginning);
        assert_eq!(daemon.active_weight(), 0);
    });
}

#[test]
fn one_of_two_probes() {
    loom::model(|| {
        let breaker = Arc::new(EngineBreaker::new());
        for _ in 0..3 {
            breaker.record_failure(0);
        }
        let due = FIRST_OPEN.as_millis() as u64;
        let others = Arc::clone(&breaker);
        let other = thread::spawn(move || others.try_pass(due));
        let own = breaker.try_pass(due);
        assert!(own != other.join().unwrap());
    });
}

#[test]
fn no_failure_is_lost() {
    loom::model(|| {
        let breaker = Arc::new(EngineBreaker::new());
        breaker.record_failure(0);
        let others = Arc::clone(&breaker);
        let other = thread::spawn(move || others.record_failure(0));
        let own = breaker.record_failure(0);
        assert!(own != other.join().unwrap(), "one of them opens it");
        assert!(matches!(breaker.state(0), BreakerState::Open { .. }));
    });
}

#[test]
fn the_last_retry_is_spent_once() {
    loom::model(|| {
        let budget = Arc::new(RetryBudget::new(1));
        for _ in 0..9 {
            assert!(budget.try_retry());
        }
        let others = Arc::clone(&budget);
        let other = thread::spawn(move || others.try_retry());
        let own = budget.try_retry();
        assert!(own != other.join().unwrap());
    });
}
