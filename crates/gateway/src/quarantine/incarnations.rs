//! Attributes a crash reported under an earlier incarnation of its replica to the right one.
//!
//! A gateway names a crash after the incarnation that it knows. If it has not heard yet that the replica
//! restarted under its id, it sends requests to the new incarnation and attributes its crash to the previous
//! one. Gateways that know of the previous crash see that the run started after it, and attribute the crash to
//! the next incarnation as soon as they have heard of that one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::ledger::Role;
use super::{Fingerprint, Strike};

/// How long after a crash a run must have started to belong to the next incarnation. Reports of crashes are
/// delayed by up to 0.3 s, so an earlier run may seem to have started that late; replicas that restarted were
/// down for at least half a second.
pub(super) const MIN_RESTART_TIME: Duration = Duration::from_millis(400);

/// The number of incarnations whose successors are remembered: as many as there are remembered crashes.
const MAX_INCARNATIONS: usize = 2048;

/// The maximum number of strikes that wait until their incarnation is known, which takes tens of
/// milliseconds. A replica runs some dozen requests at once, and few restart at the same moment.
const MAX_PENDING_STRIKES: usize = 256;

/// What followed an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Successor {
    /// Another incarnation under the same id.
    Incarnation(u64),
    /// Nothing: the entry is gone. What runs at its address now has another id.
    Removed,
}

/// A strike whose incarnation is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingStrike {
    pub(super) fingerprint: Fingerprint,
    /// The strike, under an incarnation that had crashed before.
    pub(super) strike: Strike,
    pub(super) role: Role,
}

/// The successors of replica incarnations, by digest.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    successors: HashMap<u64, Successor>,
    /// The keys of `successors` in order of insertion.
    insertion_order: VecDeque<u64>,
    pending: VecDeque<PendingStrike>,
}

impl Incarnations {
    /// Records what followed an incarnation; returns the strikes that waited for it.
    pub(super) fn note_successor(
        &mut self,
        before: u64,
        successor: Successor,
    ) -> Vec<PendingStrike> {
        if self.successors.insert(before, successor).is_none() {
            self.insertion_order.push_back(before);
        }
        if self.insertion_order.len() > MAX_INCARNATIONS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.successors.remove(&oldest);
        }
        let (attributed, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.strike.replica == before);
        self.pending = pending;
        Vec::from(attributed)
    }

    /// What followed this incarnation, if known.
    pub(super) fn successor(&self, incarnation: u64) -> Option<Successor> {
        self.successors.get(&incarnation).copied()
    }

    /// Keeps a strike until its incarnation is known; the oldest is dropped if too many wait.
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
