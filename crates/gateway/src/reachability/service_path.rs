//! The path of this gateway to the replicas of one service, as far as answers and probes show it.
//!
//! Any byte from a replica of the service proves that its path is there. Failed connections, lost answers and silence
//! while requests are open only raise doubt, since a replica may be at fault; then several replicas are probed on new
//! connections. The path counts as lost at once if all of them refuse, and if none of them answers for
//! [`UNANSWERED_LIMIT`]: sound replicas may be silent for a second or so, all of a service at once too. It counts as back
//! once one answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;

/// How long every replica of a service must be silent while requests are open before the path is in doubt.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// How long no probe must be answered, where some are not refused either, before the path counts as lost. With
/// [`SILENCE_LIMIT`] and the time to notice it, less than the 3 s after which a cut must be known.
pub const UNANSWERED_LIMIT: Duration = Duration::from_secs(2);

/// Minimum time between a round of probes that was answered and the next one: a replica that fails raises doubt again
/// and again.
pub const CONFIRMED_INTERVAL: Duration = Duration::from_secs(1);

/// How recent an answer must be to show that the connections still carry answers. Sound replicas may be silent on open
/// connections for as long as on new ones.
const LIVE_ANSWER_AGE: Duration = SILENCE_LIMIT.saturating_add(UNANSWERED_LIMIT);

/// How soon a loss after the previous one counts as flapping.
const FLAP_WINDOW: Duration = Duration::from_secs(10);

/// Consecutive answered rounds that are required to use a flapping path again; one otherwise.
const ROUNDS_AFTER_FLAP: u32 = 3;

/// The results of one round of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResults {
    /// Number of replicas that were probed.
    pub probed: usize,
    /// Number of these that answered.
    pub answered: usize,
    /// Number of these whose connections were refused or ended.
    pub refused: usize,
}

/// A change of the state of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// No replica of the service can be reached on a new connection. The field tells whether open connections still
    /// carry answers.
    Lost {
        /// Whether answers have arrived on open connections since the round began.
        has_live_connections: bool,
    },
    /// Replicas can be reached again.
    Regained {
        /// How long the path was lost.
        after: Duration,
    },
}

/// The path to the replicas of one service.
#[derive(Debug, Default)]
pub struct ServicePath {
    /// Requests of this gateway that are open at replicas of the service.
    open: Cell<u32>,
    /// When the last byte arrived from one of them, or requests were opened after none was open.
    active_at: Cell<Option<Instant>>,
    /// When the last byte arrived from one of them.
    answered_at: Cell<Option<Instant>>,
    lost_at: Cell<Option<Instant>>,
    /// When the round began that showed the loss.
    in_doubt_at: Cell<Option<Instant>>,
    regained_at: Cell<Option<Instant>>,
    is_flapping: Cell<bool>,
    answered_rounds: Cell<u32>,
    round_began_at: Cell<Option<Instant>>,
    /// When the first of the rounds began that were not answered while the path is in doubt.
    unanswered_since: Cell<Option<Instant>>,
    confirmed_at: Cell<Option<Instant>>,
    /// Wakes what waits for the end of a round of probes.
    pub(super) round_ended: Notify,
    /// Whether a task watches the path for silence.
    pub(super) is_watched: Cell<bool>,
}

impl ServicePath {
    /// Records that bytes have arrived from a replica.
    pub fn record_answer(&self, now: Instant) {
        self.active_at.set(Some(now));
        self.answered_at.set(Some(now));
    }

    /// Whether every replica has been silent for [`SILENCE_LIMIT`] although requests are open.
    pub fn is_silent(&self, now: Instant) -> bool {
        let is_long_ago = |at: Instant| now.saturating_duration_since(at) >= SILENCE_LIMIT;
        self.open.get() > 0 && self.active_at.get().is_some_and(is_long_ago)
    }

