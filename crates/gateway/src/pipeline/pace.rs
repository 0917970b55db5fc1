//! How a stream's events came: what makes an answer late, for the log line at its end.

use std::time::Duration;

use driftspring_clock::Instant;

/// When the events of one stream were passed on.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamTiming {
    first_event_after: Option<Duration>,
    last_at: Option<Instant>,
    longest_pause: Duration,
}

impl StreamTiming {
    /// Notes that events are passed on at `now`, of a request that arrived at `arrived_at`.
    pub fn record_events(&mut self, arrived_at: Instant, now: Instant) {
        if let Some(last) = self.last_at {
            let pause = now.saturating_duration_since(last);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.first_event_after
            .get_or_insert_with(|| now.saturating_duration_since(arrived_at));
        self.last_at = Some(now);
    }

    /// The time from the request's arrival to its first event; none before it.
    pub fn first_event_after(&self) -> Option<Duration> {
        self.first_event_after
    }

    /// The longest time between two events that were passed on.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }
}
