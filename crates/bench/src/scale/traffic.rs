//! Bytes of control by kind.

use std::ops::Sub;
use std::sync::atomic::{AtomicU64, Ordering};

use driftspring_membership::ByteCounts;
use serde::Serialize;

use super::plan::DATAGRAM_HEADER_BYTES;

/// The kinds of control bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficKind {
    /// IP and UDP headers.
    Headers,
    /// Probes, digests and envelopes.
    Probes,
    /// News of members.
    Members,
    /// News of engines' lives, weights and health.
    Engines,
    /// Engine loads.
    Loads,
    /// Configuration notices.
    Notices,
    /// Comparisons of full state.
    Sync,
    /// Copies of configuration between daemons.
    Copies,
    /// Lists and watches of the object store.
    Store,
    /// Status calls to engines.
    Status,
}

impl TrafficKind {
    /// Every kind, in the order of the columns.
    pub const ALL: [Self; 10] = [
        Self::Headers,
        Self::Probes,
        Self::Members,
        Self::Engines,
        Self::Loads,
        Self::Notices,
        Self::Sync,
        Self::Copies,
        Self::Store,
        Self::Status,
    ];
}

/// Counters of all daemons together.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: [AtomicU64; TrafficKind::ALL.len()],
    received: AtomicU64,
}

impl Traffic {
    /// Counts bytes of one kind.
    pub fn count(&self, kind: TrafficKind, bytes: u64) {
        self.bytes[kind as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a datagram sent.
    pub fn count_sent(&self, counts: &ByteCounts) {
        self.count(TrafficKind::Headers, DATAGRAM_HEADER_BYTES);
        self.count(TrafficKind::Probes, counts.probes as u64);
        self.count(TrafficKind::Members, counts.members as u64);
        self.count(TrafficKind::Engines, counts.engines as u64);
        self.count(TrafficKind::Loads, counts.loads as u64);
        self.count(TrafficKind::Notices, counts.notices as u64);
        self.count(TrafficKind::Sync, counts.sync as u64);
    }

    /// Counts a datagram received.
    pub fn count_received(&self, bytes: usize) {
        let bytes = bytes as u64 + DATAGRAM_HEADER_BYTES;
        self.received.fetch_add(bytes, Ordering::Relaxed);
    }

    /// The counters at present.
    pub fn snapshot(&self) -> TrafficSnapshot {
        TrafficSnapshot {
            bytes: std::array::from_fn(|kind| self.bytes[kind].load(Ordering::Relaxed)),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// The counters at one time, or between two times.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrafficSnapshot {
    bytes: [u64; TrafficKind::ALL.len()],
    received: u64,
}

impl Sub for TrafficSnapshot {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            bytes: std::array::from_fn(|kind| self.bytes[kind] - earlier.bytes[kind]),
            received: self.received - earlier.received,
        }
    }
}

impl TrafficSnapshot {
    /// These counts as a rate per daemon.
    pub fn per_daemon(&self, daemons: usize, seconds: f64) -> ByteRates {
        let rate = |bytes: u64| bytes as f64 / daemons as f64 / seconds;
        let of = |kind: TrafficKind| rate(self.bytes[kind as usize]);
        ByteRates {
            headers: of(TrafficKind::Headers),
            probes: of(TrafficKind::Probes),
            members: of(TrafficKind::Members),
            engines: of(TrafficKind::Engines),
            loads: of(TrafficKind::Loads),
            notices: of(TrafficKind::Notices),
            sync: of(TrafficKind::Sync),
            copies: of(TrafficKind::Copies),
            store: of(TrafficKind::Store),
            status: of(TrafficKind::Status),
            gossip_received: rate(self.received),
        }
    }
}

/// Bytes per second and daemon. Copies, store and status count both directions, the other kinds
/// what is sent.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ByteRates {
    /// See [`TrafficKind::Headers`].
    pub headers: f64,
    /// See [`TrafficKind::Probes`].
    pub probes: f64,
    /// See [`TrafficKind::Members`].
    pub members: f64,
    /// See [`TrafficKind::Engines`].
    pub engines: f64,
    /// See [`TrafficKind::Loads`].
    pub loads: f64,
    /// See [`TrafficKind::Notices`].
    pub notices: f64,
    /// See [`TrafficKind::Sync`].
    pub sync: f64,
    /// See [`TrafficKind::Copies`].
    pub copies: f64,
    /// See [`TrafficKind::Store`].
    pub store: f64,
    /// See [`TrafficKind::Status`].
    pub status: f64,
    /// Gossip received, headers included.
    pub gossip_received: f64,
}

impl ByteRates {
    /// Gossip sent, headers included.
    pub fn gossip_sent(&self) -> f64 {
        self.headers
            + self.probes
            + self.members
            + self.engines
            + self.loads
            + self.notices
            + self.sync
    }

    /// Everything, in both directions.
    pub fn both_directions(&self) -> f64 {
        self.gossip_sent() + self.gossip_received + self.copies + self.store + self.status
    }
}
