//! A lease as it stands in the store.

use std::time::Duration;

use driftspring_types::{DaemonId, FencingToken, Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// Who holds a lease: one life of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life; a later life has to acquire the lease anew.
    pub incarnation: Incarnation,
}

/// The value of a lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder; nothing once the lease was given back.
    #[serde(default)]
    pub holder: Option<LeaseHolder>,
    /// The token, in renewals; an acquiring write cannot know it yet, since it is its own revision.
    #[serde(default)]
    pub fencing_token: Option<FencingToken>,
    /// How long the holder may act after it began the write, in milliseconds.
    pub term_ms: u64,
}

impl LeaseRecord {
    /// The token of a lease whose record stands at `revision`.
    pub fn token_at(&self, revision: Revision) -> FencingToken {
        self.fencing_token.unwrap_or(FencingToken(revision.0))
    }

    /// How long the holder may act after it began the write.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }
}
