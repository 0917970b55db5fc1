//! Whether a replica has gone dark: its machine says nothing any more, and has closed nothing.
//!
//! Nobody is told of such an end. The connections stay as they are until the system gives them up (1.5 s after bytes that
//! were sent, 3 s after the last that came), and requests wait there that could be served elsewhere. What shows it sooner is
//! that no byte comes from the replica, on any connection, while some is due: for several times the usual pause. A
//! replica that loads weights or has a long line says nothing either, so silence alone proves nothing: the replica is then
//! asked for a connection, which its machine accepts whatever the replica does. Each answered question lets the next one
//! come later, since long lines would cost a connection for each of their requests otherwise.
//!
//! The load pattern: a quarter of the replicas crash within a moment, without a word, under full load.

use std::time::Duration;

use driftspring_clock::Instant;

/// How many usual pauses without a byte are silence.
const PAUSES: f64 = 4.0;

/// The shortest silence. Streams pause for up to 0.2 s while a replica reads a prompt (operator's sheets: 7,000 tokens at
/// 38 a millisecond).
const SHORTEST_SILENCE: Duration = Duration::from_millis(400);

/// The longest silence, so that with the question (350 ms) a replica is known to be dark within a second.
const LONGEST_SILENCE: Duration = Duration::from_millis(600);

/// How much one pause weighs in the usual one, as a sample does in TCP's round trip time (RFC 6298).
const PAUSE_WEIGHT: f64 = 0.125;

/// How often the time to the next question doubles at the most: up to 16 times the silence, 4.8 to 9.6 s.
const MOST_DOUBLINGS: u32 = 4;

/// How soon a dark replica is asked again whether it is back.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// What is heard of one replica.
#[derive(Debug, Default)]
pub struct Silence {
    /// Requests that are open there.
    open: u32,
    /// Since when nothing was heard while requests are open.
    quiet_since: Option<Instant>,
    /// The usual pause between two bytes of whatever request.
    usual_pause: Duration,
    /// Questions since the last byte that were answered.
    answered: u32,
    /// Since when it is dark.
    dark_since: Option<Instant>,
    /// When it was asked last.
    asked_at: Option<Instant>,
}

impl Silence {
    /// Takes in that a request is sent there.
    pub fn opened(&mut self, now: Instant) {
        self.open += 1;
        self.quiet_since.get_or_insert(now);
    }

    /// Takes in that a request is over.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.quiet_since = None;
        }
    }

    /// Takes in that bytes came from it; true where it was dark.
    pub fn heard(&mut self, now: Instant) -> bool {
        if let Some(since) = self.quiet_since {
            let pause = now.saturating_duration_since(since);
            self.usual_pause =
                self.usual_pause.mul_f64(1.0 - PAUSE_WEIGHT) + pause.mul_f64(PAUSE_WEIGHT);
            self.quiet_since = Some(now);
        }
        self.answered = 0;
        self.asked_at = None;
        self.dark_since.take().is_some()
    }

    /// Takes in that it is asked for a connection.
    pub fn asked(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }

    /// Takes in that it has answered a question; true where it was dark.
    pub fn answered(&mut self) -> bool {
        self.answered += 1;
        self.dark_since.take().is_some()
    }

    /// Takes in that it did not answer a question that was asked at `asked_at`; true where that shows that it is dark. Bytes
    /// that came since then say otherwise.
    pub fn unanswered(&mut self, asked_at: Instant, now: Instant) -> bool {
        let has_spoken = self.quiet_since.is_some_and(|since| since > asked_at);
        if has_spoken || self.dark_since.is_some() {
            return false;
        }
        self.asked_at = Some(asked_at);
        self.dark_since = Some(now);
        true
    }

    /// Whether it is dark.
    pub fn is_dark(&self) -> bool {
        self.dark_since.is_some()
    }

    /// How long nothing may be heard before it is asked.
    pub fn patience(&self) -> Duration {
        let usual = self.usual_pause.mul_f64(PAUSES);
        let shortest = usual.clamp(SHORTEST_SILENCE, LONGEST_SILENCE);
        shortest * 2_u32.pow(self.answered.min(MOST_DOUBLINGS))
    }

    /// When it is to be asked next; nothing where it has nothing to say and isn't dark.
    pub fn ask_at(&self) -> Option<Instant> {
        if self.dark_since.is_some() {
            return self.asked_at.map(|asked_at| asked_at + ASK_AGAIN);
        }
        let quiet_since = self.quiet_since?;
        let from = self
            .asked_at
            .map_or(quiet_since, |asked_at| asked_at.max(quiet_since));
        Some(from + self.patience())
    }
}
