//! How long a request will wait at a replica before it begins, estimated from those sent before.
//!
//! Two things are known. Requests that began tell how long they had waited; the mean of these waits and
//! their mean deviation are kept as TCP keeps its round trip time (RFC 6298), so that one sample alone
//! moves the estimate by a part only. Requests that still wait tell a lower bound: the estimate is not
//! below what the second oldest of them has waited by now, so it also grows where a replica falls silent.
//! What was learnt fades while nothing is sent.
//!
//! A replica begins urgent requests first. So a request waits at least as long as more urgent ones did,
//! and nothing follows for it from those that are less urgent.
//!
//! While this process stands still answers wait in its sockets: that time is no wait at a replica.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::queue_state::{QueueState, RecentStarts};
use crate::standstill;

/// How much one sample weighs in the mean and in the deviation. A gateway sees about one begin a second of
/// each replica, and as many from each peer (operator's sheets); with a quarter the last four count most.
const SAMPLE_WEIGHT: f64 = 0.25;

/// How many deviations beyond the mean are expected: the wait that few requests exceed.
const DEVIATIONS: f64 = 2.0;

/// The time in which what was learnt loses half of its weight. A waiting line of seconds is worked off in
/// seconds; and between two samples, about a second, no more than a fifth is lost.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The waits of requests of one urgency.
#[derive(Debug, Clone, Copy)]
struct WaitStatistics {
    mean_s: f64,
    deviation_s: f64,
    at: Instant,
}

impl WaitStatistics {
    /// Nothing but no wait at all.
    fn zero(now: Instant) -> Self {
        Self {
            mean_s: 0.0,
            deviation_s: 0.0,
            at: now,
        }
    }

