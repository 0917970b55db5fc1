//! Which issuers of permits don't answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

/// How long an answer is waited for: a round trip between zones takes 3 ms, and a machine with 0.12 of a core may be some
/// ten milliseconds behind.
pub const PERMIT_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// The first pause after which a silent issuer is asked again; each further one is twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// The longest pause: machines that are gone for good stay listed.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The pause between two questions that are only to find out whether a daemon is there.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Questions that were not answered since the last answer.
#[derive(Debug)]
struct Unanswered {
    first_at: Instant,
    last_at: Instant,
    /// Questions after the first that were sent once it was taken for silent.
    retries: u32,
}

impl Unanswered {
    fn silence(&self, now: Instant) -> Option<Duration> {
        let silence = now.saturating_duration_since(self.first_at);
        (silence >= PERMIT_ANSWER_TIMEOUT).then_some(silence)
    }

    fn pause(&self) -> Duration {
        let pause = INITIAL_BACKOFF.saturating_mul(1 << self.retries.min(5));
        pause.min(MAX_BACKOFF)
    }
}

/// The daemons with unanswered questions, by the digest of their names.
#[derive(Debug, Default)]
pub struct SilentIssuers {
    unanswered: RefCell<HashMap<u64, Unanswered>>,
}

impl SilentIssuers {
    /// Takes in that a daemon is sent a question.
    pub fn record_query(&self, daemon: u64, now: Instant) {
        let mut unanswered = self.unanswered.borrow_mut();
        let queries = unanswered.entry(daemon).or_insert(Unanswered {
            first_at: now,
            last_at: now,
            retries: 0,
        });
        if queries.silence(now).is_some() {
            queries.retries = queries.retries.saturating_add(1);
        }
        queries.last_at = now;
    }

    /// Takes in that a daemon has answered.
    pub fn record_answer(&self, daemon: u64) {
        self.unanswered.borrow_mut().remove(&daemon);
    }

    /// Whether a daemon is passed over.
    pub fn is_silent(&self, daemon: u64, now: Instant) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered.get(&daemon).is_some_and(|queries| {
            let is_paused = now < queries.last_at + queries.pause();
            queries.silence(now).is_some() && is_paused
        })
    }

    /// For how long a daemon has left questions unanswered.
    pub fn silent_for(&self, daemon: u64, now: Instant) -> Option<Duration> {
        self.unanswered.borrow().get(&daemon)?.silence(now)
    }

    /// Whether it is time to find out once more if a daemon is there.
    pub fn may_probe(&self, daemon: u64, now: Instant) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered
            .get(&daemon)
            .is_none_or(|queries| now >= queries.last_at + PROBE_INTERVAL)
    }
}
