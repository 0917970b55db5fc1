//! The software version at which each resumable stream began: a stream may only go on at that version.
//!
//! A version belongs to an incarnation of a replica, not to its id or address. The gateway that relays a stream confirms
//! the incarnation on the connection that carries it, and keeps a record of its version. While replicas of several
//! versions are in use, it also sends the record to a few home gateways, chosen by rendezvous hashing, before the first
//! event is forwarded. A gateway at which a caller takes a stream up asks these homes.
//!
//! While only one version has been in use, no records are sent. A stream without a record then began at that version,
//! provided that the gateways that answer have not seen another version either. As soon as a second version appears,
//! each gateway sends the records of its earlier streams.
//!
//! - [`records`]: the records of streams, own ones and those kept for other gateways.
//! - [`history`]: the versions in use lately, by service.
//! - [`origin`]: the decision from records and versions where a stream began.
//! - `lookup`: asks other gateways.

pub mod history;
mod key;
mod lookup;
mod metrics;
pub mod origin;
pub mod records;

use std::cell::RefCell;
use std::collections::HashMap;

use driftspring_clock::Instant;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use key::StreamKey;
pub(crate) use lookup::find_origin;
pub use metrics::StreamMetrics;

use crate::peers::directory::{Directory, name_digest};
use crate::peers::message::{WireDaemon, WireStreamQuery, WireStreamReply};
use crate::protocol::SoftwareVersion;
use crate::replicas::Registry;
use history::VersionHistory;
use records::{StreamRecord, StreamRecords};

/// Gateways that keep the record of a stream besides the one that relays it: two may be down, cut off or restarted.
const HOMES: usize = 3;

/// Gateways that are asked for a record. More than the homes, since gateways that come and go change who they are.
const ASKED: usize = 5;

/// Limit of the pending queries. Beyond it a query counts as unanswered.
const MAX_PENDING: usize = 4096;

/// The digest of a service's name.
pub fn service_digest(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

/// The versions of streams at one gateway.
#[derive(Debug, Default)]
pub struct StreamVersions {
    records: RefCell<StreamRecords>,
    history: RefCell<VersionHistory>,
    outbox: RefCell<Vec<(StreamKey, StreamRecord)>>,
    queries: RefCell<Vec<(WireStreamQuery, String)>>,
    pending: RefCell<HashMap<u64, UnboundedSender<WireStreamReply>>>,
    /// Wakes the task that sends records and queries.
    pub(crate) outbox_changed: Notify,
}

impl StreamVersions {
    /// Records a stream that this gateway relays. Its homes are informed if its version can't be inferred elsewhere.
    pub fn record_own(&self, key: StreamKey, record: StreamRecord, now: Instant) {
        let record = StreamRecord {
            is_own: true,
            ..record
        };
        self.records.borrow_mut().insert(key, record, now);
        let sole = self.history.borrow().sole(record.service, now);
        if record.version.is_none() || sole != record.version {
            self.outbox.borrow_mut().push((key, record));
            self.outbox_changed.notify_one();
        }
    }

    /// Keeps the record of a stream that another gateway relays.
    pub fn record_for_peer(&self, key: StreamKey, record: StreamRecord, now: Instant) {
        self.records.borrow_mut().insert(key, record, now);
    }

    /// The record of a stream.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<StreamRecord> {
        self.records.borrow().get(key, now)
    }

    /// Notes the versions of all listed replicas. If a second version of a service has appeared, the records of its
    /// streams are sent to their homes.
    pub fn note_listed(&self, registry: &Registry, now: Instant) {
        let mut history = self.history.borrow_mut();
        for service in history.update(registry.software_by_service(), now) {
            let own = self.records.borrow().own_of_service(service, now);
            self.outbox.borrow_mut().extend(own);
            self.outbox_changed.notify_one();
        }
    }

    /// The versions of a service that were in use lately.
    pub fn versions_of(&self, service: u64, now: Instant) -> history::Versions {
        self.history.borrow().versions(service, now)
    }

    /// Takes the records to be sent to their homes.
    pub(crate) fn take_outbox(&self) -> Vec<(StreamKey, StreamRecord)> {
        self.outbox.take()
    }

    /// Takes the queries to be sent, with their destinations.
    pub(crate) fn take_queries(&self) -> Vec<(WireStreamQuery, String)> {
        self.queries.take()
    }

    /// Hands a reply to the request that waits for it. A late one is dropped.
    pub(crate) fn handle_reply(&self, reply: WireStreamReply) {
        if let Some(pending) = self.pending.borrow().get(&reply.nonce) {
            // The receiver is gone if its request was dropped.
            let _ = pending.send(reply);
        }
    }
}

/// The gateways that keep the record of a stream.
pub(crate) fn homes(directory: &Directory, key: StreamKey) -> Vec<&WireDaemon> {
    ranked(directory, key, HOMES)
}

fn ranked(directory: &Directory, key: StreamKey, count: usize) -> Vec<&WireDaemon> {
    let bytes = key.number().to_le_bytes();
    directory.highest(count, |daemon| {
        xxh3_64_with_seed(&bytes, name_digest(&daemon.name))
    })
}

/// At which version a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VersionBinding {
    /// At any: no event of its stream was forwarded, or its stream can't be resumed.
    #[default]
    Free,
    /// Only at the version that began its stream.
    Bound(SoftwareVersion),
    /// At none: its stream began at a replica whose version is not known for certain.
    Unknown,
}

impl VersionBinding {
    /// The binding of a stream that began at a replica of this version.
    pub fn to(version: Option<SoftwareVersion>) -> Self {
        version.map_or(Self::Unknown, Self::Bound)
    }

    /// Whether a replica of this version may run the request.
    pub fn allows(self, version: Option<SoftwareVersion>) -> bool {
        match self {
            Self::Free => true,
            Self::Bound(bound) => version == Some(bound),
            Self::Unknown => false,
        }
    }
}
