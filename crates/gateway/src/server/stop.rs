//! The waits of a planned stop.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::state::GatewayState;
use crate::status::{SharedStatus, StopPhase};

/// How long new requests may still arrive: the load balancer probes each second and acts on the second failed probe.
const CALLER_REDIRECT_WINDOW: Duration = Duration::from_millis(2600);

/// How long no request must have been open, and no answer unsent, before the stop is complete.
const QUIET_WINDOW: Duration = Duration::from_millis(250);

/// Interval at which a serving gateway checks whether a stop has begun.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which open requests are checked during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Share of the grace period after which the gateway ends even if requests are open.
const GRACE_SHARE_USED: f64 = 0.93;

/// How long the thread that serves callers gets to close listeners and connections, and to end the answers that were not taken
/// by the end of the grace period.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// What is left at the end of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Unfinished {
    /// Number of open requests.
    pub open_requests: u32,
    /// Number of connections with bytes that were not sent.
    pub unsent_connections: u32,
    /// Number of connections whose callers have not closed them after their last answer.
    pub lingering_connections: u32,
}

impl Unfinished {
    fn now(status: &SharedStatus) -> Self {
        Self {
            open_requests: status.open_requests.load(Ordering::Acquire),
            unsent_connections: status.unsent_connections.load(Ordering::Acquire),
            lingering_connections: status.lingering_connections.load(Ordering::Acquire),
        }
    }
}

/// Waits until callers have been redirected, no request is open and all answers were sent, or the grace period is nearly
/// over; returns what is left then. New requests are refused once callers had the time to move, since those requests might
/// not end in time. Listeners are closed at the end.
pub fn wait_for_open_requests(status: &SharedStatus, grace: Duration) -> Unfinished {
    let unfinished = wait_until_quiet(status, grace);
    status.raise_stop_phase(StopPhase::Closing);
    let closed_by = Instant::now() + CLOSE_TIMEOUT;
    while status.stop_phase() == StopPhase::Closing && Instant::now() < closed_by {
        std::thread::sleep(POLL_INTERVAL);
    }
    unfinished
}

fn wait_until_quiet(status: &SharedStatus, grace: Duration) -> Unfinished {
    let stop_began_at = Instant::now();
    let cutoff = stop_began_at + grace.mul_f64(GRACE_SHARE_USED);
    let mut quiet_since = Instant::now();
    while Instant::now() < cutoff {
        let unfinished = Unfinished::now(status);
        if unfinished != Unfinished::default() {
            quiet_since = Instant::now();
        }
        if stop_began_at.elapsed() >= CALLER_REDIRECT_WINDOW.min(grace / 2) {
            status.raise_stop_phase(StopPhase::RefusingRequests);
            if quiet_since.elapsed() >= QUIET_WINDOW {
                return unfinished;
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Unfinished::now(status)
}

/// Does what a planned stop asks of the thread that serves callers: counts the connections that have not ended, closes idle
/// ones once new requests are refused, so that callers connect to another gateway without having been refused, and closes
/// the listeners and ends the answers that are left at its end.
pub async fn follow_stop(state: Rc<GatewayState>) {
    let mut is_closing = false;
    loop {
        let phase = state.status.stop_phase();
        if phase == StopPhase::Serving {
            tokio::time::sleep(WATCH_INTERVAL).await;
            continue;
        }
        match phase {
            StopPhase::Closing | StopPhase::Ended => state.callers.close_idle_and_new(),
            StopPhase::RefusingRequests => state.callers.close_idle(),
            StopPhase::Redirecting | StopPhase::Serving => 0,
        };
        let unsent = state.callers.count_unsent();
        let unsent = u32::try_from(unsent).unwrap_or(u32::MAX);
        state
            .status
            .unsent_connections
            .store(unsent, Ordering::Release);
        state
            .status
            .lingering_connections
            .store(state.lingering.open(), Ordering::Release);
        if phase == StopPhase::Closing {
            if is_closing {
                state.status.raise_stop_phase(StopPhase::Ended);
            }
            is_closing = true;
            state.held_bytes.end_for_stop();
            state.listening.end();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
