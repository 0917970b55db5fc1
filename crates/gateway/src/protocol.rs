//! What a platform's adapter has to supply: how requests, replicas and the store are spelled.
//!
//! An adapter translates and decides nothing. Every call is built here as bytes of HTTP/1.1 and every
//! answer is read from them, so that the rest of the gateway knows typed messages only.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::Configuration;
use crate::store::{AnswerEra, StorePosition};

mod own_records;

pub use own_records::{DaemonRecord, LeaseRecord, QuarantineRecord};

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its name; equal names are equal parts.
    pub id: String,
    /// Its size.
    pub tokens: u32,
}

/// What a caller says of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Tokens of the prompt.
    pub input_tokens: u32,
    /// Tokens of the answer at the most.
    pub max_output_tokens: u32,
    /// The parts of the prompt, in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// The caller's guess at the length of the answer, in tokens.
    pub length_hint: Option<u32>,
}

/// What the head of a request says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// The request's id.
    pub id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, where there is one.
    pub prompt: Option<Prompt>,
    /// The event after which the stream goes on.
    pub last_event_id: Option<String>,
}

/// What a replica is told beside the caller's own head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// The id of the only replica that may run the request.
    pub replica: String,
    /// How long the replica may work.
    pub deadline: Duration,
    /// The tenant.
    pub tenant: Option<String>,
    /// The rank among the replica's requests; 0 goes first.
    pub priority: Option<u8>,
    /// The only version of the weights that may run the request.
    pub weights_version: Option<u64>,
    /// The name under which cached prompt work is kept and found.
    pub cache_scope: Option<String>,
    /// Where to take cached prompt work from.
    pub fetch_from: Option<SocketAddr>,
    /// Where to copy cached prompt work to.
    pub save_to: Option<SocketAddr>,
    /// The event after which the stream goes on.
    pub last_event_id: Option<String>,
}

/// How many requests a second a replica takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    thousandths: u64,
}

impl RequestRate {
    /// The rate of so many requests a second; none where that is no rate.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Self::from_thousandths((per_second * 1000.0).round() as u64))
    }

    /// The rate of so many thousandths of a request a second.
    pub fn from_thousandths(thousandths: u64) -> Self {
        Self { thousandths }
    }

    /// Thousandths of a request a second.
    pub fn thousandths(self) -> u64 {
        self.thousandths
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.thousandths as f64 / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.per_second())
    }
}

/// A field of a head that may be missing or hold anything.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum HeaderField<T> {
    /// It is not there.
    #[default]
    Absent,
    /// It holds this.
    Value(T),
    /// It holds nothing that can be read, for this cause.
    Unreadable(String),
}

/// What the head of a replica's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMeta {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the replica says that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the replica says that another one lives at its address, or has other weights.
    pub is_misdirected: bool,
    /// The version of its weights.
    pub weights_version: Option<u64>,
    /// The id of the replica that answered, where it says so.
    pub replica: Option<String>,
    /// Whether the head names the replica's signature.
    pub is_signed: bool,
    /// The rate that the replica takes from all daemons together, for as long as its answers say so.
    pub request_limit: HeaderField<RequestRate>,
    /// Whether the replica is leaving.
    pub is_leaving: HeaderField<bool>,
    /// For how long the replica wants no requests from this daemon.
    pub rest: HeaderField<Duration>,
}

/// How requests and answers are spelled.
pub trait RequestProtocol {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Says which field can't be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String>;
    /// Whether a header of a caller is passed on.
    fn passes_to_replica(&self, name: &HeaderName) -> bool;
    /// Adds the headers of `dispatch`.
    fn write_dispatch(&self, dispatch: &Dispatch, headers: &mut HeaderMap);
    /// Reads the head of a replica's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;
    /// The header that carries the request's id in answers.
    fn request_id_header(&self) -> HeaderName;
}

/// One call over HTTP/1.1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body; empty for none.
    pub body: Bytes,
    /// The media type of the body.
    pub content_type: Option<&'static str>,
    /// Further headers.
    pub headers: HeaderMap,
}

