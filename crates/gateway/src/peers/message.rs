//! The datagrams that gateways exchange, in musli's `wire` encoding, which tolerates added fields.

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

pub use super::configuration_message::{ConfigurationQuery, ConfigurationReply};
pub use super::forward_message::{WireForwardOffer, WireForwardQuery};
pub use super::notice_message::{
    WireBrittle, WireLimit, WireNotice, WirePermitQuery, WirePermitReply,
};
use super::packed::PackedReplicas;
pub use super::prompt_message::{OtherGroupPrompts, WirePrompt};
pub use super::quarantine_message::{WireRecord, WireRecordStrike, WireRecords, WireStrike};
pub use super::stream_message::{WireStream, WireStreamQuery, WireStreamReply};
use crate::protocol::{ModelVersion, ReplicaIncarnation};

/// The size limit of a sent datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// The size of the receive buffer, in bytes.
pub const RECEIVE_BUFFER_BYTES: usize = 2048;

/// A datagram between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Asks for the configuration version, weights and lease in force and for changed replicas and gateways.
    SyncQuery(SyncQuery),
    /// The reply to [`Message::SyncQuery`].
    SyncReply(Box<SyncReply>),
    /// The sender has changes: the receiver should send its next query now.
    ChangesAvailable,
    /// A gateway of another group has found that the store answers again after an outage.
    StoreRecovered,
    /// Reports the state of a replica's weight load to another group.
    LoadStatus(LoadStatus),
    /// Prompts that the sender dispatched to replicas.
    Prompts(Vec<WirePrompt>),
    /// Prompts that the sender dispatched, for its group's leader, which forwards them to all members.
    PromptsForLeader(Vec<WirePrompt>),
    /// Prompts that gateways of another group dispatched to replicas.
    OtherGroupPrompts(OtherGroupPrompts),
    /// A report for every member of a group, forwarded from member to member.
    Spread(Spread),
    /// Asks for a page of the contents of a prompt-cache store.
    CachedQuery(CachedQuery),
    /// The reply to [`Message::CachedQuery`].
    CachedReply(CachedReply),
    /// Tenants' usage at the sender, for the leader of its group.
    Usage(WireUsage),
    /// Tenants' usage in a group, from its leader to the leader of another group.
    GroupUsage(WireGroupUsage),
    /// Replicas that terminated with requests of the sender open, for the gateways that keep these requests' records.
    Strikes(Vec<WireStrike>),
    /// Fingerprints of requests that completed at the sender, for the gateways that keep their records.
    Cleared(Vec<u128>),
    /// Quarantine records: from another group and to be forwarded to the own one, or for the receiver alone.
    Records(WireRecords),
    /// Asks which version of the configuration the receiver holds, and for pieces of its document.
    ConfigurationQuery(ConfigurationQuery),
    /// The reply to [`Message::ConfigurationQuery`].
    ConfigurationReply(ConfigurationReply),
    /// Limits and leave notices that replicas have announced, for the receiver's group.
    Notices(Vec<WireNotice>),
    /// The same notices, for the receiver alone.
    Reminder(Vec<WireNotice>),
    /// Asks for a permit to send a request to a rate-limited replica.
    PermitQuery(WirePermitQuery),
    /// The reply to [`Message::PermitQuery`].
    PermitReply(WirePermitReply),
    /// Asks whether the receiver takes requests for services that the sender can't reach.
    ForwardQuery(WireForwardQuery),
    /// The reply to [`Message::ForwardQuery`].
    ForwardOffer(WireForwardOffer),
    /// Streams that the sender relays and that the receiver keeps records of.
    StreamsBegun(Vec<WireStream>),
    /// Asks where a stream began.
    StreamQuery(WireStreamQuery),
    /// The reply to [`Message::StreamQuery`].
    StreamReply(WireStreamReply),
}

/// A report that is being forwarded through a group, see [`super::spread`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Spread {
    /// The digest of the name of the member that originated it.
    pub root: u64,
    /// Differs between reports, so that the forwarding load rotates among the members.
    pub rotation: u32,
    /// The content.
    pub report: Report,
}

