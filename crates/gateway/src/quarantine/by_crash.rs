//! The requests that were open at each crash of a replica.

use std::collections::HashMap;

use super::{Fingerprint, Strike};

/// The requests with records, by the digest of the crashed incarnation.
#[derive(Debug, Default)]
pub(super) struct RequestsByCrash(HashMap<u64, Vec<Fingerprint>>);

impl RequestsByCrash {
    /// Records that a request was open at these crashes.
    pub(super) fn add(&mut self, fingerprint: Fingerprint, strikes: &[Strike]) {
        for strike in strikes {
            let open = self.0.entry(strike.replica).or_default();
            if !open.contains(&fingerprint) {
                open.push(fingerprint);
            }
        }
    }

    /// Removes a request from these crashes.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint, strikes: &[Strike]) {
        for strike in strikes {
            if let Some(open) = self.0.get_mut(&strike.replica) {
                open.retain(|known| *known != fingerprint);
                if open.is_empty() {
                    self.0.remove(&strike.replica);
                }
            }
        }
    }

    /// Returns the requests that were open at a crash.
    pub(super) fn requests_open_at(&self, replica: u64) -> &[Fingerprint] {
        self.0.get(&replica).map_or(&[], Vec::as_slice)
    }
}
