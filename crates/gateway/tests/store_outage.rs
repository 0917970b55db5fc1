//! Backoff of a gateway while the store is down, and its end.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::store::{CALL_TIMEOUT, StoreOutage, backoff_after, backoff_after_call};

/// Longer than any test may take; a wait that does not end runs into the test runner's own timeout.
const VERY_LONG: Duration = Duration::from_secs(3600);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

#[test]
fn delays_double_up_to_a_limit() {
    let pauses: Vec<u128> = (1..=6)
        .map(|failures| backoff_after(failures).as_millis())
        .collect();
    assert_eq!(pauses, [200, 400, 800, 1600, 1800, 1800]);
    assert_eq!(backoff_after(u32::MAX), backoff_after(6));
}

#[test]
fn followers_wait_longer_while_the_configuration_reader_probes_the_store() {
    let outage = StoreOutage::default();
    assert_eq!(
        outage.follower_backoff(1),
        backoff_after(1),
        "only their own list failed"
    );
    outage.begin();
    assert!(outage.follower_backoff(1) > backoff_after(u32::MAX));
    outage.end();
    assert_eq!(outage.follower_backoff(2), backoff_after(2));
}

#[test]
fn a_wait_ends_when_the_store_recovers() {
    run(async {
        let outage = StoreOutage::default();
        let ends = async {
            tokio::task::yield_now().await;
            outage.end();
        };
        tokio::join!(outage.wait(VERY_LONG), ends);
    });
}

#[test]
fn a_call_that_waits_since_before_is_made_anew() {
    run(async {
        let outage = StoreOutage::default();
        let calls = Cell::new(0);
        let call = || async {
            calls.set(calls.get() + 1);
            if calls.get() == 1 {
                std::future::pending::<()>().await;
            }
            calls.get()
        };
        let ends = async {
            tokio::task::yield_now().await;
            outage.end();
            Instant::now()
        };
        let ((began, answer), ended_at) = tokio::join!(outage.call(call), ends);
        assert_eq!(answer, 2);
        assert!(began >= ended_at, "the first call proves nothing");
    });
}

/// Whether a future is ready at its first poll.
fn is_ready_at_first_poll(wait: impl Future<Output = ()>) -> bool {
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    std::pin::pin!(wait).as_mut().poll(&mut context).is_ready()
}

#[test]
fn the_end_of_an_outage_is_notified_once_and_only_if_it_was_seen() {
    run(async {
        let outage = StoreOutage::default();
        let announced = async {
            tokio::task::yield_now().await;
            outage.end();
        };
        let calm = tokio::time::timeout(Duration::from_millis(5), outage.ended());
        let (ended, ()) = tokio::join!(calm, announced);
        assert!(ended.is_err(), "this gateway has seen no outage");
        outage.begin();
        tokio::join!(outage.ended(), async {
            tokio::task::yield_now().await;
            outage.end();
        });
        assert!(
            !is_ready_at_first_poll(outage.ended()),
            "its end is notified once"
        );
    });
}

/// How long after the end of an outage a gateway may still be behind (`contactMs` of the rules).
const CONTACT: Duration = Duration::from_millis(3000);

/// How long a gateway needs once the store answers: for its lists, and for the queries of the others, each 0.5 s.
const CATCH_UP_TIME: Duration = Duration::from_millis(1000);

#[test]
fn a_daemon_that_nobody_tells_finds_the_store_in_time_to_be_in_touch() {
    for took in [Duration::ZERO, CALL_TIMEOUT / 3, CALL_TIMEOUT] {
        for failures in [1, 2, 3, 4, 5, u32::MAX] {
            // The call started just before the store came back, which never answers it.
            let next_call = took + backoff_after_call(failures, took);
            assert!(
                next_call + CATCH_UP_TIME <= CONTACT,
                "{failures} failures, the last one after {took:?}"
            );
        }
    }
}

#[test]
fn a_silent_store_is_not_called_without_a_delay() {
    for failures in [1, 2, 3, 4, 5, u32::MAX] {
        assert!(backoff_after_call(failures, CALL_TIMEOUT) >= backoff_after(1));
    }
}

#[test]
fn the_store_was_last_seen_down_at_the_start_of_the_last_failed_call() {
    let start = Instant::now();
    let outage = StoreOutage::default();
    assert_eq!(outage.last_seen_down_at(), None, "no call has failed");
    outage.note_failure(start);
    assert_eq!(
        outage.last_seen_down_at(),
        None,
        "a call has failed, but no read of the configuration"
    );
    outage.begin();
    assert_eq!(outage.last_seen_down_at(), Some(start));
    outage.note_failure(start + CALL_TIMEOUT);
    outage.note_failure(start);
    assert_eq!(outage.last_seen_down_at(), Some(start + CALL_TIMEOUT));
    outage.end();
    assert_eq!(outage.last_seen_down_at(), None, "the store answers again");
}
