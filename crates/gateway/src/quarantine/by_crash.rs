//! Which requests were open at a replica as it ended.

use std::collections::HashMap;

use super::{Fingerprint, Strike};

/// The requests with records, by the digests of the replicas that ended.
#[derive(Debug, Default)]
pub(super) struct RequestsByCrash(HashMap<u64, Vec<Fingerprint>>);

impl RequestsByCrash {
    /// Notes that a request was open at these ends; what is known already stays as it is.
    pub(super) fn add(&mut self, fingerprint: Fingerprint, ends: &[Strike]) {
        for end in ends {
            let open = self.0.entry(end.replica).or_default();
            if !open.contains(&fingerprint) {
                open.push(fingerprint);
            }
        }
    }

    /// Forgets that a request was open at these ends.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint, ends: &[Strike]) {
        for end in ends {
            if let Some(open) = self.0.get_mut(&end.replica) {
                open.retain(|known| *known != fingerprint);
                if open.is_empty() {
                    self.0.remove(&end.replica);
                }
            }
        }
    }

    /// The requests that were open at the end of a replica.
    pub(super) fn requests_open_at(&self, replica: u64) -> &[Fingerprint] {
        self.0.get(&replica).map_or(&[], Vec::as_slice)
    }
}