/// The content of a report to every member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Report {
    /// Prompts that were dispatched to replicas.
    Prompts(Vec<WirePrompt>),
    /// Changes in the contents of prompt-cache stores, from the group's leader, which follows these stores.
    Cached(Vec<WireCached>),
    /// Tenants' usage by group.
    Usage(Vec<WireGroupUsage>),
    /// The state of a replica's weight load.
    LoadStatus(LoadStatus),
    /// The store answers again after an outage.
    StoreRecovered,
    /// Records of requests that terminate replicas.
    Records(Vec<WireRecord>),
    /// Limits and leave notices that replicas have announced.
    Notices(Vec<WireNotice>),
}

/// One tenant's usage since the start of the reporting incarnation, in the unit of the tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireTotals {
    /// The digest of the tenant's name.
    pub tenant: u64,
    /// The total of what its requests asked for.
    pub asked: u64,
    /// The admitted part of that.
    pub admitted: u64,
    /// The value of [`WireTotals::asked`] from which a receiver without an earlier report counts.
    pub asked_before: u64,
    /// The value of [`WireTotals::admitted`] from which such a receiver counts.
    pub admitted_before: u64,
}

/// Tenants' usage at one gateway; tenants without recent changes are left out.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireUsage {
    /// The digest of the gateway's name.
    pub daemon: u64,
    /// The gateway's incarnation.
    pub incarnation: u64,
    /// The totals.
    pub totals: Vec<WireTotals>,
    /// When the totals were sent, in milliseconds since a fixed moment of this incarnation.
    #[musli(default)]
    pub sent_ms: Option<u64>,
    /// Demand and use by service and tenant, see [`crate::shares`].
    #[musli(default)]
    pub shares: Vec<WireTotals>,
}

/// Tenants' usage in one group since its leader began to count.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireGroupUsage {
    /// The name of the group, see [`super::directory::Directory::group_name`].
    pub group: String,
    /// The incarnation of its leader.
    pub incarnation: u64,
    /// The totals.
    pub totals: Vec<WireTotals>,
    /// The digest of its leader's name.
    #[musli(default)]
    pub leader: u64,
    /// When the totals were sent, in milliseconds since a fixed moment of the leader's incarnation.
    #[musli(default)]
    pub sent_ms: Option<u64>,
    /// Demand and use by service and tenant, see [`crate::shares`].
    #[musli(default)]
    pub shares: Vec<WireTotals>,
}

/// Asks for the receiver's state and for the changes that the sender lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct SyncQuery {
    /// Copied into the reply.
    pub nonce: u64,
    /// The id of the change log that the sender has followed up to [`SyncQuery::sequence`].
    pub log_id: u64,
    /// The number of the last change that the sender has.
    pub sequence: u64,
    /// The digest of all items that the sender has, see [`super::change_log::ChangeLog::content_digest`].
    #[musli(default)]
    pub content_digest: u64,
    /// The digest of the sender's records of requests that terminate replicas, see
    /// [`crate::quarantine::ledger::Ledger::digest`].
    #[musli(default)]
    pub quarantine_digest: Option<u64>,
    /// The latest era of the store that the sender knows, see [`crate::store::StoreEra`].
    #[musli(default)]
    pub store_era: Option<u64>,
    /// The version of the configuration that the sender holds; 0 for none.
    #[musli(default)]
    pub configuration_version: u64,
    /// Whether the sender decodes [`SyncReply::packed`]. Field number 7 stood for an earlier packed format.
    #[musli(Binary, name = 8, default)]
    pub accepts_packed: bool,
}

