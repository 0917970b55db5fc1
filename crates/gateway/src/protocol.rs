//! The traits that a platform adapter implements: the wire formats of requests, replicas and the store.
//!
//! An adapter only translates between HTTP/1.1 messages and the types of this module; it makes no decisions. The rest of
//! the gateway handles typed messages only.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::configuration::Configuration;
use crate::store::{AnswerEra, StorePosition};

mod own_records;

pub use own_records::{DaemonRecord, LeaseRecord, QuarantineRecord, VersionRecord};

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's name; parts with equal names are equal.
    pub id: String,
    /// The part's size in tokens.
    pub tokens: u32,
}

/// A prompt as the caller describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name.
    pub model: String,
    /// Number of tokens in the prompt.
    pub input_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub max_output_tokens: u32,
    /// The parts of the prompt, in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// The caller's estimate of the length of the answer, in tokens.
    pub length_hint: Option<u32>,
}

/// The metadata in the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// The request's id.
    pub id: Option<String>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// The id of the last event received; the stream resumes after it.
    pub last_event_id: Option<String>,
    /// The id of the request that brought the first event of the stream to resume.
    pub resumes: Option<String>,
}

/// The metadata that is sent to a replica in addition to the caller's own headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// The id of the only replica that may run the request.
    pub replica: String,
    /// The time limit for the replica's work.
    pub deadline: Duration,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// The priority among the replica's requests; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The only version of the weights that may process the request.
    pub weights_version: Option<u64>,
    /// The namespace of the prompt cache in which entries for this request are stored and looked up.
    pub cache_scope: Option<String>,
    /// The address from which to fetch cached prompt data.
    pub fetch_from: Option<SocketAddr>,
    /// The address to which to copy cached prompt data.
    pub save_to: Option<SocketAddr>,
    /// The id of the last event received; the stream resumes after it.
    pub last_event_id: Option<String>,
}

/// The number of requests per second that a replica accepts from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    thousandths: u64,
}

impl RequestRate {
    /// Converts from requests per second; `None` if the number is negative or not finite.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Self::from_thousandths((per_second * 1000.0).round() as u64))
    }

    /// Converts from thousandths of a request per second.
    pub fn from_thousandths(thousandths: u64) -> Self {
        Self { thousandths }
    }

    /// The rate in thousandths of a request per second.
    pub fn thousandths(self) -> u64 {
        self.thousandths
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.thousandths as f64 / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.per_second())
    }
}

/// An optional header field that the peer may have filled with an invalid value.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum HeaderField<T> {
    /// The field is absent.
    #[default]
    Absent,
    /// The field holds this value.
    Value(T),
    /// The field can't be parsed, for this reason.
    Unreadable(String),
}

/// The metadata in the headers of a replica's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMeta {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the replica states that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the replica states that it is not the addressed instance, or that it has other weights than requested.
    pub is_misdirected: bool,
    /// The version of the weights.
    pub weights_version: Option<u64>,
    /// The id of the replica that answered, if the answer states it.
    pub replica: Option<String>,
    /// Whether the headers carry the replica's signature.
    pub is_signed: bool,
    /// The rate that the replica accepts from all gateways together; it holds for as long as its answers state it.
    pub request_limit: HeaderField<RequestRate>,
    /// Refusals per second beyond which the replica crashes, if it states that it is brittle.
    pub brittle: HeaderField<u32>,
    /// Whether the replica is draining before it stops.
    pub is_leaving: HeaderField<bool>,
    /// For how long the replica wants no requests from this gateway.
    pub rest: HeaderField<Duration>,
}

/// The wire format of requests and answers.
pub trait RequestProtocol {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Names the field that can't be parsed.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String>;
    /// Whether a header of the caller is forwarded to the replica.
    fn passes_to_replica(&self, name: &HeaderName) -> bool;
    /// Adds the headers for `dispatch`.
    fn write_dispatch(&self, dispatch: &Dispatch, headers: &mut HeaderMap);
    /// Parses the headers of a replica's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;
    /// The name of the header that carries the request's id in answers.
    fn request_id_header(&self) -> HeaderName;
}

/// An HTTP/1.1 request to the store, a replica or a prompt cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body; empty for none.
    pub body: Bytes,
    /// The media type of the body.
    pub content_type: Option<&'static str>,
    /// Additional headers.
    pub headers: HeaderMap,
}

/// The kinds of store objects that the gateway watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The operator's configuration.
    Configuration,
    /// The registration entries of replicas.
    Replicas,
    /// The versions of weights that the operator wants.
    Weights,
    /// Leases held by gateways.
    Leases,
    /// The entries of gateways, which list where each listens for the others.
    Daemons,
    /// Requests that crash the replicas that run them.
    Quarantine,
    /// The software versions that were in use lately, by service.
    SoftwareVersions,
}

