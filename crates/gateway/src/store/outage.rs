//! The pause between calls to a store that does not answer, and its end.
//!
//! Every daemon calls a store that is down, and each call is paid for, so the pauses grow. The first daemon
//! whose call succeeds announces that to all others. That ends their pauses, and repeats calls that were sent
//! before and still wait for an answer.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

/// The pause after the first call that failed; each further one in a row twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause: within it a daemon that the others can't reach finds out for itself.
const LONGEST_PAUSE: Duration = Duration::from_millis(1800);

/// The pause after so many calls in a row that failed.
pub fn pause_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    FIRST_PAUSE
        .saturating_mul(1 << doublings)
        .min(LONGEST_PAUSE)
}

/// How long a task waits that follows objects, while the reader of the configuration finds the store down: that
/// one alone looks whether it answers again, which ends this pause.
const FOLLOWER_PAUSE: Duration = Duration::from_secs(4);

/// Whether the store is down, and the tasks that wait for it.
#[derive(Debug, Default)]
pub struct StoreOutage {
    is_on: Cell<bool>,
    answers: Notify,
}

impl StoreOutage {
    /// The configuration could not be read.
    pub fn begin(&self) {
        self.is_on.set(true);
    }

    /// The configuration was read, or another daemon announced that the store answers: every wait ends.
    pub fn end(&self) {
        self.is_on.set(false);
        self.answers.notify_waiters();
    }

    /// The pause of a task that follows objects after so many lists in a row that failed.
    pub fn follower_pause(&self, failures: u32) -> Duration {
        match self.is_on.get() {
            true => FOLLOWER_PAUSE,
            false => pause_after(failures),
        }
    }

    /// Waits for a while, or until the store answers again.
    pub async fn wait(&self, pause: Duration) {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.answers.notified() => {}
        }
    }

    /// Makes a call, and makes it anew where the store answers again meanwhile: the first one may have been
    /// sent to a store that was down, which never answers it.
    pub async fn call<R, F: Future<Output = R>>(&self, call: impl Fn() -> F) -> R {
        tokio::select! {
            result = call() => result,
            () = self.answers.notified() => call().await,
        }
    }
}
