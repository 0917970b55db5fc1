//! Backoff between calls to a store that does not answer, and the end of that backoff.
//!
//! All gateways keep calling a store that is down, and each call is charged for, so the delays grow. The first gateway whose
//! call succeeds announces that to all others, which ends their delays and repeats their calls that are still pending.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;

/// Delay after the first failed call; it doubles with each further consecutive failure.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum time from the start of one call to the start of the next: a gateway that the others can't reach finds out by itself
/// that the store is back, with a second left to catch up before it must be in touch again (`contactMs`, 3 s).
const MAX_BACKOFF: Duration = Duration::from_millis(1800);

/// The delay after `failures` consecutive failed calls.
pub fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF)
}

/// The delay after `failures` consecutive failed calls, the last of which took `took`. That time is part of the delay: a store
/// that came back just after the call started never answers it.
pub fn backoff_after_call(failures: u32, took: Duration) -> Duration {
    backoff_after(failures)
        .saturating_sub(took)
        .max(MIN_BACKOFF)
}

/// Delay of the tasks that follow objects while the reader of the configuration finds the store down: only that reader probes
/// whether the store answers again, which ends this delay.
const FOLLOWER_BACKOFF: Duration = Duration::from_secs(4);

/// How long after a failed call a pending answer of the store may turn out to be lost: a little longer than a watch waits
/// (16.5 s).
const LOST_ANSWER_WINDOW: Duration = Duration::from_secs(18);

/// Whether the store is down, with notifications for the tasks that wait for it.
#[derive(Debug, Default)]
pub struct StoreOutage {
    is_active: Cell<bool>,
    recovered: Notify,
    ended: Notify,
    failed_call_started_at: Cell<Option<Instant>>,
    failed_list_started_at: Cell<Option<Instant>>,
}

impl StoreOutage {
    /// Records that the configuration could not be read.
    pub fn begin(&self) {
        self.is_active.set(true);
    }

    /// Records that the configuration was read or that another gateway announced the store's return; every wait ends.
    pub fn end(&self) {
        if self.is_active.replace(false) {
            self.ended.notify_waiters();
        }
        self.recovered.notify_waiters();
    }

    /// Whether the last read of the configuration failed and no gateway has announced the store's return since.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// When the store was last seen to be down, if this gateway has not seen the end of the outage yet: the start of the last
    /// failed call. Such a call may stay pending after the store is back, so its end proves nothing.
    pub fn last_seen_down_at(&self) -> Option<Instant> {
        let failed_call_started_at = self.failed_call_started_at.get();
        failed_call_started_at.filter(|_| self.is_active.get())
    }

    /// Waits until an outage ends that this gateway has seen itself. Calls that are still pending from before may never be
    /// answered: a connection on which an answer was lost delivers nothing more.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Records the failure of a call that started at `started_at`.
    pub fn note_failure(&self, started_at: Instant) {
        let latest = self.failed_call_started_at.get().max(Some(started_at));
        self.failed_call_started_at.set(latest);
    }

    /// When this gateway's own last failed list started. Other failures are weaker evidence: a watch may be cut off at any time,
    /// and a store that is up refuses calls beyond its rate.
    pub fn list_failed_at(&self) -> Option<Instant> {
        self.failed_list_started_at.get()
    }

    /// Records the failure of a list that started at `started_at`.
    pub fn note_failed_list(&self, started_at: Instant) {
        let latest = self.failed_list_started_at.get().max(Some(started_at));
        self.failed_list_started_at.set(latest);
    }

    /// Whether a call failed so recently that pending answers may be lost.
    pub fn had_recent_failure(&self, now: Instant) -> bool {
        let started_at = self.failed_call_started_at.get();
        started_at.is_some_and(|started_at| {
            now.saturating_duration_since(started_at) < LOST_ANSWER_WINDOW
        })
    }

    /// The delay of a task that follows objects after `failures` consecutive failed lists.
    pub fn follower_backoff(&self, failures: u32) -> Duration {
        match self.is_active.get() {
            true => FOLLOWER_BACKOFF,
            false => backoff_after(failures),
        }
    }

    /// Waits for `pause`, or until the store answers again.
    pub async fn wait(&self, pause: Duration) {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.recovered.notified() => {}
        }
    }

    /// Waits for the delay of a task that follows objects during an outage, or until the store answers again.
    pub async fn wait_as_follower(&self) {
        self.wait(FOLLOWER_BACKOFF).await;
    }

    /// Makes a call, and repeats it if the store's return is announced meanwhile: the first call may have been sent while the
    /// store was down, and may never be answered. Returns the start of the call that gave the result.
    pub async fn call<R, F: Future<Output = R>>(&self, call: impl Fn() -> F) -> (Instant, R) {
        let started_at = Instant::now();
        tokio::select! {
            result = call() => (started_at, result),
            () = self.recovered.notified() => (Instant::now(), call().await),
        }
    }
}