/// The sender's state and the changes that the querying gateway lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct SyncReply {
    /// The nonce of the query.
    pub nonce: u64,
    /// How long ago a read of the store showed that [`SyncReply::configuration_version`] was the newest, in
    /// milliseconds.
    pub proof_age_ms: Option<u64>,
    /// How long ago a reader of the whole store had all the items of the sender, in milliseconds.
    pub view_age_ms: Option<u64>,
    /// The highest known revision of the store in [`SyncReply::store_era`].
    pub store_revision: u64,
    /// The version of the configuration that the sender holds; 0 for none.
    pub configuration_version: u64,
    /// The wanted weights.
    pub weights: Vec<WireWeights>,
    /// The lease for orders.
    pub lease: Option<WireLease>,
    /// The id of the change log of [`SyncReply::changes`].
    pub log_id: u64,
    /// The number of the last change up to which this reply is complete.
    pub sequence: u64,
    /// Whether the changes start at the beginning of the log, so that an item missing from the whole transfer is
    /// removed.
    pub is_from_start: bool,
    /// Whether more changes follow.
    pub has_more: bool,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Whether the querying gateway already has all items of this log, judging by its digest.
    #[musli(default)]
    pub has_same_items: bool,
    /// How long ago the store was last known to be down for all gateways, in milliseconds.
    #[musli(default)]
    pub store_down_age_ms: Option<u64>,
    /// As [`SyncQuery::quarantine_digest`].
    #[musli(default)]
    pub quarantine_digest: Option<u64>,
    /// As [`SyncQuery::store_era`].
    #[musli(default)]
    pub store_era: Option<u64>,
    /// The revision, in [`SyncReply::store_era`], returned by the read that started [`SyncReply::proof_age_ms`] ago.
    /// The highest known revision may be later than that read.
    #[musli(default)]
    pub proof_revision: Option<u64>,
    /// The highest known fencing token of a lease; 0 for none.
    #[musli(default)]
    pub highest_token: u64,
    /// Replicas that belong to [`SyncReply::changes`], if the query accepts packed ones. Field number 18 stood for an
    /// earlier packed format.
    #[musli(Binary, name = 19, default)]
    pub packed: Option<Box<PackedReplicas>>,
    /// Weights that may be wanted, see [`crate::suspected_weights`].
    #[musli(Binary, name = 20, default)]
    pub suspected_weights: Vec<WireWeights>,
    /// The log id of the gateway whose read of the store [`SyncReply::view_age_ms`] is counted from; none if it is
    /// unknown.
    #[musli(Binary, name = 21, default)]
    pub view_reader_log: Option<u64>,
}

/// A wanted version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireWeights {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// How long the version has been wanted, in milliseconds.
    pub age_ms: u64,
    /// Whether that age is assumed, because it is unknown since when the version has been wanted.
    #[musli(default)]
    pub is_assumed: bool,
}

/// The lease for orders.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireLease {
    /// The revision of its object in the store.
    pub revision: u64,
    /// The holder; empty if the lease was released.
    pub holder: String,
    /// The incarnation of the holder.
    pub incarnation: u64,
    /// The fencing token.
    pub token: u64,
    /// The number of renewals.
    pub renewal: u64,
    /// The era of [`WireLease::revision`]; none if the store names no era.
    #[musli(default)]
    pub era: Option<u64>,
    /// The era that its writer knew, see [`crate::protocol::LeaseRecord::era`].
    #[musli(default)]
    pub writer_era: Option<u64>,
}

/// A change of one item.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// The item was added or has changed.
    Put(Item),
    /// The item was removed.
    Removed(ItemKey),
}

impl Change {
    /// The key of the item.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Put(item) => item.key(),
            Self::Removed(key) => key.clone(),
        }
    }

    /// The approximate encoded size, in bytes.
    pub fn wire_size(&self) -> usize {
        const FIELDS: usize = 40;
        let of_texts = |texts: &[&String]| texts.iter().map(|text| text.len()).sum::<usize>();
        let content = match self {
            Self::Put(Item::Replica(replica)) => {
                let names = [
                    &replica.id,
                    &replica.service,
                    &replica.address,
                    &replica.zone,
                ];
                let models = replica.models.iter();
                let of_models: usize = models.map(|(model, _)| model.len() + 12).sum();
                let of_software = replica.software.as_ref().map_or(0, String::len);
                of_models + of_software + of_texts(&names)
            }
            Self::Put(Item::Daemon(daemon)) => {
                of_texts(&[&daemon.name, &daemon.peers, &daemon.zone])
            }
            Self::Removed(ItemKey::Replica(name) | ItemKey::Daemon(name)) => name.len(),
        };
        FIELDS + content
    }
}

