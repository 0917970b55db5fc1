//! What the store keeps of a record, beside what a daemon wants it to keep.

use crate::protocol::QuarantineRecord;

/// How the store's object compares with a daemon's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredState {
    /// It says all that the record says.
    Current,
    /// It says less: it is to be written over.
    Outdated,
    /// The request was cleared or released since: the record is outdated.
    Newer,
}

/// Compares what the store keeps with a daemon's record. A store that came back from a copy may keep an earlier state.
pub fn compare(kept: &QuarantineRecord, own: &QuarantineRecord) -> StoredState {
    if kept.generation != own.generation {
        return match kept.generation > own.generation {
            true => StoredState::Newer,
            false => StoredState::Outdated,
        };
    }
    let says_replicas = own
        .replicas
        .iter()
        .all(|replica| kept.replicas.contains(replica));
    let says_quarantined = kept.is_quarantined >= own.is_quarantined;
    let says_trials = kept.trials >= own.trials && kept.apart_trials >= own.apart_trials;
    match says_replicas && says_quarantined && says_trials {
        true => StoredState::Current,
        false => StoredState::Outdated,
    }
}
