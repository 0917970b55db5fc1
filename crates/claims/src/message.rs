//! What daemons say to each other about claims. Bodies of `POST /internal/claims`.

use driftspring_types::{DaemonId, Incarnation};
use musli::{Decode, Encode};
use uuid::Uuid;

use crate::key::{ClaimKey, UnixMillis};

/// One attempt to run a request; drawn at random by the daemon that makes it, never by the caller,
/// so that no attempt can release another one's claim. Never 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct Attempt(u64);

impl Attempt {
    /// A new attempt.
    pub fn generate() -> Self {
        let (_, random_bits) = Uuid::new_v4().as_u64_pair();
        Self::from_number(random_bits)
    }

    /// The attempt with the given number; 0 is mapped to 1, because it marks released claims.
    pub fn from_number(number: u64) -> Self {
        Self(number.max(1))
    }

    /// The number; never 0.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Asks a holder for a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRequest {
    /// The epoch of the group that the claimant asks.
    pub epoch: u64,
    /// What is claimed.
    pub key: ClaimKey,
    /// When the key was issued.
    pub issued_at: UnixMillis,
    /// Who claims it.
    pub attempt: Attempt,
}

/// Gives a claim back. Sent only by the claimant, and only where it knows that nothing was run and
/// that it will never dispatch under this claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ReleaseRequest {
    /// The epoch of the claim.
    pub epoch: u64,
    /// What was claimed.
    pub key: ClaimKey,
    /// When the key was issued.
    pub issued_at: UnixMillis,
    /// Who claimed it.
    pub attempt: Attempt,
}

/// A holder's answer to a [`ClaimRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The claim is granted.
    Granted,
    /// Another attempt holds the key.
    HeldByOther,
    /// The key was issued before this holder began to hold: it can't know whether it was claimed.
    Abstained,
    /// The key is older than the maximum age.
    KeyTooOld,
    /// The key was issued in the future, by more than the clock skew bound.
    KeyInFuture,
    /// The holder does not hold this epoch: it is another one, sealed, or not recovered.
    NotHolding,
    /// The holder's memory for this part of time is full.
    Full,
}

/// What a daemon holds at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum EpochState {
    /// Nothing.
    NotHolding,
    /// It was appointed in an earlier life and waits for a majority to confirm the epoch.
    Recovering {
        /// The epoch.
        epoch: u64,
    },
    /// It grants claims.
    Active {
        /// The epoch.
        epoch: u64,
    },
}

/// A daemon's answer to a seal or a question for its state.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HolderStatus {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// What it holds.
    pub state: EpochState,
    /// In this life it grants nothing in any epoch below this one.
    pub lowest_open_epoch: u64,
}

/// A message to a daemon's holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum ClaimMessage {
    /// Ask for a claim.
    Claim(ClaimRequest),
    /// Give a claim back.
    Release(ReleaseRequest),
    /// Grant nothing more in this epoch, in this life.
    Seal {
        /// The epoch.
        epoch: u64,
    },
    /// Tell what is held.
    Status,
}

/// The answer to a [`ClaimMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum ClaimReply {
    /// To a claim.
    Claim(ClaimAnswer),
    /// To a release.
    Released,
    /// To a seal or a question for the state.
    Status(HolderStatus),
}