    /// What is left of it at `now`.
    fn decayed(self, now: Instant) -> Self {
        let silence = now.saturating_duration_since(self.at);
        let left = 0.5_f64.powf(silence.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Self {
            mean_s: self.mean_s * left,
            deviation_s: self.deviation_s * left,
            at: now,
        }
    }

    /// Takes in one wait; what was learnt before has faded by then.
    fn add_sample(&mut self, wait: Duration, now: Instant) {
        *self = self.decayed(now);
        let error_s = wait.as_secs_f64() - self.mean_s;
        self.deviation_s += SAMPLE_WEIGHT * (error_s.abs() - self.deviation_s);
        self.mean_s += SAMPLE_WEIGHT * error_s;
        self.at = now;
    }

    /// The wait that about half of the requests exceed.
    fn typical(self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// The wait that few requests exceed.
    fn expected(self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }
}

/// The waits at one replica.
#[derive(Debug, Default)]
pub struct QueueWaitEstimator {
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// By urgency; 0 goes first.
    statistics: BTreeMap<u8, WaitStatistics>,
    /// Requests that wait, by urgency and the order in which they were sent.
    waiting: BTreeMap<u8, BTreeMap<u64, Instant>>,
    last_id: u64,
    recent_starts: Option<RecentStarts>,
}

impl QueueWaitEstimator {
    /// How long a request of this urgency that is sent at `now` will wait at the most, but for few.
    pub fn expected_wait(&self, urgency: u8, now: Instant) -> Duration {
        self.estimate(urgency, now, WaitStatistics::expected)
    }

    /// How long about half of the requests of this urgency will wait that are sent at `now`.
    pub fn typical_wait(&self, urgency: u8, now: Instant) -> Duration {
        self.estimate(urgency, now, WaitStatistics::typical)
    }

    fn estimate(&self, urgency: u8, now: Instant, of: fn(WaitStatistics) -> Duration) -> Duration {
        let inner = self.inner.borrow();
        let statistics = inner.statistics.range(..=urgency);
        let statistics = statistics
            .map(|(_, statistics)| of(statistics.decayed(now)))
            .max();
        let waiting = inner.waiting.range(..=urgency);
        let waiting = waiting.filter_map(|(_, sent_at)| second_oldest_age(sent_at, now));
        statistics
            .unwrap_or_default()
            .max(waiting.max().unwrap_or_default())
    }

    /// Takes in that a request of this urgency began after `wait`, at this gateway or at another one.
    pub fn record_wait(&self, urgency: u8, wait: Duration, now: Instant) {
        let mut inner = self.inner.borrow_mut();
        let statistics = inner.statistics.entry(urgency);
        let statistics = statistics.or_insert_with(|| WaitStatistics::zero(now));
        statistics.add_sample(wait, now);
    }

    /// The line as a request of this urgency sees it that is sent at `now`.
    pub fn queue_state(&self, urgency: u8, now: Instant) -> QueueState {
        let inner = self.inner.borrow();
        let waiting = inner.waiting.range(..=urgency);
        QueueState {
            queued: waiting.map(|(_, sent_at)| sent_at.len()).sum(),
            recent_starts: inner
                .recent_starts
                .map_or(0.0, |recent_starts| recent_starts.decayed_count(now)),
        }
    }

    fn record_start(&self, now: Instant) {
        let mut inner = self.inner.borrow_mut();
        let recent_starts = inner
            .recent_starts
            .get_or_insert_with(|| RecentStarts::none(now));
        recent_starts.record_start(now);
    }

    fn enter(&self, urgency: u8, now: Instant) -> u64 {
        let mut inner = self.inner.borrow_mut();
        inner.last_id += 1;
        let id = inner.last_id;
        let waiting = inner.waiting.entry(urgency).or_default();
        waiting.insert(id, now);
        id
    }

    fn leave(&self, urgency: u8, id: u64) {
        let mut inner = self.inner.borrow_mut();
        if let Some(waiting) = inner.waiting.get_mut(&urgency) {
            waiting.remove(&id);
        }
    }
}

/// How long the second oldest of the requests that wait has done so: one alone may be lost.
fn second_oldest_age(sent_at: &BTreeMap<u64, Instant>, now: Instant) -> Option<Duration> {
    let second = sent_at.values().nth(1)?;
    Some(now.saturating_duration_since(*second))
}

/// A request that waits at a replica, until it begins or is dropped. One that is dropped before it began, for
/// whatever reason, tells that it would have waited longer.
#[derive(Debug)]
pub struct QueuedRequest {
    estimator: Rc<QueueWaitEstimator>,
    urgency: u8,
    id: u64,
    sent_at: Instant,
    /// How long this process had stood still in all when it was sent.
    standstill_before: Duration,
    /// What was expected when it was sent.
    expected: Duration,
    has_ended: bool,
}

impl QueuedRequest {
    /// A request that is sent at `now`.
    pub fn begin(estimator: &Rc<QueueWaitEstimator>, urgency: u8, now: Instant) -> Self {
        let expected = estimator.expected_wait(urgency, now);
        Self {
            id: estimator.enter(urgency, now),
            estimator: Rc::clone(estimator),
            urgency,
            sent_at: now,
            standstill_before: standstill::total(),
            expected,
            has_ended: false,
        }
    }

    /// What was expected when it was sent.
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// Takes in that it has begun; returns what became of the estimate.
    pub fn record_start(mut self, now: Instant) -> MeasuredWait {
        self.has_ended = true;
        let wait = now.saturating_duration_since(self.sent_at);
        self.record_own_wait(wait, now);
        self.estimator.record_start(now);
        MeasuredWait {
            wait,
            expected: self.expected,
        }
    }

    /// Takes in that it was given up at `now` before it had begun. Only where it had waited longer than was
    /// expected something is learnt.
    pub fn abandon(mut self, now: Instant) {
        self.end_before_start(now);
    }

    fn end_before_start(&mut self, now: Instant) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let wait = now.saturating_duration_since(self.sent_at);
        if wait > self.expected {
            self.record_own_wait(wait, now);
        }
    }

    /// Takes in its wait. Where this process has stood still meanwhile it may have ended at the replica at any time of that: only
    /// that it was longer than expected is learnt then.
    fn record_own_wait(&self, wait: Duration, now: Instant) {
        let standstill = standstill::total().saturating_sub(self.standstill_before);
        let min_wait = wait.saturating_sub(standstill);
        if standstill.is_zero() || min_wait > self.expected {
            self.estimator.record_wait(self.urgency, min_wait, now);
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.end_before_start(Instant::now());
        self.estimator.leave(self.urgency, self.id);
    }
}

/// A request that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasuredWait {
    /// How long it waited.
    pub wait: Duration,
    /// How long that was expected to take when it was sent.
    pub expected: Duration,
}
