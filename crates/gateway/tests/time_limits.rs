//! Until when the gateway serves a request of which the caller, the route or both limit the time.

use std::time::Duration;

use driftspring_gateway::pipeline::{CALLER_MARGIN, DEADLINE_GRACE, TimeLimits};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_last_answer_leaves_before_the_callers_deadline() {
    for caller in [ms(1000), ms(4000), ms(15_000)] {
        for route in [caller, caller * 2, Duration::ZERO] {
            let limits = TimeLimits::new(Some(caller), route);
            assert_eq!(limits.answer(), caller - CALLER_MARGIN, "{limits:?}");
            assert_eq!(limits.body(), caller - CALLER_MARGIN, "{limits:?}");
            assert_eq!(limits.deadline(), caller, "{limits:?}");
        }
    }
}

#[test]
fn a_short_deadline_is_shortened_in_proportion() {
    for caller in [ms(0), ms(1), ms(50), ms(200), ms(900)] {
        let left = TimeLimits::new(Some(caller), Duration::ZERO).answer();
        assert!(left <= caller && caller - left <= caller / 25, "{caller:?}");
        assert!(caller.is_zero() || left < caller, "{caller:?}");
    }
}

#[test]
fn a_routes_timeout_keeps_its_grace_while_the_caller_is_there() {
    let limits = TimeLimits::new(Some(ms(4000)), ms(1000));
    assert_eq!(limits.answer(), ms(1000) + DEADLINE_GRACE);
    assert_eq!(limits.body(), ms(1000));
    assert_eq!(limits.deadline(), ms(1000));
    // The caller leaves within the grace.
    let limits = TimeLimits::new(Some(ms(1100)), ms(1000));
    assert_eq!(limits.answer(), ms(1100) - CALLER_MARGIN);
    assert_eq!(limits.deadline(), ms(1000));
}

#[test]
fn a_caller_without_a_deadline_has_that_of_the_route() {
    let limits = TimeLimits::new(None, ms(1000));
    assert_eq!(limits.answer(), ms(1000) + DEADLINE_GRACE);
    assert_eq!(limits.deadline(), ms(1000));
}
