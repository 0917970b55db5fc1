//! What goes wrong in a run.

use std::time::Duration;

use serde::Serialize;

use crate::workload::Workload;

/// A scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Scenario {
    /// Nothing fails; hot prefixes last 30 s.
    Calm,
    /// Every 5 s an engine crashes and comes back empty after 1 s.
    Crashes,
    /// Hot prefixes last 5 s.
    HotShift,
    /// A fifth of the cache events is lost, the others are 1 s late.
    LostEvents,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 4] = [Self::Calm, Self::Crashes, Self::HotShift, Self::LostEvents];

    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Crashes => "engine crashes",
            Self::HotShift => "hot prefixes shift",
            Self::LostEvents => "lost events",
        }
    }

    /// The workload under this scenario.
    pub fn applied_to(self, mut workload: Workload) -> Workload {
        if self == Self::HotShift {
            workload.hot.period = Duration::from_secs(5);
        }
        workload
    }

    /// The time between two crashes, if there are any.
    pub fn crash_interval(self) -> Option<Duration> {
        (self == Self::Crashes).then_some(Duration::from_secs(5))
    }

    /// How late cache events come.
    pub fn event_delay(self) -> Duration {
        match self {
            Self::LostEvents => Duration::from_secs(1),
            _ => Duration::from_millis(200),
        }
    }

    /// The share of cache events that never comes.
    pub fn event_loss(self) -> f64 {
        match self {
            Self::LostEvents => 0.2,
            _ => 0.002,
        }
    }
}
