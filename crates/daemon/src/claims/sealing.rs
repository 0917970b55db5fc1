//! Closes an epoch before its group is replaced. For the controller of the claim group.

use driftspring_claims::{ClaimMessage, SealProgress, SealRound};
use driftspring_types::{ClaimGroup, ClaimGroupMember, FencingToken};

use super::ClaimClient;

/// Proof that the epoch of a group can grant nothing more; only [`seal_group`] makes one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SealedGroup {
    epoch: u64,
}

impl SealedGroup {
    /// The group that replaces the sealed one. It must be written to the store only on condition
    /// that the sealed group is still the present one.
    pub fn successor(
        &self,
        holders: Vec<ClaimGroupMember>,
        fencing_token: FencingToken,
    ) -> ClaimGroup {
        ClaimGroup {
            epoch: self.epoch + 1,
            holders,
            fencing_token,
        }
    }
}

/// The first group, to be written to the store only on condition that there never was one: a group
/// that was deleted can't be told from one that never was, so the object must never be deleted.
pub fn first_group(holders: Vec<ClaimGroupMember>, fencing_token: FencingToken) -> ClaimGroup {
    ClaimGroup {
        epoch: 1,
        holders,
        fencing_token,
    }
}

/// Seals the epoch of `group`, which the caller has read from the store. Asks every holder twice;
/// nothing where no majority answered both times from the same life, and it is to be tried again.
///
/// Sealing can't be undone: once a majority is sealed, requests that may not be repeated are refused
/// until the successor is in force.
pub async fn seal_group(client: &ClaimClient, group: &ClaimGroup) -> Option<SealedGroup> {
    let mut round = SealRound::new(group);
    let message = ClaimMessage::Seal { epoch: group.epoch };
    let first = client.statuses(group, message).await;
    if !round.record_first(&first) {
        return None;
    }
    let second = client.statuses(group, message).await;
    let is_sealed = round.record_second(&second) == SealProgress::Sealed;
    is_sealed.then_some(SealedGroup { epoch: group.epoch })
}
