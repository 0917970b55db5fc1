//! The software version at which each resumable stream began: a stream may only go on at that version.
//!
//! A version belongs to an incarnation of a replica, not to its id or address. The gateway that relays a stream confirms
//! the incarnation on the connection that carries it, and keeps a record of its version. While replicas of several
//! versions are in use, it also sends the record to a few home gateways, chosen by rendezvous hashing, before the first
//! event is forwarded. A gateway at which a caller takes a stream up asks these homes.
//!
//! While only one version has been in use, no records are sent. A stream without a record then began at that version,
//! provided that the versions are known for as long as a stream can have run, and that the gateways that answer have not
//! seen another version either. As soon as a second version appears, each gateway sends the records of its earlier
//! streams.
//!
//! Gateways that have just started have seen no version. For each service the store therefore keeps one record of the
//! versions in use, from which they learn what was in use before.
//!
//! - [`records`]: the records of streams, own ones and those kept for other gateways.
//! - [`history`]: the versions in use lately, by service, and how far back they are known.
//! - [`stored`]: the records of versions in the store.
//! - [`origin`]: the decision from records and versions where a stream began.
//! - `lookup`: asks other gateways.

pub mod history;
mod key;
mod lookup;
mod metrics;
pub mod origin;
pub mod records;
pub mod stored;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use key::StreamKey;
pub(crate) use lookup::{OriginError, find_origin};
pub use metrics::StreamMetrics;

use crate::peers::directory::{Directory, name_digest};
use crate::peers::message::{WireDaemon, WireStreamQuery, WireStreamReply};
use crate::protocol::{SoftwareVersion, VersionRecord};
use crate::replicas::Registry;
use crate::state::GatewayState;
use crate::store::{StoreEra, StorePosition};
use history::VersionHistory;
use origin::KnownVersions;
use records::{StreamRecord, StreamRecords};
use stored::{StoredRecord, StoredVersions, record_to_write};

/// Gateways that keep the record of a stream besides the one that relays it: two may be down, cut off or restarted.
const HOMES: usize = 3;

/// Gateways that are asked for a record. More than the homes, since gateways that come and go change who they are.
const ASKED: usize = 5;

/// Limit of the pending queries. Beyond it a query counts as unanswered.
const MAX_PENDING: usize = 4096;

/// The time between two reads of the records of versions: one that lacks a version is complete again after minutes only, and
/// callers may take many streams up meanwhile.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Gateways that write the record of a service's versions, one after the other until it is stored.
const VERSION_WRITERS: usize = 3;

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
    /// The records of versions as this gateway last read or wrote them, by the digest of the service's name.
    stored: RefCell<HashMap<u64, StoredRecord>>,
    /// When the records were last to be read, and whether they could be.
    last_read: Cell<Option<(Instant, bool)>>,
    /// Wakes the task that reads the records of versions.
    pub(crate) read_wanted: Notify,
    /// Wakes it for a read that need not show the newest ones.
    pub(crate) recent_read_wanted: Notify,
    /// Whether such a read was asked for since the start. It is not needed at the first start of the whole system.
    has_asked_recent: Cell<bool>,
    /// Counts its reads, successful or not.
    reads: watch::Sender<u64>,
    /// Wakes the task that writes the records of versions.
    pub(crate) versions_changed: Notify,
}

impl StreamVersions {
    /// The state of a gateway that starts now; `is_first_start` says whether the whole system does so for the first time.
    pub fn new(is_first_start: bool, now: Instant) -> Self {
        let streams = Self::default();
        streams.has_asked_recent.set(is_first_start);
        if is_first_start {
            streams.history.borrow_mut().set_first_start(now);
        }
        streams
    }

    /// Records a stream that this gateway relays. Its homes are informed if its version can't be inferred elsewhere.
    pub fn record_own(&self, key: StreamKey, record: StreamRecord, state: &GatewayState) {
        let now = Instant::now();
        let record = StreamRecord {
            is_own: true,
            ..record
        };
        self.records.borrow_mut().insert(key, record, now);
        let inferable = self.inferable_version(state, record.service, now);
        if record.version.is_none() || inferable != record.version {
            self.outbox.borrow_mut().push((key, record));
            self.outbox_changed.notify_one();
            if !self.has_asked_recent.replace(true) {
                self.recent_read_wanted.notify_one();
            }
        }
    }

    /// The version of a service that other gateways infer for a stream without a record: the only one, as they can find
    /// out from this gateway or from the store.
    fn inferable_version(
        &self,
        state: &GatewayState,
        service: u64,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let sole = self.history.borrow().sole(service, now)?;
        let stored = self.stored.borrow();
        let is_stored = stored
            .get(&service)
            .is_some_and(|stored| stored.proves_only(sole, state.store_eras.known()));
        let is_known = || self.known_span(state, service, now) >= origin::MAX_STREAM_AGE;
        (is_stored || is_known()).then_some(sole)
    }