/// The kinds of objects that the gateway follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The operator's configuration.
    Configuration,
    /// The entries of replicas.
    Replicas,
    /// The wanted versions of weights.
    Weights,
    /// Leases of daemons.
    Leases,
    /// The daemons themselves.
    Daemons,
    /// Requests that end the replicas that run them.
    Quarantine,
}

/// How recent an answer of the store must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As of the call or later.
    Newest,
    /// It may be seconds old; costs the store a tenth.
    Recent,
}

/// The weights of one model at a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: u64,
}

/// One life of a replica. A replica that starts again may keep its id; it holds and knows nothing of before.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaIncarnation {
    /// The replica's id.
    pub id: String,
    /// When the life began, in milliseconds of Unix time by the replica's clock; none where replicas don't say. Only
    /// compared with that of another life of the same id, never with a clock.
    pub born: Option<u64>,
}

impl ReplicaIncarnation {
    /// Whether `other`, of the same id, began later.
    pub fn is_before(&self, other: &Self) -> bool {
        self.id == other.id && self.born < other.born
    }

    /// A digest that no other life has.
    pub fn digest(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.born.unwrap_or(0))
    }
}

/// A replica as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The incarnation that wrote the entry.
    pub incarnation: ReplicaIncarnation,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// How much longer it stays slow after its start.
    pub cold_remaining: Duration,
    /// Its weights.
    pub models: Vec<ModelVersion>,
}

/// The content of an object.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectContent {
    /// See [`ObjectKind::Configuration`].
    Configuration(Box<Configuration>),
    /// See [`ObjectKind::Replicas`].
    Replica(ReplicaEntry),
    /// See [`ObjectKind::Weights`].
    Weights(ModelVersion),
    /// See [`ObjectKind::Leases`].
    Lease(LeaseRecord),
    /// See [`ObjectKind::Daemons`].
    Daemon(DaemonRecord),
    /// See [`ObjectKind::Quarantine`].
    Quarantine(QuarantineRecord),
}

/// An object as the store keeps it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredObject {
    /// Its name; empty where it can't be read.
    pub name: String,
    /// Where it was last changed.
    pub position: StorePosition,
    /// Its content, or why it has none: anybody may write to the store.
    pub content: Result<ObjectContent, Unreadable>,
}

/// Why an object can't be read. It costs nothing but that object: a replica's entry names no replica to use, a
/// configuration, a version of weights or a record leaves what was known in force, and a lease counts as held by another.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {detail}")]
pub struct Unreadable {
    /// What is wrong, in short.
    pub reason: UnreadableReason,
    /// The same in words.
    pub detail: String,
}

/// What is wrong with an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnreadableReason {
    /// Its bytes are no text.
    Bytes,
    /// Its text is no document.
    Syntax,
    /// A field is missing or of another type, or has a value that is not known.
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
    /// The objects.
    pub items: Vec<StoredObject>,
    /// Whether more follow after the last of them.
    pub has_more: bool,
    /// How far the store has come.
    pub position: StorePosition,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectEvent {
    /// The object after the change, or before it went.
    pub object: StoredObject,
    /// Whether it is gone.
    pub is_deleted: bool,
}

/// The answer of a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchPage {
    /// The changes, in order.
    pub events: Vec<ObjectEvent>,
    /// Where to go on.
    pub position: StorePosition,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteAnswer {
    /// It took effect there.
    Accepted(StorePosition),
    /// It had no effect: the object is another one by now, if it can be read.
    Conflict(Option<StoredObject>),
    /// It had no effect for now: the store is busy or throttles.
    Busy,
    /// Nothing is known.
    Unknown,
}