/// How recent the data in an answer of the store must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As of the time of the call or later.
    Newest,
    /// The data may be seconds old; such a read costs the store a tenth of a `Newest` read.
    Recent,
}

/// A version of the weights of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model's name.
    pub model: String,
    /// The version of the weights.
    pub version: u64,
}

/// One incarnation of a replica. A replica that restarts may keep its id, but has lost all its state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaIncarnation {
    /// The replica's id.
    pub id: String,
    /// When the incarnation started, in milliseconds of Unix time by the replica's clock; `None` if replicas don't state it.
    /// It is only compared with that of another incarnation of the same id, never with a clock.
    pub born: Option<u64>,
}

impl ReplicaIncarnation {
    /// Whether `other` has the same id and started later.
    pub fn is_before(&self, other: &Self) -> bool {
        self.id == other.id && self.born < other.born
    }

    /// A digest that identifies the incarnation.
    pub fn digest(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.born.unwrap_or(0))
    }
}

/// A digest of the name of a version of replicas' software. Versions have no order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareVersion(pub u64);

impl SoftwareVersion {
    /// The version of this name.
    pub fn named(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A replica's registration entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The incarnation that wrote the entry.
    pub incarnation: ReplicaIncarnation,
    /// The service that the replica belongs to.
    pub service: String,
    /// The replica's address.
    pub address: SocketAddr,
    /// The replica's zone.
    pub zone: String,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining before it stops.
    pub is_draining: bool,
    /// The remaining warm-up time, during which the replica is slow.
    pub cold_remaining: Duration,
    /// The weights that the replica has loaded.
    pub models: Vec<ModelVersion>,
    /// The name of the version of its software; `None` if a gateway of an earlier build passed the entry on.
    pub software: Option<String>,
}

/// The content of a store object.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectContent {
    /// See [`ObjectKind::Configuration`].
    Configuration(Box<Configuration>),
    /// See [`ObjectKind::Replicas`].
    Replica(Box<ReplicaEntry>),
    /// See [`ObjectKind::Weights`].
    Weights(ModelVersion),
    /// See [`ObjectKind::Leases`].
    Lease(LeaseRecord),
    /// See [`ObjectKind::Daemons`].
    Daemon(DaemonRecord),
    /// See [`ObjectKind::Quarantine`].
    Quarantine(QuarantineRecord),
    /// See [`ObjectKind::SoftwareVersions`].
    SoftwareVersions(VersionRecord),
}

/// An object in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredObject {
    /// The object's name; empty if it can't be parsed.
    pub name: String,
    /// The store's position at the object's last change.
    pub position: StorePosition,
    /// The content, or why it can't be parsed: the store also accepts writes by others.
    pub content: Result<ObjectContent, Unreadable>,
}

/// Why an object can't be parsed. Only that object is affected: an invalid replica entry is not used; for an invalid
/// configuration, version of weights or record, the previously known one stays in force; an invalid lease counts as held by
/// another gateway.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {detail}")]
pub struct Unreadable {
    /// The category of the error.
    pub reason: UnreadableReason,
    /// A description of the error.
    pub detail: String,
}

/// The category of a parse error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnreadableReason {
    /// The bytes are not valid text.
    Bytes,
    /// The text is not a well-formed document.
    Syntax,
    /// A field is missing, has the wrong type or has an unknown value.
    Fields,
}

impl fmt::Display for UnreadableReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Bytes => "bytes",
            Self::Syntax => "syntax",
            Self::Fields => "fields",
        })
    }
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListPage {
    /// The objects of the page.
    pub items: Vec<StoredObject>,
    /// Whether further pages follow.
    pub has_more: bool,
    /// The store's position when it answered.
    pub position: StorePosition,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectEvent {
    /// The object after the change, or before its deletion.
    pub object: StoredObject,
    /// Whether the object was deleted.
    pub is_deleted: bool,
}

/// The answer to a watch call.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchPage {
    /// The changes, in order of occurrence.
    pub events: Vec<ObjectEvent>,
    /// The position from which to continue.
    pub position: StorePosition,
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteAnswer {
    /// The write took effect at this position.
    Accepted(StorePosition),
    /// The write had no effect because the object has changed; carries the current object if it can be parsed.
    Conflict(Option<StoredObject>),
    /// The write had no effect because the store is busy or throttles calls; it may be retried.
    Busy,
    /// It is unknown whether the write took effect.
    Unknown,
}

/// The wire format of the store.
pub trait StoreProtocol {
    /// Lists the objects whose names follow `after`.
    fn list(&self, kind: ObjectKind, after: Option<&str>, freshness: Freshness) -> Call;
    /// Waits up to `wait` for changes after `revision`.
    fn watch(&self, kind: ObjectKind, revision: u64, wait: Duration) -> Call;
    /// Writes an object if its revision is `expected`; `None` means that it must not exist.
    fn write(&self, name: &str, content: &ObjectContent, expected: Option<u64>) -> Call;
    /// Deletes an object if its revision is `expected`.
    fn remove(&self, kind: ObjectKind, name: &str, expected: u64) -> Call;
    /// Reads the era from the headers of an answer.
    fn read_era(&self, headers: &HeaderMap) -> AnswerEra;
    /// Parses one page of a list. Its positions, like those of the other answers parsed below, carry no era.
    ///
    /// # Errors
    ///
    /// Describes what can't be parsed.
    fn read_list(&self, kind: ObjectKind, body: &[u8]) -> Result<ListPage, String>;
    /// Parses the answer to a watch call.
    ///
    /// # Errors
    ///
    /// Describes what can't be parsed.
    fn read_watch(&self, kind: ObjectKind, body: &[u8]) -> Result<WatchPage, String>;
    /// Parses a configuration document, see [`Configuration::document`], by the same rules as one that the store lists.
    ///
    /// # Errors
    ///
    /// Describes what can't be parsed.
    fn read_configuration(&self, document: &[u8]) -> Result<Configuration, Unreadable>;
    /// Parses the answer to a write.
    fn read_write(&self, kind: ObjectKind, status: StatusCode, body: &[u8]) -> WriteAnswer;
}

/// How a replica changes its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadMethod {
    /// Open requests finish first.
    Wait,
    /// Open streams are aborted.
    Truncate,
    /// Open streams continue with the new weights.
    Retain,
}

