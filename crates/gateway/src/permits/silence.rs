//! Which issuers of permits don't answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

/// How long an answer is waited for: a round trip between zones takes 3 ms, and a machine with 0.12 of a core may be some
/// ten milliseconds behind.
pub const PATIENCE: Duration = Duration::from_millis(100);

/// The first pause after which a silent issuer is asked again; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// The longest pause: machines that are gone for good stay listed.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// The pause between two questions that are only to find out whether a daemon is there.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Questions that were not answered since the last answer.
#[derive(Debug)]
struct Unanswered {
    first_at: Instant,
    last_at: Instant,
    /// Questions after the first that were sent once it was taken for silent.
    again: u32,
}

impl Unanswered {
    fn silence(&self, now: Instant) -> Option<Duration> {
        let silence = now.saturating_duration_since(self.first_at);
        (silence >= PATIENCE).then_some(silence)
    }

    fn pause(&self) -> Duration {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.again.min(5));
        pause.min(LONGEST_PAUSE)
    }
}

/// The daemons with unanswered questions, by the digest of their names.
#[derive(Debug, Default)]
pub struct SilentIssuers {
    unanswered: RefCell<HashMap<u64, Unanswered>>,
}

impl SilentIssuers {
    /// Takes in that a daemon is sent a question.
    pub fn note_question(&self, daemon: u64, now: Instant) {
        let mut unanswered = self.unanswered.borrow_mut();
        let questions = unanswered.entry(daemon).or_insert(Unanswered {
            first_at: now,
            last_at: now,
            again: 0,
        });
        if questions.silence(now).is_some() {
            questions.again = questions.again.saturating_add(1);
        }
        questions.last_at = now;
    }

    /// Takes in that a daemon has answered.
    pub fn note_answer(&self, daemon: u64) {
        self.unanswered.borrow_mut().remove(&daemon);
    }

    /// Whether a daemon is passed over.
    pub fn is_silent(&self, daemon: u64, now: Instant) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered.get(&daemon).is_some_and(|questions| {
            let is_paused = now < questions.last_at + questions.pause();
            questions.silence(now).is_some() && is_paused
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
            .is_none_or(|questions| now >= questions.last_at + PROBE_PAUSE)
    }
}
