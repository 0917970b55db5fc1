//! The side that grants claims.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use driftspring_types::{ClaimGroup, DaemonId, Incarnation};

use crate::key::UnixMillis;
use crate::message::{
    ClaimAnswer, ClaimMessage, ClaimReply, ClaimRequest, EpochState, HolderStatus, ReleaseRequest,
};
use crate::sync::{AtomicU64, Ordering};
use crate::table::{ClaimTable, Insertion};

/// The rules by which a holder grants. All daemons have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderRules {
    /// How far the clocks of any two daemons may differ.
    pub clock_skew_bound: Duration,
    /// Keys issued longer ago are refused.
    pub key_maximum_age: Duration,
    /// Whether the holder abstains on keys issued before it began to hold. Off only in tests, to
    /// show that their check finds the second run.
    pub abstain: bool,
}

/// What the holder does in the present epoch.
#[derive(Clone)]
enum Holding {
    Nothing,
    Recovering { epoch: u64 },
    Active(Arc<ActiveEpoch>),
}

/// An epoch in which this holder grants.
struct ActiveEpoch {
    epoch: u64,
    /// When this daemon began to grant in this epoch, by its own clock.
    began_at: UnixMillis,
    claims: ClaimTable,
}

/// The holder of claims in one life of a daemon. All its methods may be called by several threads.
pub struct ClaimHolder {
    daemon: DaemonId,
    incarnation: Incarnation,
    rules: HolderRules,
    holding: ArcSwap<Holding>,
    /// Nothing is granted in an epoch below this one. Rises only.
    lowest_open_epoch: AtomicU64,
    /// The latest time seen, so that a clock that is set back has no effect.
    latest_time: AtomicU64,
}

impl ClaimHolder {
    /// A holder that grants nothing until it hears of a group.
    pub fn new(daemon: DaemonId, incarnation: Incarnation, rules: HolderRules) -> Self {
        Self {
            daemon,
            incarnation,
            rules,
            holding: ArcSwap::from_pointee(Holding::Nothing),
            lowest_open_epoch: AtomicU64::new(0),
            latest_time: AtomicU64::new(0),
        }
    }

    /// Takes in a group heard of at `now`. Older epochs, and the present one again, change nothing.
    /// To be called by one thread at a time.
    pub fn apply_group(&self, group: &ClaimGroup, now: UnixMillis) {
        let present = epoch_of(&self.holding.load());
        let is_newer = present.is_none_or(|present| group.epoch > present);
        if !is_newer || self.is_closed(group.epoch) {
            return;
        }
        self.lowest_open_epoch
            .fetch_max(group.epoch, Ordering::SeqCst);
        let appointed = group
            .holders
            .iter()
            .find(|member| member.daemon == self.daemon);
        let holding = match appointed {
            None => Holding::Nothing,
            Some(member) if member.incarnation == self.incarnation => {
                self.active(group.epoch, self.time(now))
            }
            Some(_) => Holding::Recovering { epoch: group.epoch },
        };
        self.holding.store(Arc::new(holding));
    }

    /// Begins to grant in `epoch` after a majority of its group has confirmed that it is open; see
    /// [`crate::seal::RecoveryRound`]. False where the holder does not wait for that.
    pub fn recover(&self, epoch: u64, now: UnixMillis) -> bool {
        let is_waiting = matches!(**self.holding.load(), Holding::Recovering { epoch: waiting } if waiting == epoch);
        if !is_waiting || self.is_closed(epoch) {
            return false;
        }
        let active = self.active(epoch, self.time(now));
        self.holding.store(Arc::new(active));
        true
    }

    /// Answers a message.
    pub fn handle(&self, message: &ClaimMessage, now: UnixMillis) -> ClaimReply {
        match message {
            ClaimMessage::Claim(request) => ClaimReply::Claim(self.claim(request, now)),
            ClaimMessage::Release(request) => {
                self.release(request);
                ClaimReply::Released
            }
            ClaimMessage::Seal { epoch } => ClaimReply::Status(self.seal(*epoch)),
            ClaimMessage::Status => ClaimReply::Status(self.status()),
        }
    }

