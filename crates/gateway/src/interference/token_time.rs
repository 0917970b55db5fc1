//! The time that the replicas of a service take for one output token, learnt from forwarded streams.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::standstill;

/// Estimate before any stream was forwarded: twice the step time of the engines on the operator's sheets, since steps
/// take longer while the replica prefills.
const INITIAL_MS: f64 = 10.0;

/// Bounds of the estimate.
const MIN_MS: f64 = 1.0;
const MAX_MS: f64 = 200.0;

/// Factor by which one sample changes the estimate: it approaches the median of the samples, halves within 15 samples,
/// and no single sample moves it further, however large it is.
const STEP: f64 = 1.05;

/// Least number of reads with events of a stream from which the time is learnt: with fewer, most of the time lies before
/// the first.
const MIN_READS: u32 = 3;

/// The learnt time per output token.
#[derive(Debug)]
pub struct TokenTime {
    ms: Cell<f64>,
}

impl Default for TokenTime {
    fn default() -> Self {
        Self {
            ms: Cell::new(INITIAL_MS),
        }
    }
}

impl TokenTime {
    /// The time per output token.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.ms.get() / 1000.0)
    }

    /// Records the time per expected token of one stream.
    pub fn record(&self, sample: Duration) {
        let known = self.ms.get();
        let next = match sample.as_secs_f64() * 1000.0 > known {
            true => known * STEP,
            false => known / STEP,
        };
        self.ms.set(next.clamp(MIN_MS, MAX_MS));
    }
}

/// When the events of one stream arrived.
#[derive(Debug, Clone, Copy)]
pub struct StreamPace {
    reads: u32,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    /// Total standstill of this process at the first event, see [`standstill::total`].
    standstill_before: Duration,
}

impl StreamPace {
    /// The pace of a stream without events.
    pub fn new() -> Self {
        Self {
            reads: 0,
            first_at: None,
            last_at: None,
            standstill_before: Duration::ZERO,
        }
    }

    /// Records that events were read at `now`.
    pub fn record_events(&mut self, now: Instant) {
        self.reads += 1;
        self.last_at = Some(now);
        if self.first_at.is_none() {
            self.first_at = Some(now);
            self.standstill_before = standstill::total();
        }
    }

    /// Time per token of a complete stream of about `tokens` tokens. The first read has as many tokens as the others. There
    /// is none for a stream with few events, or if this process stood still meanwhile.
    pub fn time_per_token(&self, tokens: u32) -> Option<Duration> {
        let (first, last) = self.first_at.zip(self.last_at)?;
        if self.reads < MIN_READS || tokens == 0 || standstill::total() > self.standstill_before {
            return None;
        }
        let reads = f64::from(self.reads);
        let tokens_after_first = f64::from(tokens) * (reads - 1.0) / reads;
        let time = last.saturating_duration_since(first);
        Some(time.div_f64(tokens_after_first))
    }
}

impl Default for StreamPace {
    fn default() -> Self {
        Self::new()
    }
}
