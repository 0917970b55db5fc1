//! The records that gateways keep in the store for their own use.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::SoftwareVersion;
use crate::store::StoreEra;

/// The lease of a task that one gateway performs at a time. Field names appear in log lines through `Debug`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseRecord {
    /// The machine that holds the lease; empty after the lease was released.
    pub holder: String,
    /// The incarnation of the gateway on that machine.
    pub life: u64,
    /// The fencing token, which increases with each acquisition.
    pub token: u64,
    /// Increases with each renewal.
    pub renewal: u64,
    /// The store's era as known to the writer; unnamed if the writer is a gateway of an earlier version.
    pub era: StoreEra,
}

/// The address at which a gateway listens for other gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonRecord {
    /// The gateway's name.
    pub name: String,
    /// Its address for messages from other gateways.
    pub peers: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The capacity of its machine, see [`crate::peers::message::WireDaemon::capacity`].
    pub capacity: u32,
}

/// A request that crashed replicas; its object is named by the request's fingerprint. Field names appear in log lines
/// through `Debug`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// How often the request was cleared before.
    pub generation: u32,
    /// Digests of the replica incarnations that ended, in order of time.
    pub replicas: Vec<u64>,
    /// Whether the request is quarantined.
    pub is_quarantined: bool,
    /// How often the request was tried while in quarantine.
    pub trials: u32,
    /// The number of complete answers to the request since it first crashed a replica, over all generations.
    pub good_ends: u32,
    /// How often the request was tried in isolation from the other requests that were open when the replicas ended.
    pub apart_trials: u32,
}

/// The software versions of a service at which streams may have begun that are still taken up; its object is named after the
/// service. Field names appear in log lines through `Debug`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// The versions.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether these are all that were in use within [`crate::stream_versions::history::VERSION_RETENTION`] before the write.
    pub is_complete: bool,
    /// The store's era as known to the writer.
    pub era: StoreEra,
}
