//! Engines that fail are left alone for a while.

use std::time::Duration;

use crate::sync::{AtomicU64, Ordering};

/// Failures in a row that open the breaker.
pub const FAILURES_TO_OPEN: u64 = 3;

/// How long the breaker stays open the first time; each further time in a row twice as long.
pub const FIRST_OPEN: Duration = Duration::from_millis(500);

/// How long the breaker stays open at the most.
pub const LONGEST_OPEN: Duration = Duration::from_secs(16);

/// After this time a probe that gave no result is taken for lost, and another one allowed.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Doublings of [`FIRST_OPEN`] that reach [`LONGEST_OPEN`].
const MAX_DOUBLINGS: u64 = 5;

/// What a breaker allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Requests pass.
    Closed,
    /// One request may pass to find out whether the engine is back.
    ProbeDue,
    /// Nothing passes for so long.
    Open {
        /// Until the next probe.
        for_time: Duration,
    },
}

/// The breaker of one engine. Times are milliseconds on a clock of the caller's choice that never
/// goes back, such as since the daemon's start.
///
/// Counts only failures to connect and timeouts. An engine that answers, be it by a refusal, is well
/// as far as the breaker goes.
#[derive(Debug, Default)]
pub struct EngineBreaker {
    packed: AtomicU64,
}

/// The breaker's whole state; it fits into one word, so that each change is one compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct State {
    /// Failures in a row while closed.
    failures: u64,
    /// Times in a row that the breaker has opened; 0 while closed.
    openings: u64,
    /// Whether a probe was let through whose result is not known yet.
    probing: bool,
    /// When the next probe is due; no meaning while closed.
    probe_at_ms: u64,
}

const TIME_BITS: u32 = 48;
const COUNT_BITS: u32 = 7;
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;
const FAILURES_SHIFT: u32 = TIME_BITS;
const OPENINGS_SHIFT: u32 = FAILURES_SHIFT + COUNT_BITS;
const PROBING_SHIFT: u32 = OPENINGS_SHIFT + COUNT_BITS;

impl State {
    fn unpack(packed: u64) -> Self {
        Self {
            probe_at_ms: packed & ((1 << TIME_BITS) - 1),
            failures: (packed >> FAILURES_SHIFT) & MAX_COUNT,
            openings: (packed >> OPENINGS_SHIFT) & MAX_COUNT,
            probing: (packed >> PROBING_SHIFT) & 1 == 1,
        }
    }

    fn pack(self) -> u64 {
        let time = self.probe_at_ms & ((1 << TIME_BITS) - 1);
        let failures = self.failures.min(MAX_COUNT) << FAILURES_SHIFT;
        let openings = self.openings.min(MAX_COUNT) << OPENINGS_SHIFT;
        let probing = u64::from(self.probing) << PROBING_SHIFT;
        time | failures | openings | probing
    }

    fn is_closed(self) -> bool {
        self.openings == 0
    }

    fn opened(self, now_ms: u64) -> Self {
        let open_for = FIRST_OPEN.saturating_mul(1 << self.openings.min(MAX_DOUBLINGS));
        Self {
            failures: 0,
            openings: self.openings + 1,
            probing: false,
            probe_at_ms: now_ms + open_for.min(LONGEST_OPEN).as_millis() as u64,
        }
    }

    /// The state after a failure; nothing where it changes nothing: while the breaker is open and no
    /// probe runs, a failure can only come from a request that was sent before.
    fn after_failure(self, now_ms: u64) -> Option<Self> {
        if !self.is_closed() {
            return self.probing.then(|| self.opened(now_ms));
        }
        let failures = self.failures + 1;
        if failures >= FAILURES_TO_OPEN {
            return Some(self.opened(now_ms));
        }
        Some(Self { failures, ..self })
    }

    /// The state in which a probe runs; nothing where none is due.
    fn with_probe(self, now_ms: u64) -> Option<Self> {
        let is_due = !self.is_closed() && now_ms >= self.probe_at_ms;
        is_due.then(|| Self {
            probing: true,
            probe_at_ms: now_ms + PROBE_TIMEOUT.as_millis() as u64,
            ..self
        })
    }
}

impl EngineBreaker {
    /// A closed breaker.
    pub fn new() -> Self {
        Self::default()
    }

    /// What the breaker allows at `now_ms`; changes nothing.
    pub fn state(&self, now_ms: u64) -> BreakerState {
        let state = State::unpack(self.packed.load(Ordering::Acquire));
        if state.is_closed() {
            return BreakerState::Closed;
        }
        match state.probe_at_ms.saturating_sub(now_ms) {
            0 => BreakerState::ProbeDue,
            wait => BreakerState::Open {
                for_time: Duration::from_millis(wait),
            },
        }
    }

    /// Whether a request may pass at `now_ms`. While the breaker is open, one request passes when a
    /// probe is due.
    pub fn try_pass(&self, now_ms: u64) -> bool {
        let begin_probe = |packed| State::unpack(packed).with_probe(now_ms).map(State::pack);
        if State::unpack(self.packed.load(Ordering::Acquire)).is_closed() {
            return true;
        }
        self.packed
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, begin_probe)
            .is_ok()
    }

    /// Takes in that the engine answered: the breaker closes.
    pub fn record_success(&self) {
        if self.packed.load(Ordering::Acquire) != 0 {
            self.packed.store(0, Ordering::Release);
        }
    }

    /// Takes in that the engine could not be reached or did not answer in time. True where this
    /// opened the breaker.
    pub fn record_failure(&self, now_ms: u64) -> bool {
        let count = |packed| State::unpack(packed).after_failure(now_ms).map(State::pack);
        let before = self
            .packed
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, count);
        before.is_ok_and(|before| {
            let before = State::unpack(before);
            before.is_closed() && before.failures + 1 >= FAILURES_TO_OPEN
        })
    }
}
