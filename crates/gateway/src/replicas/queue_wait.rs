//! Estimates how long a request will be queued at a replica before it starts, from the requests sent before.
//!
//! There are two sources. Requests that have started tell how long they waited
//! ([`driftspring_decisions::wait_statistics`]). Requests that are still queued give a lower bound: the estimate
//! is never below the present wait of the second oldest of them, so it also grows when a replica stops
//! answering.
//!
//! A replica starts urgent requests first. So a request waits at least as long as more urgent ones did, while
//! less urgent ones say nothing about it.
//!
//! While this process is frozen or its machine suspended, answers wait in its sockets. That time is not counted
//! as a wait at a replica.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::standstill;
use driftspring_clock::Instant;
use driftspring_decisions::queue_state::{QueueState, RecentStarts};
use driftspring_decisions::wait_statistics::WaitStatistics;

/// Estimates the queue waits at one replica.
#[derive(Debug, Default)]
pub struct QueueWaitEstimator {
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// By urgency; 0 is the most urgent.
    statistics: BTreeMap<u8, WaitStatistics>,
    /// Queued requests, by urgency and in the order in which they were sent.
    waiting: BTreeMap<u8, BTreeMap<u64, Instant>>,
    last_id: u64,
    recent_starts: Option<RecentStarts>,
}

impl QueueWaitEstimator {
    /// An upper bound of the wait of a request of this urgency that is sent at `now`, which few requests
    /// exceed.
    pub fn expected_wait(&self, urgency: u8, now: Instant) -> Duration {
        self.estimate(urgency, now, WaitStatistics::expected)
    }

    /// The wait that about half of the requests of this urgency exceed that are sent at `now`.
    pub fn typical_wait(&self, urgency: u8, now: Instant) -> Duration {
        self.estimate(urgency, now, WaitStatistics::typical)
    }

    fn estimate(
        &self,
        urgency: u8,
        now: Instant,
        statistic: fn(WaitStatistics) -> Duration,
    ) -> Duration {
        let inner = self.inner.borrow();
        let statistics = inner.statistics.range(..=urgency);
        let statistics = statistics
            .map(|(_, statistics)| statistic(statistics.decayed(now)))
            .max();
        let waiting = inner.waiting.range(..=urgency);
        let waiting = waiting.filter_map(|(_, sent_at)| second_oldest_age(sent_at, now));
        statistics
            .unwrap_or_default()
            .max(waiting.max().unwrap_or_default())
    }

    /// Records that a request of this urgency started after `wait`, at this gateway or at another one.
    pub fn record_wait(&self, urgency: u8, wait: Duration, now: Instant) {
        let mut inner = self.inner.borrow_mut();
        let statistics = inner.statistics.entry(urgency);
        let statistics = statistics.or_insert_with(|| WaitStatistics::zero(now));
        statistics.add_sample(wait, now);
    }

    /// The queue ahead of a request of this urgency that is sent at `now`.
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

    /// The number of queued requests, and the sum of the times for which they have waited.
    pub fn queued_ages(&self, now: Instant) -> (usize, Duration) {
        let inner = self.inner.borrow();
        let sent_at = inner.waiting.values().flat_map(BTreeMap::values);
        sent_at.fold((0, Duration::ZERO), |(count, sum), sent_at| {
            (count + 1, sum + now.saturating_duration_since(*sent_at))
        })
    }

    fn record_start(&self, now: Instant) {
        let mut inner = self.inner.borrow_mut();
        let recent_starts = inner
            .recent_starts
            .get_or_insert_with(|| RecentStarts::none(now));
        recent_starts.record_start(now);
    }

    fn enqueue(&self, urgency: u8, now: Instant) -> u64 {
        let mut inner = self.inner.borrow_mut();
        inner.last_id += 1;
        let id = inner.last_id;
        let waiting = inner.waiting.entry(urgency).or_default();
        waiting.insert(id, now);
        id
    }

    fn dequeue(&self, urgency: u8, id: u64) {
        let mut inner = self.inner.borrow_mut();
        if let Some(waiting) = inner.waiting.get_mut(&urgency) {
            waiting.remove(&id);
        }
    }
}

/// The age of the second oldest queued request. The oldest alone proves nothing, since it may be lost.
fn second_oldest_age(sent_at: &BTreeMap<u64, Instant>, now: Instant) -> Option<Duration> {
    let second = sent_at.values().nth(1)?;
    Some(now.saturating_duration_since(*second))
}

/// A request that is queued at a replica, until it starts or is dropped. If it is dropped before it starts, for
/// whatever reason, its wait so far counts as a lower bound of the wait.
#[derive(Debug)]
pub struct QueuedRequest {
    estimator: Rc<QueueWaitEstimator>,
    urgency: u8,
    id: u64,
    sent_at: Instant,
    /// Total standstill of this process when the request was sent, see [`standstill::total`].
    standstill_before: Duration,
    /// The wait that was expected when the request was sent.
    expected: Duration,
    has_ended: bool,
}

impl QueuedRequest {
    /// Registers a request that is sent at `now`.
    pub fn begin(estimator: &Rc<QueueWaitEstimator>, urgency: u8, now: Instant) -> Self {
        let expected = estimator.expected_wait(urgency, now);
        Self {
            id: estimator.enqueue(urgency, now),
            estimator: Rc::clone(estimator),
            urgency,
            sent_at: now,
            standstill_before: standstill::total(),
            expected,
            has_ended: false,
        }
    }

    /// The wait that was expected when the request was sent.
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// Records that the request has started. Returns its wait and the estimate for it.
    pub fn record_start(mut self, now: Instant) -> MeasuredWait {
        self.has_ended = true;
        let wait = now.saturating_duration_since(self.sent_at);
        self.record_own_wait(wait, now);
        self.estimator.record_start(now);
        let standstill = standstill::total().saturating_sub(self.standstill_before);
        MeasuredWait {
            wait,
            min_wait: wait.saturating_sub(standstill),
            expected: self.expected,
        }
    }

    /// Records that the request was given up at `now` before it started. Its wait is a sample only if it was
    /// longer than expected.
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

    /// Adds the wait of this request as a sample. If the process stood still in the meantime, the wait may have
    /// ended at the replica at any time of the standstill. Then the standstill is subtracted, and the rest is a
    /// sample only if it is longer than expected.
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
        self.estimator.dequeue(self.urgency, self.id);
    }
}

/// The wait of a request that has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasuredWait {
    /// How long the request was queued.
    pub wait: Duration,
    /// The same without the time in which this process stood still.
    pub min_wait: Duration,
    /// The wait that was expected when the request was sent.
    pub expected: Duration,
}
