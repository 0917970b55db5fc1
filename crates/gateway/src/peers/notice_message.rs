//! The datagrams about what replicas say of themselves, and about permits.

use musli::{Decode, Encode};

use super::message::incarnation;
use crate::protocol::ReplicaIncarnation;

/// What one life of a replica says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireNotice {
    /// The replica's id.
    pub replica: String,
    /// Which of its lives, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// Its limit; none where nothing is known of one.
    #[musli(default)]
    pub limit: Option<WireLimit>,
    /// Whether it is leaving.
    #[musli(default)]
    pub is_leaving: bool,
}

impl WireNotice {
    /// The life that says it.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        incarnation(&self.replica, self.born)
    }
}

/// See [`crate::notices::LimitNotice`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireLimit {
    /// The limit in thousandths of a request a second; none where it has ended.
    pub thousandths: Option<u64>,
    /// How long ago the request was sent, in milliseconds.
    pub sent_age_ms: u64,
    /// How long ago its answer came, in milliseconds.
    pub heard_age_ms: u64,
}

/// Asks for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WirePermitQuery {
    /// Returned in the answer.
    pub nonce: u64,
    /// The digest of the replica's life.
    pub incarnation: u64,
    /// Its limit in thousandths of a request a second, as the asking daemon knows it; none asks only whether the receiver is there.
    pub limit_thousandths: Option<u64>,
}

/// Answers that.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WirePermitReply {
    /// The nonce of the question.
    pub nonce: u64,
    /// The digest of the answering daemon's name.
    pub daemon: u64,
    /// Whether a request may be sent now.
    pub is_granted: bool,
    /// Else after how many milliseconds it is worth asking again.
    pub wait_ms: u64,
}
