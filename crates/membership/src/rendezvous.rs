//! Assignment of shared duties to members by rendezvous hashing (highest random weight).
//!
//! Each duty has a key; every member has a score for each key, and the members with the highest
//! scores hold the duty. Daemons with equal views agree without talking; a member that joins or
//! leaves moves only the duties that it gains or loses. Duties assigned so are not exclusive: two
//! daemons with different views may both perform one, which must do no harm.

use driftspring_types::{DaemonId, EngineId, MemberRecord, MemberState, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members that share one duty, so that the loss of one leaves no gap.
pub const DUTY_HOLDERS: usize = 2;

/// The score of `member` for the duty `key`; the highest scores hold the duty.
pub fn score(key: &str, member: &DaemonId) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_str().as_bytes(), seed)
}

/// Whether a member may hold duties. A suspected one still may: its partner covers for it, and a
/// false suspicion then moves no duty.
pub fn may_hold_duties(member: &MemberRecord) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

/// The members that read the object store and the machine list for `zone`, best first.
pub fn zone_readers(members: &[MemberRecord], zone: &ZoneName) -> Vec<DaemonId> {
    let key = format!("reader/{zone}");
    highest(&key, members.iter().filter(|member| member.zone == *zone))
}

/// The members that observe `engine`, best first: those of the engine's zone, or any where no
/// member of that zone may hold duties.
pub fn engine_owners(
    members: &[MemberRecord],
    engine: &EngineId,
    zone: &ZoneName,
) -> Vec<DaemonId> {
    let key = format!("engine/{engine}");
    let near = highest(&key, members.iter().filter(|member| member.zone == *zone));
    if near.is_empty() {
        highest(&key, members.iter())
    } else {
        near
    }
}

/// The up to [`DUTY_HOLDERS`] eligible candidates with the highest scores for `key`.
fn highest<'a>(key: &str, candidates: impl Iterator<Item = &'a MemberRecord>) -> Vec<DaemonId> {
    let mut scored: Vec<(u64, &DaemonId)> = candidates
        .filter(|member| may_hold_duties(member))
        .map(|member| (score(key, &member.id), &member.id))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.truncate(DUTY_HOLDERS);
    scored.into_iter().map(|(_, id)| id.clone()).collect()
}
