//! Messages between the replicas of two daemons.

use driftspring_types::{Incarnation, ObjectRecord, Revision};
use musli::{Decode, Encode};

use crate::gaps::ListGap;

/// What a replica holds, in a few bytes; rides in every gossip message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    /// The revision up to which the sender holds every accepted change.
    pub complete_to: Revision,
    /// The highest revision of any record that the sender holds.
    pub highest: Revision,
    /// The end of the sender's newest list gap; see [`ListGap`].
    pub listed_to: Revision,
    /// A digest of the sender's records above `complete_to`, whatever their order.
    pub loose_digest: u32,
}

/// Asks a replica for its records above a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct PullRequest {
    /// Records above this revision are wanted.
    pub since: Revision,
    /// Whether this asks for a further chunk of an answer, from its last record on.
    pub continues: bool,
}

/// Records of a replica in the order of their revisions, or one chunk of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Delta {
    /// The life of the sender; the chunks of one copy must all come from the same one.
    pub life: Incarnation,
    /// The records above this revision were chosen; it may be lower than the one asked for.
    pub base: Revision,
    /// The revision up to which the sender held every accepted change when it answered.
    pub complete_to: Revision,
    /// The sender's list gaps above `base`.
    pub gaps: Vec<ListGap>,
    /// The records, by rising revision.
    pub records: Vec<ObjectRecord>,
    /// Whether further records exist, above the last one of `records`.
    pub more: bool,
}
