//! The waits of a planned stop.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::state::{GatewayState, SharedStatus};

/// How long new requests may still arrive: the load balancer probes each second and acts on the second failed probe.
const CALLER_REDIRECT_WINDOW: Duration = Duration::from_millis(2600);

/// How long no request must have been open before the stop is complete.
const QUIET_WINDOW: Duration = Duration::from_millis(250);

/// Interval at which a serving gateway checks whether it has to close connections.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which open requests are checked during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Share of the grace period after which the gateway ends even if requests are open.
const GRACE_SHARE_USED: f64 = 0.93;

/// Waits until callers have been redirected and no request is open, or the grace period is nearly over. New requests
/// are refused once callers had the time to move, since those requests might not end in time.
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

/// Closes callers' connections that have no open request, once new requests are refused. Callers then connect to
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
