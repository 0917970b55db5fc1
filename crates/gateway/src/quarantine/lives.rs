//! Which life of a replica an end is of, where it is told under the name of an earlier one.
//!
//! A daemon names the end of a replica after the life that it knows. One that has not heard yet that the replica started again under
//! its id sends requests to the new life, and names its end after the one before. Those that know of the end before see that
//! the run began after it, and name it after the next life, as soon as they have heard of that one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::ledger::Role;
use super::{Fingerprint, Strike};

/// How long after the end of a replica a run must have begun that is taken for one of its next life. News of ends are under way for up
/// to 0.3 s, so an earlier run may seem to have begun that late; replicas that start again were away for half a second at the
/// least.
pub(super) const LEAST_AWAY: Duration = Duration::from_millis(400);

/// Lives of which it is remembered which came next: as many as there are ends that are remembered.
const MAX_LIVES: usize = 2048;

/// Strikes that wait until it is known which life they are of, for the tens of milliseconds that news of it need: a replica runs some
/// dozen requests at once, and few start again at one moment.
const MAX_WAITING: usize = 256;

/// What followed a life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// Another life under the same id.
    Life(u64),
    /// None: its entry is gone. What runs at its address by now has another id.
    Nothing,
}

/// A strike whose life is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) fingerprint: Fingerprint,
    /// Under the name of a life that had ended before.
    pub(super) strike: Strike,
    pub(super) role: Role,
}

/// The lives of replicas, by their digests.
#[derive(Debug, Default)]
pub(super) struct Lives {
    next: HashMap<u64, Next>,
    /// Those in `next`, the ones heard of last at the end.
    heard: VecDeque<u64>,
    waiting: VecDeque<Waiting>,
}

impl Lives {
    /// Takes in what followed a life; the strikes that waited for that.
    pub(super) fn note_next(&mut self, before: u64, next: Next) -> Vec<Waiting> {
        if self.next.insert(before, next).is_none() {
            self.heard.push_back(before);
        }
        if self.heard.len() > MAX_LIVES
            && let Some(oldest) = self.heard.pop_front()
        {
            self.next.remove(&oldest);
        }
        let (named, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.strike.replica == before);
        self.waiting = waiting;
        Vec::from(named)
    }

    /// What followed this life, where it was heard of.
    pub(super) fn next(&self, life: u64) -> Option<Next> {
        self.next.get(&life).copied()
    }

    /// Keeps a strike until its life is heard of; the oldest ones are dropped where too many wait.
    pub(super) fn wait(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
        if self.waiting.len() > MAX_WAITING {
            log::warn!("a strike is dropped: {MAX_WAITING} wait for news of their replicas");
            self.waiting.pop_front();
        }
    }
}