/// An order to a replica to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The id of the only replica that may accept the order.
    pub replica: String,
    /// The weights to load.
    pub weights: ModelVersion,
    /// How open requests are treated.
    pub method: LoadMethod,
    /// The gateway that gives the order.
    pub holder: String,
    /// The fencing token of its lease.
    pub token: u64,
    /// The number of orders that the replica must have accepted before.
    pub expected_sequence: Option<u64>,
}

/// A replica's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The replica has started to load the weights.
    Accepted,
    /// The replica already has the weights.
    Holds,
    /// Another order is in progress, or was accepted before this one.
    Conflict,
    /// A holder with a higher fencing token has given orders.
    Fenced,
    /// The address belongs to another replica.
    Misdirected,
    /// The replica rejects the order because the operator has not named this version.
    NotNamed,
    /// The replica refused for another reason.
    Refused,
}

/// A replica's status report, which may be some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaReport {
    /// When the reporting incarnation started, if the report states it, see [`ReplicaIncarnation::born`].
    pub born: Option<u64>,
    /// The weights that the replica has loaded.
    pub models: Vec<ModelVersion>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The number of orders that the replica has accepted.
    pub order_sequence: u64,
    /// The number of queued requests.
    pub queued: u32,
    /// The number of running requests.
    pub running: u32,
}

/// A change in the prompt cache of a replica or of a KV store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The cache namespace.
    pub scope: String,
    /// The name of the prompt part.
    pub part: String,
    /// The number of its tokens that are cached now.
    pub tokens: u32,
}

/// A page of cache changes, or the complete content of a cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachePage {
    /// Differs between incarnations of the peer.
    pub epoch: u64,
    /// The position from which to continue.
    pub next: u64,
    /// Whether earlier events have been lost.
    pub has_gap: bool,
    /// The changes, in order, or all cached parts.
    pub events: Vec<CacheEvent>,
}

/// The wire format of calls to replicas other than callers' requests.
pub trait ReplicaProtocol {
    /// Gives an order to load weights.
    fn order(&self, order: &WeightsOrder) -> Call;
    /// Parses the answer to an order.
    fn read_order(&self, status: StatusCode) -> OrderAnswer;
    /// Requests a status report.
    fn report(&self) -> Call;
    /// Waits up to `wait` for cache changes after `since`.
    fn cache_events(&self, since: u64, wait: Duration) -> Call;
    /// Parses the answer to [`ReplicaProtocol::cache_events`].
    ///
    /// # Errors
    ///
    /// Describes what can't be parsed.
    fn read_cache_events(&self, body: &[u8]) -> Result<CachePage, String>;
    /// Lists the complete content of the cache.
    fn cache_list(&self) -> Call;
    /// Parses the answer to [`ReplicaProtocol::cache_list`].
    ///
    /// # Errors
    ///
    /// Describes what can't be parsed.
    fn read_cache_list(&self, body: &[u8]) -> Result<CachePage, String>;
    /// Parses a replica's status report.
    ///
    /// # Errors
    ///
    /// Describes what can't be parsed.
    fn read_report(&self, body: &[u8]) -> Result<ReplicaReport, String>;
}

/// All wire formats that a platform adapter supplies.
pub trait Platform: RequestProtocol + StoreProtocol + ReplicaProtocol + Send + Sync {}

impl<T: RequestProtocol + StoreProtocol + ReplicaProtocol + Send + Sync> Platform for T {}
