//! Timing of a stream's events, logged at its end: shows what made an answer late.

use std::time::Duration;

use driftspring_clock::Instant;

/// Times at which the events of one stream were forwarded.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamTiming {
    first_event_after: Option<Duration>,
    last_at: Option<Instant>,
    longest_pause: Duration,
}

impl StreamTiming {
    /// Records that events were forwarded at `now`; the request arrived at `arrived_at`. Returns the time since the events
    /// before, zero for the first.
    pub fn record_events(&mut self, arrived_at: Instant, now: Instant) -> Duration {
        let pause = match self.last_at {
            Some(last) => now.saturating_duration_since(last),
            None => Duration::ZERO,
        };
        self.longest_pause = self.longest_pause.max(pause);
        self.first_event_after
            .get_or_insert_with(|| now.saturating_duration_since(arrived_at));
        self.last_at = Some(now);
        pause
    }

    /// Time from the request's arrival to its first event, if there was one.
    pub fn first_event_after(&self) -> Option<Duration> {
        self.first_event_after
    }

    /// Longest time between two forwarded events.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }
}
