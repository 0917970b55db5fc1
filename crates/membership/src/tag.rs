//! Short hashes that stand for records in gossip: 4 bytes instead of names.
//!
//! A tag covers everything that a receiver must already hold for the short form to make sense. A
//! tag that the receiver does not know is skipped; the comparison of digests brings the record.

use driftspring_types::{DaemonId, EngineRecord, Incarnation, MemberRecord, MemberState, ZoneName};
use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Names one life of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
#[musli(transparent)]
pub struct MemberTag(pub u32);

impl MemberTag {
    /// The tag of the life `incarnation` of `id`.
    pub fn new(id: &DaemonId, incarnation: Incarnation) -> Self {
        Self(xxh3_64_with_seed(id.as_str().as_bytes(), incarnation.0) as u32)
    }

    /// The tag of the life that `record` describes.
    pub fn of(record: &MemberRecord) -> Self {
        Self::new(&record.id, record.incarnation)
    }
}

/// Names one engine in one life with one version of weights and one health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
#[musli(transparent)]
pub struct EngineTag(pub u32);

impl EngineTag {
    /// The tag of everything in `record` except its report sequence and load.
    pub fn of(record: &EngineRecord) -> Self {
        let life = xxh3_64_with_seed(record.id.as_str().as_bytes(), record.incarnation.0);
        let version = record.weights_version.0.to_le_bytes();
        Self(xxh3_64_with_seed(&version, life ^ (record.health as u64)) as u32)
    }
}

/// Names a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
#[musli(transparent)]
pub struct ZoneTag(pub u32);

impl ZoneTag {
    /// The tag of `zone`.
    pub fn of(zone: &ZoneName) -> Self {
        Self(xxh3_64_with_seed(zone.as_str().as_bytes(), 0) as u32)
    }
}

/// Names a cluster of daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
#[musli(transparent)]
pub struct ClusterTag(pub u64);

impl ClusterTag {
    /// The tag of the cluster `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64_with_seed(name.as_bytes(), 0))
    }
}

/// What a member's record adds to the digest of the member table; 0 for the dead.
///
/// Alive and suspect count as equal: a suspicion is either refuted or confirmed within seconds.
pub fn member_digest(record: &MemberRecord) -> u32 {
    let class = match record.state {
        MemberState::Alive | MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => return 0,
    };
    let tag = MemberTag::of(record).0.to_le_bytes();
    xxh3_64_with_seed(&tag, record.refutation << 2 | class) as u32
}
