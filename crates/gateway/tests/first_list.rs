//! Requests that arrive at a gateway before it has its first list of replicas.
//!
//! Of 301 gateways that were killed together, the last one knew all 3,012 replicas 1.33 s after its process had
//! started, and 90 in 100 within 1.26 s (log lines 6000 and 6206). A request waited 0.6 s for the list and was then
//! refused, with a single retry left to its caller: 166 refusals "all are leaving, tried or unknown" after 600 to 640
//! ms, of requests with 0.8 to 15 s of time.

use std::time::Duration;

use driftspring_gateway::pipeline::first_list_timeout;

/// When the last gateway knew the replicas, measured from its start.
const SLOWEST_LIST: Duration = Duration::from_millis(1330);

/// Time after a start within which callers have to be served.
const START_OBJECTIVE: Duration = Duration::from_secs(2);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_request_with_enough_time_waits_for_the_first_list_of_a_large_system() {
    for age in (0..1300).step_by(50).map(ms) {
        for time_left in [ms(3000), ms(5000), ms(15_000)] {
            let until = age + first_list_timeout(age, time_left);
            assert!(
                until >= SLOWEST_LIST,
                "arrived at {age:?}, refused at {until:?}"
            );
            assert!(
                until <= START_OBJECTIVE + ms(600),
                "arrived at {age:?}, held until {until:?}"
            );
        }
    }
}

#[test]
fn a_request_with_little_time_is_refused_while_its_caller_can_still_retry() {
    for age in (0..3000).step_by(50).map(ms) {
        for time_left in (0..3000).step_by(50).map(ms) {
            let timeout = first_list_timeout(age, time_left);
            let most = ms(600).max(time_left.mul_f64(0.75));
            assert!(timeout <= most, "{time_left:?} left, held {timeout:?}");
            assert!(timeout <= time_left);
        }
    }
}