/// How the store is spelled.
pub trait StoreProtocol {
    /// Lists objects after a name.
    fn list(&self, kind: ObjectKind, after: Option<&str>, freshness: Freshness) -> Call;
    /// Waits for changes after `revision`, for `wait` at the most.
    fn watch(&self, kind: ObjectKind, revision: u64, wait: Duration) -> Call;
    /// Writes an object that must have `expected` as its revision; none means that it must not exist.
    fn write(&self, name: &str, content: &ObjectContent, expected: Option<u64>) -> Call;
    /// Removes an object that must have `expected` as its revision.
    fn remove(&self, kind: ObjectKind, name: &str, expected: u64) -> Call;
    /// Reads which era an answer names.
    fn read_era(&self, headers: &HeaderMap) -> AnswerEra;
    /// Reads one page of a list. Its positions, and all that are read below, name no era.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_list(&self, kind: ObjectKind, body: &[u8]) -> Result<ListPage, String>;
    /// Reads the answer of a watch.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_watch(&self, kind: ObjectKind, body: &[u8]) -> Result<WatchPage, String>;
    /// Reads the document of a configuration, see [`Configuration::document`], by the same rules as one that the store lists.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_configuration(&self, document: &[u8]) -> Result<Configuration, Unreadable>;
    /// Reads the answer to a write.
    fn read_write(&self, kind: ObjectKind, status: StatusCode, body: &[u8]) -> WriteAnswer;
}

/// How a replica changes its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadMethod {
    /// Open requests end first.
    Wait,
    /// Open streams are cut.
    Truncate,
    /// Open streams go on with the new weights.
    Retain,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The id of the replica that may take it.
    pub replica: String,
    /// The weights.
    pub weights: ModelVersion,
    /// How.
    pub method: LoadMethod,
    /// The daemon that gives it.
    pub holder: String,
    /// The token of its lease.
    pub token: u64,
    /// The number of orders that the replica must have taken before.
    pub expected_sequence: Option<u64>,
}

/// What a replica said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is under way.
    Accepted,
    /// The replica has the weights.
    Holds,
    /// Another order is under way, or came before.
    Conflict,
    /// A later holder has given orders.
    Fenced,
    /// Another replica has the address.
    Misdirected,
    /// It takes no such order: the version was not named.
    NotNamed,
    /// It refused for another reason.
    Refused,
}

/// A replica as it describes itself, some hundred milliseconds late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaReport {
    /// When the life began that answers, where it says so, see [`ReplicaIncarnation::born`].
    pub born: Option<u64>,
    /// Its weights.
    pub models: Vec<ModelVersion>,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders that it has taken.
    pub order_sequence: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
}

/// A change of what a replica or a store of cached prompt work keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The name under which it is kept.
    pub scope: String,
    /// The part.
    pub part: String,
    /// Tokens of it that are kept now.
    pub tokens: u32,
}

/// An answer about what is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachePage {
    /// Differs from one life of the peer to the next.
    pub epoch: u64,
    /// Where to go on.
    pub next: u64,
    /// Whether events before these are lost.
    pub has_gap: bool,
    /// The changes, in order; or all that is kept.
    pub events: Vec<CacheEvent>,
}

/// How replicas are spoken to beside requests.
pub trait ReplicaProtocol {
    /// Gives an order.
    fn order(&self, order: &WeightsOrder) -> Call;
    /// Reads the answer to an order.
    fn read_order(&self, status: StatusCode) -> OrderAnswer;
    /// Asks a replica to describe itself.
    fn report(&self) -> Call;
    /// Waits for changes of what is kept after `since`, for `wait` at the most.
    fn cache_events(&self, since: u64, wait: Duration) -> Call;
    /// Reads the answer to [`ReplicaProtocol::cache_events`].
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_cache_events(&self, body: &[u8]) -> Result<CachePage, String>;
    /// Lists all that is kept.
    fn cache_list(&self) -> Call;
    /// Reads the answer to [`ReplicaProtocol::cache_list`].
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_cache_list(&self, body: &[u8]) -> Result<CachePage, String>;
    /// Reads a replica's description.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn read_report(&self, body: &[u8]) -> Result<ReplicaReport, String>;
}

/// Everything that an adapter supplies.
pub trait Platform: RequestProtocol + StoreProtocol + ReplicaProtocol + Send + Sync {}

impl<T: RequestProtocol + StoreProtocol + ReplicaProtocol + Send + Sync> Platform for T {}
