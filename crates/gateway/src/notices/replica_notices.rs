//! Everything that one incarnation of a replica has reported about itself.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::brittle::Brittleness;
use super::limit::LimitNotice;
use crate::protocol::RequestRate;

/// Minimum pause after a permit was denied. The request goes elsewhere in that time.
const MIN_PERMIT_PAUSE: Duration = Duration::from_millis(20);

/// Minimum time between two log lines about the same replica.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The share of a pause over which the retries are spread.
const PAUSE_JITTER: f64 = 0.25;

/// A period in which a replica has asked this gateway to send it no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cooldown {
    /// When the latest answer was received that asked for it.
    pub received_at: Instant,
    /// When it ends.
    pub until: Instant,
}

/// Everything that one incarnation of a replica has reported about itself.
#[derive(Debug, Default)]
pub struct ReplicaNotices {
    limit: Cell<Option<LimitNotice>>,
    /// When to ask for a permit again.
    permit_retry_at: Cell<Option<Instant>>,
    has_announced_leaving: Cell<bool>,
    cooldown: Cell<Option<Cooldown>>,
    /// Whether the replica crashes if it has to refuse many requests.
    pub brittleness: Brittleness,
    passed_over_logged_at: Cell<Option<Instant>>,
}

/// Why a replica gets no requests for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// What the replica has reported.
    pub cause: PauseCause,
    /// When it was last reported.
    pub reported_at: Instant,
    /// When it ends.
    pub until: Instant,
}

/// A report of a replica that keeps requests away from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseCause {
    /// The replica accepts this rate of requests, and no permit is available.
    Limit(RequestRate),
    /// The replica has rejected a request of this gateway and asked for a pause.
    Cooldown,
}

impl fmt::Display for PauseCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limit(rate) => write!(formatter, "limit:{rate}"),
            Self::Cooldown => formatter.write_str("rest"),
        }
    }
}

impl ReplicaNotices {
    /// The limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.get().and_then(|notice| notice.rate)
    }

    /// Whether the replica has announced that it is leaving.
    pub fn has_announced_leaving(&self) -> bool {
        self.has_announced_leaving.get()
    }

    /// Records that the replica has announced that it is leaving. Returns whether this is new. An incarnation
    /// that is leaving never stays.
    pub fn record_leaving(&self) -> bool {
        !self.has_announced_leaving.replace(true)
    }

    /// Records that the replica has asked this gateway for a pause; the latest end applies.
    /// Returns whether it may be logged.
    pub fn record_cooldown(&self, cooldown: Cooldown) -> bool {
        let known = self.cooldown.get();
        if known.is_none_or(|known| known.until < cooldown.until) {
            self.cooldown.set(Some(cooldown));
        }
        known.is_none_or(|known| known.received_at + LOG_INTERVAL <= cooldown.received_at)
    }

    /// Whether the replica has reported anything.
    pub fn has_any(&self) -> bool {
        self.has_any_to_share() || self.cooldown.get().is_some()
    }

    /// Whether the replica has reported anything that other gateways should know. A cooldown applies to one
    /// gateway only.
    pub fn has_any_to_share(&self) -> bool {
        self.limit().is_some() || self.has_announced_leaving() || self.brittleness.get().is_some()
    }

    /// The latest notice of a limit, or of its end.
    pub fn limit_notice(&self) -> Option<LimitNotice> {
        self.limit.get()
    }

    /// Why the replica gets no request at `now`. Of two pauses it is the one that ends later.
    pub fn pause(&self, now: Instant) -> Option<Pause> {
        let pauses = self.limit_pause().into_iter().chain(self.cooldown_pause());
        let pauses = pauses.filter(|pause| now < pause.until);
        pauses.max_by_key(|pause| pause.until)
    }

    /// Whether a cooldown requested by the replica lasts at `now`.
    pub fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_pause().is_some_and(|pause| now < pause.until)
    }

    fn limit_pause(&self) -> Option<Pause> {
        let limit = self.limit.get()?;
        Some(Pause {
            cause: PauseCause::Limit(limit.rate?),
            reported_at: limit.received_at,
            until: self.permit_retry_at.get()?,
        })
    }

    fn cooldown_pause(&self) -> Option<Pause> {
        let cooldown = self.cooldown.get()?;
        Some(Pause {
            cause: PauseCause::Cooldown,
            reported_at: cooldown.received_at,
            until: cooldown.until,
        })
    }

    /// Logs that the replica `id` was passed over, at most once a second.
    pub fn log_passed_over(&self, id: &str, pause: &Pause, now: Instant) {
        let logged_at = self.passed_over_logged_at.get();
        if logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        self.passed_over_logged_at.set(Some(now));
        log_event!(
            gateway::REPLICA_PASSED_OVER,
            "replica={id} said={} said_ago={:?} ends_in={:?}",
            pause.cause,
            now.saturating_duration_since(pause.reported_at),
            pause.until.saturating_duration_since(now)
        );
    }

    /// Records that a permit was denied, and that it is worth asking again after `wait`. `random_fraction`,
    /// from 0 to 1, keeps gateways that were denied together from returning together.
    pub fn pause_for_permits(&self, wait: Duration, random_fraction: f64) {
        let wait = wait.max(MIN_PERMIT_PAUSE);
        let wait = wait + wait.mul_f64(PAUSE_JITTER * random_fraction);
        self.permit_retry_at.set(Some(Instant::now() + wait));
    }

    /// Records what an answer reports about the limit. Returns whether the limit in force has changed.
    pub fn record_limit(&self, later: LimitNotice) -> bool {
        let known = self.limit.get();
        let next = match known {
            Some(known) => known.combine(later),
            None if later.rate.is_none() => return false,
            None => later,
        };
        self.limit.set(Some(next));
        known.and_then(|notice| notice.rate) != next.rate
    }
}