/// The key of an item.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub enum ItemKey {
    /// A replica, by id.
    Replica(String),
    /// A gateway, by name.
    Daemon(String),
}

/// A known replica or gateway.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Item {
    /// A replica.
    Replica(WireReplica),
    /// A gateway.
    Daemon(WireDaemon),
}

impl Item {
    /// The key of the item.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Replica(replica) => ItemKey::Replica(replica.id.clone()),
            Self::Daemon(daemon) => ItemKey::Daemon(daemon.name.clone()),
        }
    }

    /// A digest of all fields; 0 if the item can't be encoded.
    pub fn digest(&self) -> u64 {
        musli::wire::to_vec(self).map_or(0, |bytes| xxh3_64(&bytes))
    }
}

/// A replica.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireReplica {
    /// The id.
    pub id: String,
    /// The birth time that identifies its incarnation, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// The service.
    pub service: String,
    /// The address for requests.
    pub address: String,
    /// The zone.
    pub zone: String,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Its loaded weights: models with their versions.
    pub models: Vec<(String, u64)>,
    /// The name of the version of its software, see [`crate::protocol::ReplicaEntry::software`].
    #[musli(default)]
    pub software: Option<String>,
}

impl LoadStatus {
    /// The incarnation that loads the weights.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        incarnation(&self.replica, self.born)
    }

    /// The weights that it loads.
    pub fn weights(&self) -> ModelVersion {
        ModelVersion {
            model: self.model.clone(),
            version: self.version,
        }
    }
}

/// The incarnation of the replica `id` with the birth time `born`.
pub(super) fn incarnation(id: &str, born: Option<u64>) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: id.to_owned(),
        born,
    }
}

/// A gateway.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireDaemon {
    /// The name.
    pub name: String,
    /// Its address for datagrams.
    pub peers: String,
    /// The zone.
    pub zone: String,
    /// The capacity of its machine: the smaller of its processor in thousandths of a core and its link in megabits a
    /// second. Gateways with more capacity rank first and take the roles that others rely on.
    #[musli(default)]
    pub capacity: u32,
}

/// Changes in the contents of one prompt-cache store, see [`crate::cache::CacheUpdate`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireCached {
    /// The store's address.
    pub store: String,
    /// The incarnation of the store.
    pub epoch: u64,
    /// The token of the next event.
    pub next: u64,
    /// Whether the contents are known, that is, whether the store answers.
    pub is_known: bool,
    /// Whether these are the first changes of a complete listing.
    pub is_from_start: bool,
    /// Digests of prompt parts with the number of their tokens in the store; 0 for parts that were removed.
    pub changes: Vec<(u64, u32)>,
}

/// Asks for a page of a store's contents.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CachedQuery {
    /// Returned in the answer.
    pub nonce: u64,
    /// The store's address.
    pub store: String,
    /// The digest after which the page starts; none for the first page.
    pub after: Option<u64>,
}

/// A page of a store's contents; a page that is not full is the last one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CachedReply {
    /// The nonce of the query.
    pub nonce: u64,
    /// The incarnation of the store.
    pub epoch: u64,
    /// The token of the next event.
    pub next: u64,
    /// Whether the sender knows the store's contents.
    pub is_known: bool,
    /// Digests of prompt parts with the number of their tokens in the store, ordered by digest.
    pub changes: Vec<(u64, u32)>,
}

/// The state of a replica's weight load.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoadStatus {
    /// The replica's id.
    pub replica: String,
    /// The birth time that identifies its incarnation, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Whether the load has completed; otherwise it has started.
    pub is_done: bool,
    /// Whether the load has failed.
    pub has_failed: bool,
    /// Whether the replica refused the version because nobody had named it.
    #[musli(default)]
    pub is_refused: bool,
}

impl Message {
    /// Encodes the datagram. No known message fails to encode; one that did would be lost like any other datagram.
    pub fn encode(&self) -> Option<Vec<u8>> {
        musli::wire::to_vec(self).ok()
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        musli::wire::decode(bytes).ok()
    }
}
