//! How an epoch is closed before its group is replaced, and how a restarted holder returns to it.

use std::collections::HashMap;

use driftspring_types::{ClaimGroup, DaemonId, Incarnation};

use crate::claimant::majority_of;
use crate::message::{EpochState, HolderStatus};

/// What the sealing of an epoch has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealProgress {
    /// Ask every holder to seal (again).
    Asking,
    /// At one moment a majority was sealed: the epoch can grant nothing more, ever.
    Sealed,
}

/// The sealing of one epoch by the controller that replaces its group.
///
/// A restart makes a holder forget its seal. So each holder is asked twice, the second time after a
/// majority has answered the first: the holders that answer both times from the same life were all
/// sealed at the moment between, and a restarted one returns only through a majority of holders that
/// are active ([`RecoveryRound`]), which no longer exists.
#[derive(Debug)]
pub struct SealRound {
    epoch: u64,
    holders: Vec<DaemonId>,
    first: HashMap<DaemonId, Incarnation>,
    confirmed: usize,
}

impl SealRound {
    /// The sealing of the epoch of `group`, which is the store's present group.
    pub fn new(group: &ClaimGroup) -> Self {
        let holders = group.holders.iter();
        Self {
            epoch: group.epoch,
            holders: holders.map(|member| member.daemon.clone()).collect(),
            first: HashMap::new(),
            confirmed: 0,
        }
    }

    /// The epoch to be sealed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whom to ask.
    pub fn holders(&self) -> &[DaemonId] {
        &self.holders
    }

    /// Takes in the answers of the first asking. True where a majority sealed; else ask again.
    pub fn record_first(&mut self, answers: &[HolderStatus]) -> bool {
        let sealed = answers.iter().filter(|answer| self.is_sealed(answer));
        let lives = sealed.map(|answer| (answer.daemon.clone(), answer.incarnation));
        self.first = lives.collect();
        self.first.len() >= majority_of(self.holders.len())
    }

    /// Takes in the answers of the second asking, sent after all answers of the first had come.
    pub fn record_second(&mut self, answers: &[HolderStatus]) -> SealProgress {
        let confirmed: HashMap<&DaemonId, ()> = answers
            .iter()
            .filter(|answer| self.is_sealed(answer))
            .filter(|answer| self.first.get(&answer.daemon) == Some(&answer.incarnation))
            .map(|answer| (&answer.daemon, ()))
            .collect();
        self.confirmed = confirmed.len();
        if self.confirmed >= majority_of(self.holders.len()) {
            SealProgress::Sealed
        } else {
            SealProgress::Asking
        }
    }

    fn is_sealed(&self, answer: &HolderStatus) -> bool {
        self.holders.contains(&answer.daemon) && answer.lowest_open_epoch > self.epoch
    }
}

/// Whether a restarted holder may return to an epoch: a majority of the group must be active in it
/// and not sealed, each having said so after the restart.
pub struct RecoveryRound {
    epoch: u64,
    holders: Vec<DaemonId>,
}

impl RecoveryRound {
    /// The return to the epoch of `group`.
    pub fn new(group: &ClaimGroup) -> Self {
        let holders = group.holders.iter();
        Self {
            epoch: group.epoch,
            holders: holders.map(|member| member.daemon.clone()).collect(),
        }
    }

    /// Whether the answers, all to questions asked in this life, allow the return.
    pub fn is_confirmed(&self, answers: &[HolderStatus]) -> bool {
        let active = EpochState::Active { epoch: self.epoch };
        let confirming: HashMap<&DaemonId, ()> = answers
            .iter()
            .filter(|answer| answer.state == active && self.holders.contains(&answer.daemon))
            .map(|answer| (&answer.daemon, ()))
            .collect();
        confirming.len() >= majority_of(self.holders.len())
    }
}
