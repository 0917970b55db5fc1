//! The parts of datagrams about requests that terminate replicas.

use musli::{Decode, Encode};

/// A strike against a request: a replica terminated while the request was open there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireStrike {
    /// The fingerprint of the request.
    pub fingerprint: u128,
    /// The digest of the id of the replica's incarnation.
    pub replica: u64,
    /// How long ago the replica terminated, in milliseconds.
    pub age_ms: u64,
    /// How long the request had been at the replica by then, in milliseconds.
    #[musli(default)]
    pub ran_ms: Option<u64>,
}

/// Quarantine records, see [`WireRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireRecords {
    /// The records.
    pub records: Vec<WireRecord>,
    /// Whether the receiver forwards to its group the records that are new to it.
    pub is_for_group: bool,
}

/// A strike in a [`WireRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireRecordStrike {
    /// The digest of the id of the replica's incarnation.
    pub replica: u64,
    /// How long ago the replica terminated, in milliseconds.
    pub age_ms: u64,
    /// Whether other replicas terminated at the same time without the request being open there.
    pub is_coincident: bool,
    /// How long the request had been at the replica by then, in milliseconds.
    #[musli(default)]
    pub ran_ms: Option<u64>,
}

/// The record of a request that was open at replicas when they terminated, see [`crate::quarantine::Record`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireRecord {
    /// The fingerprint of the request.
    pub fingerprint: u128,
    /// How many times the request has been cleared.
    pub generation: u32,
    /// The strikes against the request.
    pub strikes: Vec<WireRecordStrike>,
    /// Whether the request is quarantined.
    pub is_quarantined: bool,
    /// How many times it was tried while in quarantine.
    pub trials: u32,
    /// The revision of the record's object in the store; 0 for none.
    pub stored_revision: u64,
    /// Whether that object says that the request is quarantined.
    pub is_stored_quarantined: bool,
    /// How long ago the request was cleared, in milliseconds.
    pub cleared_age_ms: u64,
    /// The era of [`WireRecord::stored_revision`]; none if the store names no era.
    #[musli(default)]
    pub stored_era: Option<u64>,
    /// The number of complete answers since the first strike.
    #[musli(default)]
    pub completions: u32,
    /// How many times it was tried in isolation from other requests with the same strikes.
    #[musli(default)]
    pub isolated_trials: u32,
    /// How long ago the last such trial started, in milliseconds.
    #[musli(default)]
    pub isolated_trial_age_ms: Option<u64>,
    /// The value of [`WireRecord::isolated_trials`] in the object in the store.
    #[musli(default)]
    pub stored_isolated_trials: u32,
}
