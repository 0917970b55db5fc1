//! The parts of datagrams that tell of requests that end replicas.

use musli::{Decode, Encode};

/// A replica that ended while a request was open there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireStrike {
    /// The fingerprint of the request.
    pub fingerprint: u128,
    /// The digest of the id of the replica's life.
    pub replica: u64,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u64,
    /// How long the request had been there, in milliseconds.
    #[musli(default)]
    pub ran_ms: Option<u64>,
}

/// Records of requests, see [`WireRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireRecords {
    /// The records.
    pub records: Vec<WireRecord>,
    /// Whether the receiver passes on to its group what it did not know.
    pub is_for_group: bool,
}

/// One of the ends in a [`WireRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireRecordStrike {
    /// The digest of the id of the replica's life.
    pub replica: u64,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u64,
    /// Whether others ended with it where the request was not open.
    pub is_coincident: bool,
    /// How long the request had been there, in milliseconds.
    #[musli(default)]
    pub ran_ms: Option<u64>,
}

/// What is known of a request that was open at replicas as these ended, see [`crate::quarantine::Record`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireRecord {
    /// The fingerprint of the request.
    pub fingerprint: u128,
    /// How often it was cleared.
    pub generation: u32,
    /// The replicas that ended.
    pub strikes: Vec<WireRecordStrike>,
    /// Whether it is quarantined.
    pub is_quarantined: bool,
    /// How often it was tried in quarantine.
    pub trials: u32,
    /// The revision of its object in the store; 0 for none.
    pub stored_revision: u64,
    /// Whether that says that the request is quarantined.
    pub is_stored_quarantined: bool,
    /// How long ago it was cleared, in milliseconds.
    pub cleared_age_ms: u64,
    /// The era of [`WireRecord::stored_revision`]; none where the store names none.
    #[musli(default)]
    pub stored_era: Option<u64>,
    /// Answers that came whole since its first strike.
    #[musli(default)]
    pub good_ends: u32,
    /// How often it was tried apart from others with the same ends.
    #[musli(default)]
    pub apart_trials: u32,
    /// How long ago that was last begun, in milliseconds.
    #[musli(default)]
    pub apart_age_ms: Option<u64>,
    /// How often its object in the store says that it was tried apart.
    #[musli(default)]
    pub stored_apart_trials: u32,
}
