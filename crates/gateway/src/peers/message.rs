//! The datagrams between daemons, in musli's `wire` encoding, which bears added fields.

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

pub use super::configuration_message::{ConfigurationQuery, ConfigurationReply};
pub use super::notice_message::{WireLimit, WireNotice, WirePermitQuery, WirePermitReply};
use super::packed::PackedReplicas;
pub use super::quarantine_message::{WireRecord, WireRecordStrike, WireRecords, WireStrike};
use crate::protocol::{ModelVersion, ReplicaIncarnation};

/// The largest datagram that is sent, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// The largest datagram that is read, in bytes.
pub const RECEIVE_BUFFER_BYTES: usize = 2048;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Asks what is in force and what has changed.
    SyncQuery(SyncQuery),
    /// Answers that.
    SyncReply(Box<SyncReply>),
    /// There is something new: ask.
    ChangesAvailable,
    /// The store answers again, as a daemon of another group found after it had failed.
    StoreRecovered,
    /// Tells another group how a replica's loading of weights goes.
    LoadStatus(LoadStatus),
    /// Prompts that the sender sent to replicas.
    Prompts(Vec<WirePrompt>),
    /// The same, for the leader of the group, which tells them to all members.
    PromptsForLeader(Vec<WirePrompt>),
    /// Prompts that daemons of other groups sent to replicas.
    OtherGroupPrompts(OtherGroupPrompts),
    /// A report that goes to every member of a group, passed on from member to member.
    Spread(Spread),
    /// Asks for all that such a store keeps.
    CachedQuery(CachedQuery),
    /// Answers that.
    CachedReply(CachedReply),
    /// What tenants used at the sender, for the leader of its group.
    Usage(WireUsage),
    /// What tenants used in a group, from its leader to the leader of another one.
    GroupUsage(WireGroupUsage),
    /// Replicas that ended while requests of the sender were open there, for the daemons that count for these.
    Strikes(Vec<WireStrike>),
    /// Requests that ended well at the sender, by fingerprint, for the daemons that count for them.
    Cleared(Vec<u128>),
    /// Records of such requests: from another group, whose news the own group is to know, or for the receiver alone.
    Records(WireRecords),
    /// Asks which configuration the receiver holds, and for pieces of it.
    ConfigurationQuery(ConfigurationQuery),
    /// Answers that.
    ConfigurationReply(ConfigurationReply),
    /// What replicas say of themselves, for the receiver's group.
    Notices(Vec<WireNotice>),
    /// The same for the receiver alone.
    Reminder(Vec<WireNotice>),
    /// Asks for a permit to send a request to a replica.
    PermitQuery(WirePermitQuery),
    /// Answers that.
    PermitReply(WirePermitReply),
}

/// A report on its way through a group, see [`super::spread`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Spread {
    /// The digest of the name of the member that sent it first.
    pub root: u64,
    /// Differs from report to report, so that the members take turns in passing them on.
    pub rotation: u32,
    /// What is reported.
    pub report: Report,
}

/// What is told to every member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Report {
    /// Prompts that were sent to replicas.
    Prompts(Vec<WirePrompt>),
    /// What stores of cached prompt work keep, from the leader of the group, which follows them.
    Cached(Vec<WireCached>),
    /// What tenants used, by group.
    Usage(Vec<WireGroupUsage>),
    /// How a replica's loading of weights goes.
    LoadStatus(LoadStatus),
    /// The store answers again.
    StoreRecovered,
    /// What is known of requests that end replicas.
    Records(Vec<WireRecord>),
    /// What replicas say of themselves.
    Notices(Vec<WireNotice>),
}

/// What one tenant used since the begin of the life that tells it, in the unit of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WireTotals {
    /// The digest of the tenant's name.
    pub tenant: u64,
    /// What its requests asked for.
    pub asked: u64,
    /// What of that was admitted.
    pub admitted: u64,
    /// What had been asked for by the moment from which one counts who was not told before.
    pub asked_before: u64,
    /// What had been admitted by then.
    pub admitted_before: u64,
}

/// What tenants used at one daemon; those of which this has not changed lately are left out.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireUsage {
    /// The digest of the daemon's name.
    pub daemon: u64,
    /// Its life.
    pub incarnation: u64,
    /// The totals.
    pub totals: Vec<WireTotals>,
    /// When they were told, in milliseconds since some moment of that life.
    #[musli(default)]
    pub sent_ms: Option<u64>,
}

/// What tenants used in one group, as its leader has counted since it began to.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireGroupUsage {
    /// The name of the group, see [`super::directory::Directory::group_name`].
    pub group: String,
    /// The life of its leader.
    pub incarnation: u64,
    /// The totals.
    pub totals: Vec<WireTotals>,
    /// The digest of its leader's name.
    #[musli(default)]
    pub leader: u64,
    /// When they were told, in milliseconds since some moment of the leader's life.
    #[musli(default)]
    pub sent_ms: Option<u64>,
}

