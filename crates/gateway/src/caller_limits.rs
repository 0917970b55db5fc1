//! Applies the configuration's limits on how long callers may take for a head and how long their connections may rest, also
//! where they change under open connections.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::time::Seconds;

use crate::configuration::CallerLimits;
use crate::state::GatewayState;

/// Maximum size of a request's head in bytes, whatever the configuration allows.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Maximum number of a request's headers.
pub const MAX_HEADERS: usize = 8192;

/// Time limit of the library for a head, whatever the configuration allows. It has to have one for it to answer a head that
/// this module gives up, and holds memory for each second of it.
const LIBRARY_HEAD_TIMEOUT: Seconds = Seconds(3600);

/// Bytes of a head per second. The library requires a rate, and does not apply it to heads.
const LIBRARY_HEAD_RATE: u32 = 256;

/// How often the connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long after the time within which a configuration must be in force callers may still go by the one before.
const UNAWARE_TIME: Duration = Duration::from_secs(1);

/// What the HTTP library is told of callers' requests: it keeps connections until they are closed by others.
pub fn http_config() -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Os)
        .set_headers_read_rate(
            LIBRARY_HEAD_TIMEOUT,
            LIBRARY_HEAD_TIMEOUT,
            LIBRARY_HEAD_RATE,
        )
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
}

/// Limits on the time that callers take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeLimits {
    /// Maximum time from the first byte of a head to its last one.
    pub header: Duration,
    /// Maximum time for which a connection may rest.
    pub idle: Duration,
}

impl TimeLimits {
    /// The longer ones of these and others.
    fn max(self, other: Self) -> Self {
        Self {
            header: self.header.max(other.header),
            idle: self.idle.max(other.idle),
        }
    }

    /// These limits with `margin` added to each.
    fn extended(self, margin: Duration) -> Self {
        Self {
            header: self.header.saturating_add(margin),
            idle: self.idle.saturating_add(margin),
        }
    }
}

impl From<&CallerLimits> for TimeLimits {
    fn from(limits: &CallerLimits) -> Self {
        Self {
            header: limits.header_timeout,
            idle: limits.idle_timeout,
        }
    }
}

/// The limits that callers may go by: those in force, and longer ones that were in force a short time ago.
#[derive(Debug, Default)]
pub struct RecentLimits {
    current: Option<TimeLimits>,
    /// Earlier ones with the times at which they were found to be in force no more.
    superseded: Vec<(Instant, TimeLimits)>,
}

impl RecentLimits {
    /// Takes the limits in force at `now`, and returns those that callers may go by if they learn of a change within `hold`.
    pub fn update(&mut self, in_force: TimeLimits, hold: Duration, now: Instant) -> TimeLimits {
        let before = self.current.replace(in_force);
        if let Some(before) = before.filter(|before| *before != in_force) {
            self.superseded.push((now, before));
        }
        self.superseded
            .retain(|(since, _)| now.saturating_duration_since(*since) < hold);
        let superseded = self.superseded.iter().map(|(_, limits)| *limits);
        superseded.fold(in_force, TimeLimits::max)
    }
}

/// Ends the connections that are over a limit, as long as the gateway serves.
pub async fn apply(state: Rc<GatewayState>) {
    let mut recent = RecentLimits::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let in_force = match state.configuration.load().as_ref() {
            Some(configuration) => TimeLimits::from(&configuration.limits),
            None => TimeLimits::from(&CallerLimits::default()),
        };
        if let Some(configuration) = state.configuration.load().as_ref() {
            let size = configuration.limits.max_body_bytes;
            state.lingering.set_max_body_bytes(size);
        }
        let lag = state.times.get().configuration_lag;
        let now = Instant::now();
        // A caller may know of longer limits before this gateway does.
        let limits = recent
            .update(in_force, lag.saturating_add(UNAWARE_TIME), now)
            .extended(lag);
        let ended = state.callers.end_overdue(&limits, now);
        if ended.slow_heads > 0 {
            log_event!(
                gateway::SLOW_HEADS_ENDED,
                "connections={} limit={:?} allowed={:?}",
                ended.slow_heads,
                in_force.header,
                limits.header
            );
        }
    }
}
