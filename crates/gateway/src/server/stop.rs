//! The wait of a planned stop.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::state::{GatewayState, SharedStatus};

/// How long new requests may still come: what sends callers here asks each second, and believes the
/// second answer.
const CALLER_REDIRECT_WINDOW: Duration = Duration::from_millis(2600);

/// How long there must be no open request before the end.
const QUIET_WINDOW: Duration = Duration::from_millis(250);

/// How often a serving gateway looks whether it is to close connections.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// How often open requests are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The share of the grace after which the gateway ends whatever is open.
const GRACE_SHARE_USED: f64 = 0.93;

/// Waits until callers have turned away and no request is open, or the grace is nearly over. Once they had
/// the time to turn away, new requests are refused, since they might not end in time.
pub fn wait_for_open_requests(status: &SharedStatus, grace: Duration) {
    let stop_began_at = Instant::now();
    let cutoff = stop_began_at + grace.mul_f64(GRACE_SHARE_USED);
    let mut quiet_since = Instant::now();
    while Instant::now() < cutoff {
        if status.open_requests.load(Ordering::Acquire) > 0 {
            quiet_since = Instant::now();
        }
        if stop_began_at.elapsed() >= CALLER_REDIRECT_WINDOW.min(grace / 2) {
            status.is_refusing_requests.store(true, Ordering::Release);
            if quiet_since.elapsed() >= QUIET_WINDOW {
                return;
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Closes callers' connections that have no open request, once new requests are refused. Callers then use
/// another gateway without having been refused.
pub async fn close_idle_connections(state: Rc<GatewayState>) {
    while !state.status.is_refusing_requests() {
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
    loop {
        state.callers.close_idle();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