/// A question.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct SyncQuery {
    /// Returned in the answer.
    pub nonce: u64,
    /// The log of which the sender has the changes up to [`SyncQuery::sequence`].
    pub log_id: u64,
    /// The last change that it has.
    pub sequence: u64,
    /// The digest of all items that it has, see [`super::change_log::ChangeLog::content_digest`].
    #[musli(default)]
    pub content_digest: u64,
    /// The digest of what is known of requests that end replicas, see [`crate::quarantine::ledger::Ledger::digest`].
    #[musli(default)]
    pub quarantine_digest: Option<u64>,
    /// The latest era of the store that is known, see [`crate::store::StoreEra`].
    #[musli(default)]
    pub store_era: Option<u64>,
    /// The version of the configuration that the sender holds; 0 for none.
    #[musli(default)]
    pub configuration_version: u64,
    /// Whether the sender understands [`SyncReply::packed`]. The number 7 stands for another form of it.
    #[musli(Binary, name = 8, default)]
    pub accepts_packed: bool,
}

/// An answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct SyncReply {
    /// The nonce of the question.
    pub nonce: u64,
    /// How old the proof is that [`SyncReply::configuration_version`] was the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// How long ago somebody who reads the whole store knew all that is told here, in milliseconds.
    pub view_age_ms: Option<u64>,
    /// The highest revision of the store that is known of [`SyncReply::store_era`].
    pub store_revision: u64,
    /// The version of the configuration in force.
    pub configuration_version: u64,
    /// The wanted weights.
    pub weights: Vec<WireWeights>,
    /// The lease for orders.
    pub lease: Option<WireLease>,
    /// The log that the changes are of.
    pub log_id: u64,
    /// The last change that these go up to.
    pub sequence: u64,
    /// Whether the changes are all that there is, so that what is not among them is gone.
    pub is_from_start: bool,
    /// Whether more follow.
    pub has_more: bool,
    /// Changes, in order.
    pub changes: Vec<Change>,
    /// Whether the asking daemon has all items of this log already, as its digest shows.
    #[musli(default)]
    pub has_same_items: bool,
    /// How long ago the store was last known to be down for all, in milliseconds.
    #[musli(default)]
    pub store_down_age_ms: Option<u64>,
    /// As [`SyncQuery::quarantine_digest`].
    #[musli(default)]
    pub quarantine_digest: Option<u64>,
    /// As [`SyncQuery::store_era`].
    #[musli(default)]
    pub store_era: Option<u64>,
    /// The revision, of [`SyncReply::store_era`], that the read told which began [`SyncReply::proof_age_ms`] ago. The highest one that
    /// is known says nothing of that moment.
    #[musli(default)]
    pub proof_revision: Option<u64>,
    /// The highest token of a lease that is known; 0 for none.
    #[musli(default)]
    pub highest_token: u64,
    /// Replicas that belong to [`SyncReply::changes`], where the question said that these are understood. The number 18 stands
    /// for another form of them.
    #[musli(Binary, name = 19, default)]
    pub packed: Option<Box<PackedReplicas>>,
    /// Weights that may have been named, see [`crate::suspected_weights`].
    #[musli(Binary, name = 20, default)]
    pub suspected_weights: Vec<WireWeights>,
    /// The log of the daemon whose reads of the store [`SyncReply::view_age_ms`] counts from; none where it is not known.
    #[musli(Binary, name = 21, default)]
    pub view_reader_log: Option<u64>,
}

/// Wanted weights.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireWeights {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// For how long they have been wanted, in milliseconds.
    pub age_ms: u64,
    /// Whether that is assumed, since nobody knows when they were named.
    #[musli(default)]
    pub is_assumed: bool,
}

/// The lease for orders.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireLease {
    /// The revision of its object.
    pub revision: u64,
    /// The holder; empty where it was given back.
    pub holder: String,
    /// The life of the holder.
    pub incarnation: u64,
    /// The fencing token.
    pub token: u64,
    /// The number of renewals.
    pub renewal: u64,
    /// The era of [`WireLease::revision`]; none where the store names none.
    #[musli(default)]
    pub era: Option<u64>,
    /// The era that its writer knew, see [`crate::protocol::LeaseRecord::era`].
    #[musli(default)]
    pub writer_era: Option<u64>,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// An item is there, or has changed.
    Put(Item),
    /// An item is gone.
    Removed(ItemKey),
}

