//! The pause between calls to a store that does not answer, and its end.
//!
//! Every daemon calls a store that is down, and each call is paid for, so the pauses grow. The first daemon
//! whose call succeeds announces that to all others. That ends their pauses, and repeats calls that were sent
//! before and still wait for an answer.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;

/// The pause after the first call that failed; each further one in a row twice as long.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// The longest time from the beginning of one call to that of the next: within it a daemon that the others can't
/// reach finds out for itself, with a second left to catch up before it is in touch again (`contactMs`, 3 s).
const MAX_BACKOFF: Duration = Duration::from_millis(1800);

/// The pause after so many calls in a row that failed.
pub fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF)
}

/// The pause after so many calls in a row that failed, the last of which `took` so long. The time that a call
/// hung is part of the pause: a store that came back just after the call began never answering it.
pub fn backoff_after_call(failures: u32, took: Duration) -> Duration {
    backoff_after(failures)
        .saturating_sub(took)
        .max(MIN_BACKOFF)
}

/// How long a task waits that follows objects, while the reader of the configuration finds the store down: that
/// one alone looks whether it answering again, which ends this pause.
const FOLLOWER_BACKOFF: Duration = Duration::from_secs(4);

/// For how long after a call that failed an answer of the store may be lost that still is waited for: a little
/// longer than a watch waits (16.5 s).
const LOST_ANSWER_WINDOW: Duration = Duration::from_secs(18);

/// Whether the store is down, and the tasks that wait for it.
#[derive(Debug, Default)]
pub struct StoreOutage {
    is_active: Cell<bool>,
    answering: Notify,
    ended: Notify,
    failed_call_began: Cell<Option<Instant>>,
    failed_list_began: Cell<Option<Instant>>,
}

impl StoreOutage {
    /// The configuration could not be read.
    pub fn begin(&self) {
        self.is_active.set(true);
    }

    /// The configuration was read, or another daemon announced that the store answering: every wait ends.
    pub fn end(&self) {
        if self.is_active.replace(false) {
            self.ended.notify_waiters();
        }
        self.answering.notify_waiters();
    }

    /// Whether the last read of the configuration failed, and nobody has announced since that the store answering.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// When the store was last seen to be down, where this daemon has seen no end of that yet: as the last call
    /// began that failed. Such a call may hang on after the store is back, and prove nothing later.
    pub fn last_seen_down_at(&self) -> Option<Instant> {
        let failed_call_began = self.failed_call_began.get();
        failed_call_began.filter(|_| self.is_active.get())
    }

    /// Waits until an outage ends that this daemon has seen itself. What was asked before and still waits may
    /// never be answered: a connection on which an answer was lost says nothing more.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Takes in that a call failed which began at `began`.
    pub fn note_failure(&self, began: Instant) {
        let latest = self.failed_call_began.get().max(Some(began));
        self.failed_call_began.set(latest);
    }

    /// When the last list began that the store failed this daemon itself. Other calls say less: a watch may be cut
    /// at any time, and a store that is there refuses calls beyond its rate.
    pub fn list_failed_at(&self) -> Option<Instant> {
        self.failed_list_began.get()
    }

    /// Takes in that a list failed which began at `began`.
    pub fn note_failed_list(&self, began: Instant) {
        let latest = self.failed_list_began.get().max(Some(began));
        self.failed_list_began.set(latest);
    }

    /// Whether a call failed so lately that answering may be lost which are still waited for.
    pub fn had_recent_failure(&self, now: Instant) -> bool {
        let began = self.failed_call_began.get();
        began.is_some_and(|began| now.saturating_duration_since(began) < LOST_ANSWER_WINDOW)
    }

    /// The pause of a task that follows objects after so many lists in a row that failed.
    pub fn follower_backoff(&self, failures: u32) -> Duration {
        match self.is_active.get() {
            true => FOLLOWER_BACKOFF,
            false => backoff_after(failures),
        }
    }

    /// Waits for a while, or until the store answering again.
    pub async fn wait(&self, pause: Duration) {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.answering.notified() => {}
        }
    }

    /// Waits for as long as a task that follows objects, or until the store answering again.
    pub async fn wait_as_follower(&self) {
        self.wait(FOLLOWER_BACKOFF).await;
    }

    /// Makes a call, and makes it anew where the store answering again meanwhile: the first one may have been
    /// sent to a store that was down, which never answering it. Returns when the one began whose result it is.
    pub async fn call<R, F: Future<Output = R>>(&self, call: impl Fn() -> F) -> (Instant, R) {
        let began = Instant::now();
        tokio::select! {
            result = call() => (began, result),
            () = self.answering.notified() => (Instant::now(), call().await),
        }
    }
}