    /// How far back all versions of a service are known here.
    pub(crate) fn known_span(&self, state: &GatewayState, service: u64, now: Instant) -> Duration {
        let watched_since = state.peers.view_uninterrupted_since();
        self.history.borrow().span(service, watched_since, now)
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
        let changes = history.changes();
        for service in history.update(registry.software_by_service(), now) {
            self.send_own_of_service(service, now);
        }
        if history.changes() != changes {
            self.versions_changed.notify_one();
        }
    }

    fn send_own_of_service(&self, service: u64, now: Instant) {
        let own = self.records.borrow().own_of_service(service, now);
        self.outbox.borrow_mut().extend(own);
        self.outbox_changed.notify_one();
    }

    /// Applies the records of all services in the store, which were read at `read_at`. `is_proof` says whether these are the
    /// newest ones.
    pub(crate) fn apply_stored(
        &self,
        records: HashMap<u64, StoredRecord>,
        is_proof: bool,
        state: &GatewayState,
        read_at: Instant,
    ) {
        let watched_since = state.peers.view_uninterrupted_since();
        let mut history = self.history.borrow_mut();
        for (service, stored) in &records {
            let Some(record) = &stored.record else {
                continue;
            };
            let is_proof = is_proof && record.era == stored.position.era;
            if history.apply_record(*service, record, is_proof, watched_since, read_at) {
                self.send_own_of_service(*service, read_at);
            }
        }
        self.stored.replace(records);
        self.versions_changed.notify_one();
    }

    /// Records that this gateway has written the record of a service.
    pub(crate) fn note_stored(&self, service: u64, record: VersionRecord, position: StorePosition) {
        let stored = StoredRecord {
            record: Some(record),
            position,
        };
        self.stored.borrow_mut().insert(service, stored);
    }

    /// Where the record of a service is stored.
    pub(crate) fn stored_position(&self, service: u64) -> Option<StorePosition> {
        let stored = self.stored.borrow();
        stored.get(&service).map(|stored| stored.position)
    }

    /// The record that has to be written for a service; none if the stored one is up to date.
    pub(crate) fn unstored_record(
        &self,
        state: &GatewayState,
        service: u64,
        now: Instant,
    ) -> Option<VersionRecord> {
        let in_use = self.history.borrow().in_use(service, now);
        let span = self.known_span(state, service, now);
        let stored = self.stored.borrow();
        let stored = stored
            .get(&service)
            .and_then(|stored| stored.record.as_ref());
        record_to_write(stored, &in_use, span, state.store_eras.known())
    }

    /// Records the end of a read of the records that began at `began_at`, and wakes those who wait for it.
    pub(crate) fn note_read(&self, began_at: Instant, is_readable: bool) {
        self.last_read.set(Some((began_at, is_readable)));
        self.reads.send_modify(|reads| *reads += 1);
    }

    /// Has the records read, unless this was done lately, and waits for the end of that read.
    pub(crate) async fn read_stored(&self) {
        let last_read = self.last_read.get();
        let is_recent = last_read.is_some_and(|(at, _)| at.elapsed() < MIN_READ_INTERVAL);
        if is_recent {
            return;
        }
        let mut reads = self.reads.subscribe();
        self.read_wanted.notify_one();
        // This can't fail: the sender outlives this borrow.
        let _ = reads.changed().await;
    }

    /// What the store says of the versions of a service, as far as this gateway could read it.
    pub(crate) fn stored_versions(&self, service: u64, era: StoreEra) -> StoredVersions {
        match self.last_read.get() {
            None => StoredVersions::Unread,
            Some((_, false)) => StoredVersions::Unreadable,
            Some((_, true)) => StoredVersions::of(self.stored.borrow().get(&service), era),
        }
    }

    /// The versions of a service that were in use lately, as far as this gateway knows.
    pub(crate) fn known_versions(&self, state: &GatewayState, service: u64) -> KnownVersions {
        let now = Instant::now();
        KnownVersions {
            versions: self.history.borrow().versions(service, now),
            span: self.known_span(state, service, now),
            view_age: state.peers.view_age(),
        }
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
    by_rendezvous(directory, &key.number().to_le_bytes(), count)
}

/// The rank of the gateway `own` among those that write the record of a service's versions; 0 is the first.
pub fn writer_rank(directory: &Directory, service: u64, own: &WireDaemon) -> Option<usize> {
    let writers = by_rendezvous(directory, &service.to_le_bytes(), VERSION_WRITERS);
    writers.iter().position(|writer| writer.name == own.name)
}

fn by_rendezvous<'a>(directory: &'a Directory, key: &[u8], count: usize) -> Vec<&'a WireDaemon> {
    directory.highest(count, |daemon| {
        xxh3_64_with_seed(key, name_digest(&daemon.name))
    })
}

/// Whether this gateway's view of the replicas is recent enough to rely on the versions that it has seen.
pub(crate) fn is_view_current(state: &GatewayState) -> bool {
    let view_age = state.peers.view_age();
    view_age.is_some_and(|age| age <= origin::MAX_VIEW_AGE)
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
