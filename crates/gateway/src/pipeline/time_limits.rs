//! Until when a request is served, counted from its arrival.
//!
//! Two limits apply: the route's timeout, after which its caller is still there, and the caller's own deadline, after which
//! nobody is. The caller counts from when it sent the request, so the last answer leaves somewhat earlier.

use std::time::Duration;

/// Time limit that stands in for the caller's or the route's, if that one is not set.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// How long a request is held beyond its route's timeout, so that the replica's own answer to the timeout arrives first.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(150);

/// How much earlier than the caller's deadline the last answer leaves: for the way of the request before it is read, for that
/// of the answer, and for the work of both sides meanwhile.
pub const CALLER_MARGIN: Duration = Duration::from_millis(40);

/// The share of a short deadline that the margin takes at the most.
const MAX_MARGIN_SHARE: u32 = 25;

/// The time limits of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeLimits {
    caller: Duration,
    route: Duration,
}

impl TimeLimits {
    /// The limits of a request whose caller waits for `caller`, if it says so, on a route with the timeout `route`; zero
    /// stands for none.
    pub fn new(caller: Option<Duration>, route: Duration) -> Self {
        Self {
            caller: caller.unwrap_or(DEFAULT_REQUEST_TIMEOUT),
            route: match route {
                Duration::ZERO => DEFAULT_REQUEST_TIMEOUT,
                route => route,
            },
        }
    }

    /// When the caller or the route gives the request up.
    pub fn deadline(self) -> Duration {
        self.caller.min(self.route)
    }

    /// Until when its body is waited for.
    pub fn body(self) -> Duration {
        self.route.min(self.last_useful())
    }

    /// Until when a replica's answer is waited for that is not sent on before it has begun.
    pub fn answer(self) -> Duration {
        let route = self.route.saturating_add(DEADLINE_GRACE);
        route.min(self.last_useful())
    }

    /// When the last answer leaves that reaches the caller in time.
    fn last_useful(self) -> Duration {
        let margin = CALLER_MARGIN.min(self.caller / MAX_MARGIN_SHARE);
        self.caller.saturating_sub(margin)
    }
}
