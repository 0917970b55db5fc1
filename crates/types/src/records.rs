//! Records that daemons exchange: members, engines and configuration objects.
//!
//! Each record has a merge order, so that any two daemons that have heard the same records agree,
//! whatever the order in which they heard them.

use std::net::SocketAddr;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{DaemonId, EngineId, Incarnation, ModelName, Revision, WeightsVersion, ZoneName};

/// What a daemon believes of another daemon.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer and may refute this by a higher refutation number.
    Suspect,
    /// It announced that it is stopping.
    Leaving,
    /// It was suspected for too long.
    Dead,
}

/// One daemon as known to the others. Addresses are text because they travel between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MemberRecord {
    /// The daemon's configured name.
    pub id: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Rises when the member refutes a suspicion within one life.
    pub refutation: u64,
    /// What is believed of it.
    pub state: MemberState,
    /// `IP:port` for gossip (UDP) and for internal calls (HTTP over TCP on the same port).
    pub peer_address: String,
    /// `IP:port` for callers.
    pub caller_address: String,
    /// `IP:port` for operators.
    pub operator_address: String,
    /// Up to which revision the member holds every accepted configuration change.
    pub complete_to: Revision,
}

impl MemberRecord {
    /// The address for gossip and internal calls, where it parses.
    pub fn peer_socket(&self) -> Option<SocketAddr> {
        self.peer_address.parse().ok()
    }
}

/// What an engine can do at present.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineHealth {
    /// It loads weights and takes no requests.
    Loading,
    /// It serves.
    Serving,
    /// It finishes what it has and takes nothing new. Final within one incarnation.
    Leaving,
    /// It did not answer its observer.
    Unreachable,
}

/// An engine's load as reported by itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Prompt tokens not yet computed, over all requests.
    pub pending_prefill_tokens: u32,
    /// Cached blocks held.
    pub cached_blocks: u32,
    /// Cached blocks that fit.
    pub cache_capacity_blocks: u32,
}

/// One engine as known to the daemons.
///
/// Merge order: the higher `(incarnation, report_sequence)` wins; see [`EngineRecord::supersedes`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct EngineRecord {
    /// The engine's name.
    pub id: EngineId,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// Its zone.
    pub zone: ZoneName,
    /// The model that it serves.
    pub model: ModelName,
    /// The version of its weights.
    pub weights_version: WeightsVersion,
    /// Its present life; cached work of an earlier life is gone.
    pub incarnation: Incarnation,
    /// Rises with every report within one incarnation; assigned by the engine.
    pub report_sequence: u64,
    /// What it can do.
    pub health: EngineHealth,
    /// Its load at the time of the report.
    pub load: EngineLoad,
}

impl EngineRecord {
    /// Whether `self` replaces `other` as the newer knowledge of the same engine.
    pub fn supersedes(&self, other: &Self) -> bool {
        let own = (self.incarnation, self.report_sequence, self.health);
        let others = (other.incarnation, other.report_sequence, other.health);
        own > others
    }
}

/// One configuration object as it travels between daemons.
///
/// Merge order: the higher revision wins. A deletion is a record without a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ObjectRecord {
    /// The object's key in the store, such as `routes/depot-verdicts`.
    pub key: String,
    /// The store's revision of the write.
    pub revision: Revision,
    /// The object's JSON, or nothing after a deletion.
    pub value: Option<String>,
}