    /// Whether requests are open.
    pub fn is_in_use(&self) -> bool {
        self.open.get() > 0
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> u32 {
        self.open.get()
    }

    /// How long ago the last byte arrived from a replica.
    pub fn last_answer_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.answered_at.get()?))
    }

    /// Whether a replica has answered since `since`.
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answered_at.get().is_some_and(|at| at >= since)
    }

    /// Whether an answer or a probe has shown within `age` before `now` that the path is there.
    pub fn is_proved_within(&self, age: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < age;
        let proofs = [self.answered_at.get(), self.confirmed_at.get()];
        proofs.into_iter().flatten().any(is_recent)
    }

    /// Whether no replica can be reached on a new connection.
    pub fn is_lost(&self) -> bool {
        self.lost_at.get().is_some()
    }

    /// How long the path has been lost; none if it is not.
    pub fn lost_for(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.lost_at.get()?))
    }

    /// Whether the path is lost for new connections, but open ones have carried answers since and still do.
    pub fn has_live_connections(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIVE_ANSWER_AGE;
        let answered_at = self.answered_at.get();
        answered_at > self.in_doubt_at.get() && answered_at.is_some_and(is_recent)
    }

    /// Whether the path is lost for open connections as well.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.is_lost() && !self.has_live_connections(now)
    }

    /// Whether doubt that arises at `now` calls for a round of probes. None is needed while one runs, while the path is
    /// lost and so probed anyway, or soon after one was answered.
    pub fn needs_round(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CONFIRMED_INTERVAL;
        !self.is_probing() && !self.is_lost() && !self.confirmed_at.get().is_some_and(is_recent)
    }

    /// Whether a round of probes would tell more than what is known: none runs, and the path is not lost.
    pub fn needs_confirmation(&self) -> bool {
        !self.is_probing() && !self.is_lost()
    }

    /// Whether a round of probes runs, or follows because the one before was not answered.
    pub fn is_probing(&self) -> bool {
        self.round_began_at.get().is_some() || self.is_in_doubt()
    }

    /// Whether the last round of probes was not answered, but that does not show a loss yet.
    pub fn is_in_doubt(&self) -> bool {
        self.unanswered_since.get().is_some()
    }

    /// Whether a round of probes was answered since `since`.
    pub fn is_confirmed_since(&self, since: Instant) -> bool {
        self.confirmed_at.get().is_some_and(|at| at >= since)
    }

    /// Begins a round of probes.
    pub fn begin_round(&self, now: Instant) {
        self.round_began_at.set(Some(now));
    }

    /// Ends the round; returns the change that it shows. A round without replicas to probe shows nothing.
    pub fn end_round(&self, results: ProbeResults, now: Instant) -> Option<PathChange> {
        let began_at = self.round_began_at.take()?;
        self.round_ended.notify_waiters();
        match (results.answered > 0, results.probed > 0) {
            (true, _) => self.record_answered_round(now),
            (false, true) => {
                let is_refused = results.refused == results.probed;
                self.record_unanswered_round(began_at, is_refused, now)
            }
            (false, false) => {
                self.unanswered_since.set(None);
                None
            }
        }
    }

    fn record_answered_round(&self, now: Instant) -> Option<PathChange> {
        self.confirmed_at.set(Some(now));
        self.unanswered_since.set(None);
        let lost_at = self.lost_at.get()?;
        self.answered_rounds.set(self.answered_rounds.get() + 1);
        let required = match self.is_flapping.get() {
            true => ROUNDS_AFTER_FLAP,
            false => 1,
        };
        if self.answered_rounds.get() < required {
            return None;
        }
        self.lost_at.set(None);
        self.regained_at.set(Some(now));
        self.active_at.set(Some(now));
        let after = now.saturating_duration_since(lost_at);
        Some(PathChange::Regained { after })
    }

    fn record_unanswered_round(
        &self,
        began_at: Instant,
        is_refused: bool,
        now: Instant,
    ) -> Option<PathChange> {
        self.answered_rounds.set(0);
        if self.is_lost() {
            return None;
        }
        let since = self.unanswered_since.get().unwrap_or(began_at);
        if !is_refused && now.saturating_duration_since(since) < UNANSWERED_LIMIT {
            self.unanswered_since.set(Some(since));
            return None;
        }
        self.unanswered_since.set(None);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FLAP_WINDOW;
        self.is_flapping
            .set(self.regained_at.get().is_some_and(is_recent));
        self.lost_at.set(Some(now));
        self.in_doubt_at.set(Some(since));
        Some(PathChange::Lost {
            has_live_connections: self.has_answered_since(since),
        })
    }
}

/// Counts a request as open at the replicas of a service until it is dropped.
#[derive(Debug)]
pub struct PathUse {
    /// The path.
    pub path: Rc<ServicePath>,
}

impl PathUse {
    /// Counts one more open request.
    pub fn begin(path: &Rc<ServicePath>, now: Instant) -> Self {
        if path.open.get() == 0 {
            path.active_at.set(Some(now));
        }
        path.open.set(path.open.get() + 1);
        Self {
            path: Rc::clone(path),
        }
    }
}

impl Drop for PathUse {
    fn drop(&mut self) {
        self.path.open.set(self.path.open.get().saturating_sub(1));
    }
}
