//! What gateways keep in the store for themselves.

use std::net::SocketAddr;

use crate::store::StoreEra;

/// The lease of a task that one daemon does at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseRecord {
    /// The machine that holds it; empty where it was given back.
    pub holder: String,
    /// The life of the daemon on it.
    pub incarnation: u64,
    /// The fencing token, which rises with each acquisition.
    pub token: u64,
    /// Rises with each renewal.
    pub renewal: u64,
    /// The era of the store that its writer knew; unnamed where that was a daemon of an earlier version.
    pub era: StoreEra,
}

/// Where a daemon listens for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonRecord {
    /// The daemon's name.
    pub name: String,
    /// Its address for other daemons.
    pub peers: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// What its machine can carry, see [`crate::peers::message::WireDaemon::capacity`].
    pub capacity: u32,
}

/// A request that ended replicas; its object is named by its fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// How often it was cleared before.
    pub generation: u32,
    /// Digests of the ids of the replicas' lives that ended, in the order of time.
    pub replicas: Vec<u64>,
    /// Whether it is quarantined.
    pub is_quarantined: bool,
    /// How often it was tried in quarantine.
    pub trials: u32,
    /// Answers to it that came whole since its first end, in all generations.
    pub good_ends: u32,
    /// How often it was tried apart from those that were open at the same ends.
    pub apart_trials: u32,
}
