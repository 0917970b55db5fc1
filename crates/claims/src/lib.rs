//! At-most-once claims held in memory by a quorum of daemons.
//!
//! A request that may not be repeated is dispatched only after a majority of the claim group's
//! holders have granted a claim on its idempotency key. Nothing here performs input or output:
//! messages and the time are arguments, answers are return values.
//!
//! - [`key`]: idempotency keys and their time of issue.
//! - [`message`]: what daemons say to each other.
//! - [`holder`]: the side that grants; [`table`] is its memory.
//! - [`claimant`]: the side that asks, one attempt.
//! - [`seal`]: how an epoch is closed before its group is replaced.
//!
//! The safety argument stands in `docs/DESIGN.md`, "At most once".

pub mod claimant;
pub mod holder;
pub mod key;
pub mod message;
pub mod seal;
mod sync;
pub mod table;

pub use claimant::{ClaimRefusal, Claimant, Decision, majority_of};
pub use holder::{ClaimHolder, HolderRules};
pub use key::{ClaimKey, IssuedKey, KeyError, UnixMillis};
pub use message::{
    Attempt, ClaimAnswer, ClaimMessage, ClaimReply, ClaimRequest, EpochState, HolderStatus,
    ReleaseRequest,
};
pub use seal::{RecoveryRound, SealProgress, SealRound};
