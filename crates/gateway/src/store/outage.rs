//! The pause between calls to a store that does not answer, and its end.
//!
//! Every daemon calls a store that is down, and each call is paid for, so the pauses grow. Whoever finds that
//! it answers again tells all others, so that these wait no longer: neither in a pause nor for the answer of
//! a call that was sent before.

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

/// Wakes the tasks that wait for a store that is down.
#[derive(Debug, Default)]
pub struct StoreOutage {
    answers: Notify,
}

impl StoreOutage {
    /// The store answers again: every wait ends.
    pub fn is_over(&self) {
        self.answers.notify_waiters();
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
