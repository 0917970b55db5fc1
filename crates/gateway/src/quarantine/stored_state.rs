//! Compares the stored record of a request with a gateway's own.

use crate::protocol::QuarantineRecord;

/// How the store's object compares with a gateway's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredState {
    /// It contains everything in the gateway's record.
    Current,
    /// It lacks something and has to be overwritten.
    Outdated,
    /// The request was cleared or released since: the gateway's record is out of date.
    Newer,
}

/// Compares the store's object with a gateway's record. A store that was restored from a backup may hold an
/// earlier state.
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
