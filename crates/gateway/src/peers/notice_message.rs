//! The datagrams about limits and leave notices of replicas, and about permits.

use musli::{Decode, Encode};

use super::message::incarnation;
use crate::protocol::ReplicaIncarnation;

/// What one incarnation of a replica has announced about itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireNotice {
    /// The replica's id.
    pub replica: String,
    /// The birth time that identifies the incarnation, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// Its rate limit; none if no announcement is known.
    #[musli(default)]
    pub limit: Option<WireLimit>,
    /// Whether it has announced that it is leaving.
    #[musli(default)]
    pub is_leaving: bool,
    /// What it has announced of being brittle; none if it is not.
    #[musli(default)]
    pub brittle: Option<WireBrittle>,
}

/// That a replica is brittle, see [`crate::notices::brittle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireBrittle {
    /// Refusals per second that it tolerates.
    pub refusals_tolerated: u32,
    /// How long ago it last refused a request for want of room, in milliseconds.
    pub refused_age_ms: Option<u64>,
}

impl WireNotice {
    /// The incarnation that announced it.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        incarnation(&self.replica, self.born)
    }
}

/// A rate limit, see [`crate::notices::LimitNotice`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireLimit {
    /// The limit in thousandths of a request per second; none if the limit was lifted.
    pub thousandths: Option<u64>,
    /// How long ago the request was sent whose answer announced the limit, in milliseconds.
    pub sent_age_ms: u64,
    /// How long ago that answer arrived, in milliseconds.
    pub heard_age_ms: u64,
}

/// Asks for a permit to send a request to a rate-limited replica.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WirePermitQuery {
    /// Copied into the reply.
    pub nonce: u64,
    /// The digest of the replica's incarnation.
    pub incarnation: u64,
    /// The replica's limit in thousandths of a request per second, as the sender knows it; none only probes whether the
    /// receiver responds.
    pub limit_thousandths: Option<u64>,
}

/// The reply to [`WirePermitQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WirePermitReply {
    /// The nonce of the query.
    pub nonce: u64,
    /// The digest of the replying gateway's name.
    pub daemon: u64,
    /// Whether a request may be sent now.
    pub is_granted: bool,
    /// If not, after how many milliseconds to ask again.
    pub wait_ms: u64,
}
