//! Errors that carry the step and the peer at which they arose, and whether a retry is safe.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonId, EngineId};

/// The step of a request or of control work at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading and checking the caller's request.
    Decode,
    /// Finding the tenant of a bearer key.
    Authenticate,
    /// Finding the route of a tenant and model.
    MatchRoute,
    /// Hashing the prompt's nested prefix.
    Fingerprint,
    /// Choosing the priority.
    Classify,
    /// Applying limits and fairness.
    Admit,
    /// Claiming a request that may not be repeated.
    Claim,
    /// Choosing the engine.
    ChooseEngine,
    /// Opening the request at the engine.
    Dispatch,
    /// Passing the engine's stream on.
    Relay,
    /// Recording the outcome.
    Account,
    /// Passing a request to the legacy upstream.
    PassThrough,
    /// Reading or writing the object store.
    Store,
    /// Watching the object store.
    Watch,
    /// Reading the machine list.
    Machines,
    /// Reading an engine's status.
    Observe,
    /// Reading an engine's cache events.
    CacheEvents,
    /// Sending an order to an engine.
    Order,
    /// Exporting, importing or keeping KV cache.
    KeptCache,
    /// Exchanging messages between daemons.
    Gossip,
    /// Copying configuration from another daemon.
    Synchronise,
    /// Executing an operator's statement.
    Operate,
    /// Holding or taking a lease.
    Lease,
    /// Starting the process.
    Start,
    /// Stopping the process.
    Stop,
}

/// The other side at which an error arose.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Peer {
    /// This process itself.
    Local,
    /// The caller of the request.
    Caller,
    /// An operator.
    Operator,
    /// An engine.
    Engine(EngineId),
    /// Another daemon.
    Daemon(DaemonId),
    /// The object store.
    ObjectStore,
    /// The machine list.
    MachineList,
    /// The weight store.
    WeightStore,
    /// The store of kept KV cache.
    KvStore,
    /// A legacy upstream, by its address.
    Legacy(String),
}

impl fmt::Display for Peer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local => formatter.write_str("local"),
            Self::Caller => formatter.write_str("caller"),
            Self::Operator => formatter.write_str("operator"),
            Self::Engine(id) => write!(formatter, "engine {id}"),
            Self::Daemon(id) => write!(formatter, "daemon {id}"),
            Self::ObjectStore => formatter.write_str("object store"),
            Self::MachineList => formatter.write_str("machine list"),
            Self::WeightStore => formatter.write_str("weight store"),
            Self::KvStore => formatter.write_str("kv store"),
            Self::Legacy(address) => write!(formatter, "legacy upstream {address}"),
        }
    }
}

/// Whether the failed operation may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// The operation had no effect.
    NotRun,
    /// The operation may have had its effect.
    MayHaveRun,
}

/// An error with the step and the peer at which it arose.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at {peer}: {cause:#}")]
pub struct StepError {
    /// The step that failed.
    pub step: Step,
    /// The peer at which it failed.
    pub peer: Peer,
    /// Whether the operation may be repeated.
    pub safety: RetrySafety,
    /// What went wrong.
    pub cause: anyhow::Error,
}

impl StepError {
    /// An error of an operation that had no effect.
    pub fn not_run(step: Step, peer: Peer, cause: impl Into<anyhow::Error>) -> Self {
        Self {
            step,
            peer,
            safety: RetrySafety::NotRun,
            cause: cause.into(),
        }
    }

    /// An error of an operation that may have had its effect.
    pub fn may_have_run(step: Step, peer: Peer, cause: impl Into<anyhow::Error>) -> Self {
        Self {
            step,
            peer,
            safety: RetrySafety::MayHaveRun,
            cause: cause.into(),
        }
    }
}
