//! All that one life of a replica has said of itself.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::limit::LimitNotice;
use crate::protocol::RequestRate;

/// The shortest pause after a permit was not given: its request goes elsewhere in that time.
const MIN_PERMIT_PAUSE: Duration = Duration::from_millis(20);

/// The time between two lines that tell that the same replica was passed over.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The share of a pause over which the returns are spread.
const PAUSE_JITTER: f64 = 0.25;

/// A time in which a replica wants no requests from this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cooldown {
    /// When the latest answer came that asked for it.
    pub received_at: Instant,
    /// When it ends.
    pub until: Instant,
}

/// All that one life of a replica has said of itself.
#[derive(Debug, Default)]
pub struct ReplicaNotices {
    limit: Cell<Option<LimitNotice>>,
    /// When it is worth asking for a permit again.
    permit_retry_at: Cell<Option<Instant>>,
    has_announced_leaving: Cell<bool>,
    cooldown: Cell<Option<Cooldown>>,
    passed_over_logged_at: Cell<Option<Instant>>,
}

/// Why a replica gets no request for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// What the replica said.
    pub cause: PauseCause,
    /// When it said so last.
    pub said_at: Instant,
    /// When it ends.
    pub until: Instant,
}

/// What a replica said that keeps requests away from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseCause {
    /// It takes so many requests a second, and these are spent.
    Limit(RequestRate),
    /// It turned a request of this daemon away and wants no others for a while.
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

    /// Whether the replica has said that it is leaving.
    pub fn has_announced_leaving(&self) -> bool {
        self.has_announced_leaving.get()
    }

    /// Takes in that it has; true where that is news. A life that leaves never stays after all.
    pub fn record_leaving(&self) -> bool {
        !self.has_announced_leaving.replace(true)
    }

    /// Takes in that it wants no requests from this daemon until then; the latest end holds. True where a line may tell it.
    pub fn record_cooldown(&self, cooldown: Cooldown) -> bool {
        let known = self.cooldown.get();
        if known.is_none_or(|known| known.until < cooldown.until) {
            self.cooldown.set(Some(cooldown));
        }
        known.is_none_or(|known| known.received_at + LOG_INTERVAL <= cooldown.received_at)
    }

    /// Whether the replica has said anything.
    pub fn has_any(&self) -> bool {
        self.has_any_to_share() || self.cooldown.get().is_some()
    }

    /// Whether it has said anything that other daemons are to know: a rest is asked of one.
    pub fn has_any_to_share(&self) -> bool {
        self.limit().is_some() || self.has_announced_leaving()
    }

    /// The latest notice of a limit, or of its end.
    pub fn limit_notice(&self) -> Option<LimitNotice> {
        self.limit.get()
    }

    /// Why the replica gets no request at `now`; of two causes the one that holds longer.
    pub fn pause(&self, now: Instant) -> Option<Pause> {
        let pauses = self.limit_pause().into_iter().chain(self.cooldown_pause());
        let pauses = pauses.filter(|pause| now < pause.until);
        pauses.max_by_key(|pause| pause.until)
    }

    /// Whether the replica wants no requests from this daemon at `now`.
    pub fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_pause().is_some_and(|pause| now < pause.until)
    }

    fn limit_pause(&self) -> Option<Pause> {
        let limit = self.limit.get()?;
        Some(Pause {
            cause: PauseCause::Limit(limit.rate?),
            said_at: limit.received_at,
            until: self.permit_retry_at.get()?,
        })
    }

    fn cooldown_pause(&self) -> Option<Pause> {
        let cooldown = self.cooldown.get()?;
        Some(Pause {
            cause: PauseCause::Cooldown,
            said_at: cooldown.received_at,
            until: cooldown.until,
        })
    }

    /// Tells that the replica `id` was passed over, once a second at the most.
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
            now.saturating_duration_since(pause.said_at),
            pause.until.saturating_duration_since(now)
        );
    }

    /// Takes in that no permit was given, and that it is worth asking again after `wait`; `random_fraction`, from 0 to 1, keeps daemons that
    /// were denied together from coming back together.
    pub fn pause_for_permits(&self, wait: Duration, random_fraction: f64) {
        let wait = wait.max(MIN_PERMIT_PAUSE);
        let wait = wait + wait.mul_f64(PAUSE_JITTER * random_fraction);
        self.permit_retry_at.set(Some(Instant::now() + wait));
    }

    /// Takes in what an answer says of the limit; true where another one is in force now.
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
