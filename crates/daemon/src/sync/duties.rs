//! Which shared duties fall to this daemon at present.

use std::time::Duration;

use driftspring_membership::{OwnershipCache, zone_readers};
use driftspring_types::{EngineRecord, MemberRecord};

use crate::state::DaemonState;

/// How long a daemon that has seeds waits for their answer before it does everything by itself.
const JOIN_GRACE: Duration = Duration::from_millis(300);

/// Whether this daemon reads the machine list for its zone; alone it always does.
pub fn is_zone_reader(state: &DaemonState) -> bool {
    let members = state.members.load();
    if is_alone(state, &members) {
        return !may_still_join(state);
    }
    state.is_membership_settled()
        && zone_readers(&members, &state.settings.zone).contains(&state.settings.id)
}

/// This daemon's place among the owners of `engine`, 0 for the first; nothing where it is no owner.
/// A caller that asks often, and for every engine, keeps an [`OwnershipCache`].
pub fn ownership(
    state: &DaemonState,
    members: &[MemberRecord],
    engine: &EngineRecord,
) -> Option<usize> {
    OwnershipCache::default().place(members, &state.settings.id, engine)
}

/// Whether no other daemon is known.
pub fn is_alone(state: &DaemonState, members: &[MemberRecord]) -> bool {
    members.iter().all(|member| member.id == state.settings.id)
}

/// Whether the answer of a seed may still be on its way.
pub fn may_still_join(state: &DaemonState) -> bool {
    !state.settings.seeds.is_empty() && state.started_at.elapsed() < JOIN_GRACE
}
