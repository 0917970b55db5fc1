//! The streams that are expected to run at a replica, and how much it has prefilled recently, for all gateways together.
//!
//! Own streams are counted while they are open, so one that ends early or takes longer than expected is counted
//! correctly. Streams of other gateways are reported when they are sent; nobody reports their end, so each counts until
//! its expected end. A lost report only makes the count too low for the time of one stream.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use driftspring_clock::Instant;

use crate::interference::DecayedSum;

/// Maximum number of streams of other gateways that are tracked per replica: twice the 32 slots of the largest known
/// replicas. Ten thousand replicas with so many take 10 MB.
pub const MAX_TRACKED_STREAMS: usize = 64;

/// Maximum time for which a stream of another gateway counts, whatever it reports.
pub const MAX_STREAM_TIME: Duration = Duration::from_secs(30);

/// Time over which the prefill share is averaged: about as long as a short stream runs (0.35 s alone, several times
/// that beside prefills).
const PREFILL_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// The running streams and the recent prefill of one replica.
#[derive(Debug)]
pub struct RunningWork {
    own_streams: Cell<u32>,
    /// Expected ends of the streams of other gateways.
    expected_ends: RefCell<Vec<Instant>>,
    prefill: Cell<DecayedSum>,
}

impl Default for RunningWork {
    fn default() -> Self {
        Self {
            own_streams: Cell::new(0),
            expected_ends: RefCell::default(),
            prefill: Cell::new(DecayedSum::new(PREFILL_TIME_CONSTANT)),
        }
    }
}

impl RunningWork {
    /// Records a stream that another gateway sent at `now`, and that is expected to run for `time`.
    pub fn record_reported_stream(&self, time: Duration, now: Instant) {
        let ends_at = now + time.min(MAX_STREAM_TIME);
        let mut ends = self.expected_ends.borrow_mut();
        ends.retain(|end| *end > now);
        if ends.len() < MAX_TRACKED_STREAMS {
            ends.push(ends_at);
            return;
        }
        // The stream that ends first matters least.
        if let Some(earliest) = ends.iter_mut().min()
            && *earliest < ends_at
        {
            *earliest = ends_at;
        }
    }

    /// Records that the replica was given something that takes `time` to prefill.
    pub fn record_prefill(&self, time: Duration, now: Instant) {
        let mut prefill = self.prefill.get();
        prefill.add(time, now);
        self.prefill.set(prefill);
    }

    /// Counts one more open stream of this gateway.
    pub fn begin_own_stream(&self) {
        self.own_streams.set(self.own_streams.get() + 1);
    }

    /// Counts one open stream of this gateway less.
    pub fn end_own_stream(&self) {
        let open = self.own_streams.get();
        self.own_streams.set(open.saturating_sub(1));
    }

    /// Open streams of this gateway.
    pub fn own_streams(&self) -> u32 {
        self.own_streams.get()
    }

    /// Streams that are expected to run at `now`, for all gateways together.
    pub fn running_streams(&self, now: Instant) -> f64 {
        let mut ends = self.expected_ends.borrow_mut();
        ends.retain(|end| *end > now);
        if ends.is_empty() {
            // Frees the memory of a replica that gets no streams any more.
            *ends = Vec::new();
        }
        f64::from(self.own_streams()) + ends.len() as f64
    }

    /// Share of the recent time that the replica spent prefilling; above 1 if it was given more than it can prefill.
    pub fn prefill_share(&self, now: Instant) -> f64 {
        self.prefill.get().share(now)
    }
}