    /// Decides on a claim.
    pub fn claim(&self, request: &ClaimRequest, now: UnixMillis) -> ClaimAnswer {
        let holding = self.holding.load();
        let Holding::Active(active) = &**holding else {
            return ClaimAnswer::NotHolding;
        };
        if active.epoch != request.epoch {
            return ClaimAnswer::NotHolding;
        }
        if let Some(refusal) = self.refusal_by_time(active, request.issued_at, self.time(now)) {
            return refusal;
        }
        let insertion = active
            .claims
            .insert(request.key, request.issued_at, request.attempt);
        // Looked at after the insertion: a grant that is answered came before any seal.
        if self.is_closed(request.epoch) {
            return ClaimAnswer::NotHolding;
        }
        match insertion {
            Some(Insertion::Inserted) => ClaimAnswer::Granted,
            Some(Insertion::Occupied) => ClaimAnswer::HeldByOther,
            Some(Insertion::Full) => ClaimAnswer::Full,
            None => ClaimAnswer::KeyTooOld,
        }
    }

    /// Gives a claim back.
    pub fn release(&self, request: &ReleaseRequest) {
        let holding = self.holding.load();
        let Holding::Active(active) = &**holding else {
            return;
        };
        if active.epoch == request.epoch {
            active
                .claims
                .release(request.key, request.issued_at, request.attempt);
        }
    }

    /// Grants nothing more in `epoch` and below, for the rest of this life.
    pub fn seal(&self, epoch: u64) -> HolderStatus {
        self.lowest_open_epoch
            .fetch_max(epoch.saturating_add(1), Ordering::SeqCst);
        self.status()
    }

    /// What this daemon holds.
    pub fn status(&self) -> HolderStatus {
        let holding = self.holding.load();
        let state = match &**holding {
            Holding::Active(active) if !self.is_closed(active.epoch) => EpochState::Active {
                epoch: active.epoch,
            },
            Holding::Recovering { epoch } if !self.is_closed(*epoch) => {
                EpochState::Recovering { epoch: *epoch }
            }
            _ => EpochState::NotHolding,
        };
        HolderStatus {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            state,
            lowest_open_epoch: self.lowest_open_epoch.load(Ordering::SeqCst),
        }
    }

    /// Forgets the claims on keys that are too old to be claimed again. To be called every minute
    /// or so.
    pub fn forget_old_claims(&self, now: UnixMillis) {
        let oldest = self.time(now).minus(self.rules.key_maximum_age);
        if let Holding::Active(active) = &**self.holding.load() {
            active.claims.forget_before(oldest);
        }
    }

    /// The memory of all claims, in bytes.
    pub fn claim_bytes(&self) -> usize {
        match &**self.holding.load() {
            Holding::Active(active) => active.claims.slot_bytes(),
            _ => 0,
        }
    }

    fn active(&self, epoch: u64, now: UnixMillis) -> Holding {
        Holding::Active(Arc::new(ActiveEpoch {
            epoch,
            began_at: now,
            claims: ClaimTable::new(),
        }))
    }

    fn is_closed(&self, epoch: u64) -> bool {
        epoch < self.lowest_open_epoch.load(Ordering::SeqCst)
    }

    /// `now`, or the latest time seen where that is later.
    fn time(&self, now: UnixMillis) -> UnixMillis {
        let latest = self.latest_time.fetch_max(now.0, Ordering::AcqRel);
        UnixMillis(latest.max(now.0))
    }

    fn refusal_by_time(
        &self,
        active: &ActiveEpoch,
        issued_at: UnixMillis,
        now: UnixMillis,
    ) -> Option<ClaimAnswer> {
        let skew = self.rules.clock_skew_bound;
        if issued_at > now.plus(skew) {
            return Some(ClaimAnswer::KeyInFuture);
        }
        if issued_at < now.minus(self.rules.key_maximum_age) {
            return Some(ClaimAnswer::KeyTooOld);
        }
        // A key granted before this holder began was issued at most one skew after that grant, and
        // the clock that judged the grant may be one skew ahead of this one.
        let is_known = issued_at > active.began_at.plus(skew * 2);
        if self.rules.abstain && !is_known {
            return Some(ClaimAnswer::Abstained);
        }
        None
    }
}

fn epoch_of(holding: &Holding) -> Option<u64> {
    match holding {
        Holding::Nothing => None,
        Holding::Recovering { epoch } => Some(*epoch),
        Holding::Active(active) => Some(active.epoch),
    }
}