impl Change {
    /// What it is about.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Put(item) => item.key(),
            Self::Removed(key) => key.clone(),
        }
    }

    /// About its size in a datagram, in bytes.
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
                of_models + of_texts(&names)
            }
            Self::Put(Item::Daemon(daemon)) => {
                of_texts(&[&daemon.name, &daemon.peers, &daemon.zone])
            }
            Self::Removed(ItemKey::Replica(name) | ItemKey::Daemon(name)) => name.len(),
        };
        FIELDS + content
    }
}

/// What an item is called.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub enum ItemKey {
    /// A replica, by id.
    Replica(String),
    /// A daemon, by name.
    Daemon(String),
}

/// What daemons keep of replicas and of each other.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Item {
    /// A replica.
    Replica(WireReplica),
    /// A daemon.
    Daemon(WireDaemon),
}

impl Item {
    /// Its key.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Replica(replica) => ItemKey::Replica(replica.id.clone()),
            Self::Daemon(daemon) => ItemKey::Daemon(daemon.name.clone()),
        }
    }

    /// A digest of all its fields; 0 where it does not encode.
    pub fn digest(&self) -> u64 {
        musli::wire::to_vec(self).map_or(0, |bytes| xxh3_64(&bytes))
    }
}

/// A replica.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireReplica {
    /// Its id.
    pub id: String,
    /// Which of its lives, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Its weights: models with their versions.
    pub models: Vec<(String, u64)>,
}

impl WirePrompt {
    /// The life that was given the prompt.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        incarnation(&self.replica, self.born)
    }
}

impl LoadStatus {
    /// The life that loads.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        incarnation(&self.replica, self.born)
    }

    /// What it loads.
    pub fn weights(&self) -> ModelVersion {
        ModelVersion {
            model: self.model.clone(),
            version: self.version,
        }
    }
}

/// The life of the replica `id` that began at `born`.
pub(super) fn incarnation(id: &str, born: Option<u64>) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: id.to_owned(),
        born,
    }
}

/// A daemon.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireDaemon {
    /// Its name.
    pub name: String,
    /// Its address for other daemons.
    pub peers: String,
    /// Its zone.
    pub zone: String,
    /// What its machine can carry: the smaller of its processor in thousandths of a core and its link in megabits
    /// a second. Those that can carry more take the roles that others rely on.
    #[musli(default)]
    pub capacity: u32,
}

/// A prompt that a replica was given.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WirePrompt {
    /// The replica's id.
    pub replica: String,
    /// Which of its lives, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// Tokens that it probably has to read.
    pub tokens: u64,
    /// The keys of the prompt's shared prefixes, see [`crate::cache::PrefixKey`].
    pub prefixes: Vec<u64>,
    /// A short digest of the name of the daemon that sent it, which gets its own reports back.
    #[musli(default)]
    pub sender: u32,
}

/// Prompts that daemons of one group sent, for another group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct OtherGroupPrompts {
    /// The prompts.
    pub prompts: Vec<WirePrompt>,
    /// The zone of the daemons that sent them.
    #[musli(default)]
    pub zone: String,
}

/// News of one store of cached prompt work, see [`crate::cache::CachedNews`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireCached {
    /// The store's address.
    pub store: String,
    /// The life of the store.
    pub epoch: u64,
    /// Where its events go on.
    pub next: u64,
    /// Whether the store answers.
    pub is_known: bool,
    /// Whether all that is kept is told from here on.
    pub is_from_start: bool,
    /// Digests of parts with the tokens kept of them; 0 for those that are gone.
    pub changes: Vec<(u64, u32)>,
}

/// A question for a page of what a store keeps.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CachedQuery {
    /// Returned in the answer.
    pub nonce: u64,
    /// The store's address.
    pub store: String,
    /// The digest after which the page begins; none for the first page.
    pub after: Option<u64>,
}

/// A page of what a store keeps; one that is not full is the last.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CachedReply {
    /// The nonce of the question.
    pub nonce: u64,
    /// The life of the store.
    pub epoch: u64,
    /// Where its events go on.
    pub next: u64,
    /// Whether anything is known of the store.
    pub is_known: bool,
    /// Digests of parts with the tokens kept of them, in the order of the digests.
    pub changes: Vec<(u64, u32)>,
}

/// How a replica's loading of weights goes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoadStatus {
    /// The replica's id.
    pub replica: String,
    /// Which of its lives, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Whether it has the weights by now; else it has begun to load them.
    pub is_done: bool,
    /// Whether the load has failed.
    pub has_failed: bool,
    /// Whether the replica refused the version, as one that was not named.
    #[musli(default)]
    pub is_refused: bool,
}

impl Message {
    /// The datagram's bytes; nothing where it can't be encoded, which no message is known to do: it is then lost like any
    /// other datagram.
    pub fn encode(&self) -> Option<Vec<u8>> {
        musli::wire::to_vec(self).ok()
    }

    /// Reads a datagram; nothing where it does not decode.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        musli::wire::decode(bytes).ok()
    }
}
