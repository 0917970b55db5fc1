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
pub(super) const MIN_RESTART_TIME: Duration = Duration::from_millis(400);

/// Lives of which it is remembered which came next: as many as there are ends that are remembered.
const MAX_INCARNATIONS: usize = 2048;

/// Strikes that wait until it is known which life they are of, for the tens of milliseconds that news of it need: a replica runs some
/// dozen requests at once, and few start again at one moment.
const MAX_PENDING_STRIKES: usize = 256;

/// What followed a life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Successor {
    /// Another life under the same id.
    Incarnation(u64),
    /// None: its entry is gone. What runs at its address by now has another id.
    Removed,
}

/// A strike whose life is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingStrike {
    pub(super) fingerprint: Fingerprint,
    /// Under the name of a life that had ended before.
    pub(super) strike: Strike,
    pub(super) role: Role,
}

/// The lives of replicas, by their digests.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    successors: HashMap<u64, Successor>,
    /// Those in `successors`, the ones heard of last at the end.
    insertion_order: VecDeque<u64>,
    pending: VecDeque<PendingStrike>,
}

impl Incarnations {
    /// Takes in what followed a life; the strikes that waited for that.
    pub(super) fn note_successor(
        &mut self,
        before: u64,
        successors: Successor,
    ) -> Vec<PendingStrike> {
        if self.successors.insert(before, successors).is_none() {
            self.insertion_order.push_back(before);
        }
        if self.insertion_order.len() > MAX_INCARNATIONS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.successors.remove(&oldest);
        }
        let (named, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.strike.replica == before);
        self.pending = pending;
        Vec::from(named)
    }

    /// What followed this life, where it was heard of.
    pub(super) fn successor(&self, incarnation: u64) -> Option<Successor> {
        self.successors.get(&incarnation).copied()
    }

    /// Keeps a strike until its life is heard of; the oldest ones are dropped where too many wait.
    pub(super) fn defer(&mut self, pending: PendingStrike) {
        self.pending.push_back(pending);
        if self.pending.len() > MAX_PENDING_STRIKES {
            log::warn!(
                "dropping the oldest pending strike: more than {MAX_PENDING_STRIKES} strikes wait for news of replica restarts"
            );
            self.pending.pop_front();
        }
    }
}
