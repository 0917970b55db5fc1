//! Which daemons hold at-most-once claims, and when they are replaced.

use std::collections::BTreeMap;

use driftspring_types::{
    ClaimGroup, ClaimGroupMember, DaemonId, MemberRecord, MemberState, ZoneName,
};

/// Holders of a full group: any two may fail.
pub const GROUP_SIZE: usize = 5;

/// What to do about the claim group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupPlan {
    /// Leave it as it is.
    Keep,
    /// Write the first one.
    Create(Vec<ClaimGroupMember>),
    /// Seal its epoch, then write these holders under the next one.
    Replace(Vec<ClaimGroupMember>),
}

/// Decides by the group in force and the members as this daemon knows them.
///
/// A group is replaced where a holder is gone, where a majority has restarted (their claims are lost, and none is
/// left to confirm the epoch to the others), or where more daemons allow a larger one. The caller waits until
/// the members have not changed for a while, since each replacement makes older keys unusable.
pub fn plan_group(group: Option<&ClaimGroup>, members: &[MemberRecord]) -> GroupPlan {
    let chosen = choose_holders(group, members);
    if chosen.is_empty() {
        return GroupPlan::Keep;
    }
    let Some(group) = group else {
        return GroupPlan::Create(chosen);
    };
    let alive = |holder: &&ClaimGroupMember| find(members, &holder.daemon).is_some();
    let restarted = |holder: &&ClaimGroupMember| {
        find(members, &holder.daemon).is_some_and(|member| member.incarnation != holder.incarnation)
    };
    let gone = group.holders.len() - group.holders.iter().filter(alive).count();
    let lost = group.holders.iter().filter(restarted).count();
    let has_lost_majority = lost > group.holders.len() / 2;
    if gone > 0 || has_lost_majority || chosen.len() > group.holders.len() {
        return GroupPlan::Replace(chosen);
    }
    GroupPlan::Keep
}

/// Up to [`GROUP_SIZE`] daemons, an odd number of them: present holders first, then from the zones in turn.
pub fn choose_holders(
    group: Option<&ClaimGroup>,
    members: &[MemberRecord],
) -> Vec<ClaimGroupMember> {
    let present: Vec<&DaemonId> = group
        .iter()
        .flat_map(|group| group.holders.iter().map(|holder| &holder.daemon))
        .collect();
    let mut by_zone: BTreeMap<&ZoneName, Vec<&MemberRecord>> = BTreeMap::new();
    for member in members.iter().filter(|member| may_hold(member)) {
        by_zone.entry(&member.zone).or_default().push(member);
    }
    for zone in by_zone.values_mut() {
        zone.sort_by_key(|member| (!present.contains(&&member.id), &member.id));
    }
    let eligible: usize = by_zone.values().map(Vec::len).sum();
    let size = largest_odd(eligible.min(GROUP_SIZE));
    let rounds = 0..GROUP_SIZE;
    let in_turn = rounds.flat_map(|round| by_zone.values().filter_map(move |zone| zone.get(round)));
    in_turn
        .take(size)
        .map(|member| ClaimGroupMember {
            daemon: member.id.clone(),
            incarnation: member.incarnation,
        })
        .collect()
}

fn may_hold(member: &MemberRecord) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

fn find<'a>(members: &'a [MemberRecord], daemon: &DaemonId) -> Option<&'a MemberRecord> {
    members
        .iter()
        .find(|member| member.id == *daemon && may_hold(member))
}

/// The largest odd number up to `count`, 0 for 0. An even group bears no more failures than one less.
fn largest_odd(count: usize) -> usize {
    count.saturating_sub(usize::from(count.is_multiple_of(2)))
}
