//! How long callers may take and rest, as the configuration changes.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::caller_limits::{RecentLimits, TimeLimits, http_config};
use driftspring_gateway::connections::{CallerConnections, EndedConnections};
use ntex::SharedCfg;
use ntex::io::Io;
use ntex::testing::IoTest;
use ntex::time::{Millis, sleep};

const HOLD: Duration = Duration::from_secs(3);

fn limits(header: u64, idle: u64) -> TimeLimits {
    TimeLimits {
        header: Duration::from_secs(header),
        idle: Duration::from_secs(idle),
    }
}

#[test]
fn the_library_ends_no_connection_that_rests() {
    let config = format!("{:?}", http_config());
    for part in ["keep_alive: Seconds(0)", "ka_enabled: true"] {
        assert!(config.contains(part), "{part} in {config}");
    }
    // Its time for a head is the longest that any configuration is given.
    let rate = "headers_read_rate: Some(FrameReadRate { timeout: Seconds(3600), max_timeout: Seconds(3600)";
    assert!(config.contains(rate), "{config}");
}

#[test]
fn a_longer_limit_counts_at_once_and_a_shorter_one_after_a_while() {
    let begin = Instant::now();
    let at = |seconds: u64| begin + Duration::from_secs(seconds);
    let mut recent = RecentLimits::default();
    assert_eq!(recent.update(limits(5, 10), HOLD, at(0)), limits(5, 10));
    assert_eq!(recent.update(limits(2, 20), HOLD, at(1)), limits(5, 20));
    assert_eq!(recent.update(limits(2, 20), HOLD, at(3)), limits(5, 20));
    assert_eq!(recent.update(limits(2, 20), HOLD, at(4)), limits(2, 20));
    // Each limit holds on from its own end.
    assert_eq!(recent.update(limits(2, 8), HOLD, at(5)), limits(2, 20));
    assert_eq!(recent.update(limits(2, 4), HOLD, at(7)), limits(2, 20));
    assert_eq!(recent.update(limits(2, 4), HOLD, at(8)), limits(2, 8));
    assert_eq!(recent.update(limits(2, 4), HOLD, at(10)), limits(2, 4));
}

fn open(callers: &CallerConnections) -> (IoTest, Io) {
    let (client, server) = IoTest::create();
    client.remote_buffer_cap(1024);
    let io = Io::new(server, SharedCfg::new("test"));
    callers.record_open(&io);
    (client, io)
}

const NONE: EndedConnections = EndedConnections {
    slow_heads: 0,
    rested: 0,
};

#[ntex::test]
async fn what_came_while_the_process_stood_still_is_read_before_a_connection_ends() {
    let callers = CallerConnections::default();
    let (client, io) = open(&callers);
    let (_other, rests) = open(&callers);
    let over = || Instant::now() + Duration::from_secs(60);
    assert_eq!(callers.end_overdue(&limits(30, 10), over()), NONE);
    client.write("POST / HTTP/1.1\r\n");
    sleep(Millis(50)).await;
    let ended = callers.end_overdue(&limits(90, 10), over());
    assert_eq!((ended.rested, ended.slow_heads), (1, 0));
    assert!(!io.is_closed());
    sleep(Millis(50)).await;
    assert!(rests.is_closed());
}

#[ntex::test]
async fn a_request_of_a_connection_that_has_ended_counts_for_no_other() {
    let callers = CallerConnections::default();
    let (_client, first) = open(&callers);
    let id = first.id();
    let former = callers.record_request_start(&first);
    drop(first);
    let (_client, second) = open(&callers);
    assert_eq!(second.id(), id, "ids are used again");
    let _open = callers.record_request_start(&second);
    drop(former);
    let over = || Instant::now() + Duration::from_secs(60);
    for _ in 0..2 {
        assert_eq!(callers.end_overdue(&limits(5, 10), over()), NONE);
    }
    assert_eq!(callers.close_idle(), 0);
}

#[ntex::test]
async fn a_planned_stop_closes_no_connection_whose_request_may_be_on_its_way() {
    let callers = CallerConnections::default();
    let (_new, _new_io) = open(&callers);
    let (client, io) = open(&callers);
    drop(callers.record_request_start(&io));
    client.write("POST / HTTP/1.1\r\n");
    sleep(Millis(50)).await;
    assert_eq!(callers.close_idle(), 0);
    let (_rests, rests_io) = open(&callers);
    drop(callers.record_request_start(&rests_io));
    assert_eq!(callers.close_idle(), 1);
}
