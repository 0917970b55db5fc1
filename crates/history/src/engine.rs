//! What daemons sent to engines, and what engines ran and obeyed.

use driftspring_types::{
    DaemonId, EngineId, FencingToken, IdempotencyKey, Incarnation, RequestId, TenantId,
    WeightsVersion,
};
use serde::{Deserialize, Serialize};

/// A request as a daemon sent it to an engine, with what the daemon relied on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The daemon.
    pub daemon: DaemonId,
    /// The caller's request.
    pub request_id: RequestId,
    /// The engine.
    pub engine: EngineId,
    /// The tenant whose request it is.
    pub tenant: TenantId,
    /// The life of the engine that the choice relied on.
    pub incarnation: Incarnation,
    /// The weights version that the choice relied on.
    pub weights_version: WeightsVersion,
    /// Prompt tokens that the daemon expected to be cached.
    pub expected_cached_tokens: u32,
}

/// How a run ended at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// Every token was made.
    Completed,
    /// The work was stopped, or its engine crashed.
    Cancelled,
    /// It was still under way when the log was read.
    Running,
}

/// A line of an engine's run log; the fields are those of `GET /standin/run-log`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLogEntry {
    /// The request that was run.
    pub request_id: RequestId,
    /// The key that it named.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
    /// The tenant that it named.
    #[serde(default)]
    pub tenant: Option<TenantId>,
    /// The scope of cached work that it named.
    #[serde(default)]
    pub salt: Option<String>,
    /// The engine's life in which it ran.
    pub incarnation: Incarnation,
    /// The weights by which it ran.
    pub weights_version: WeightsVersion,
    /// When it began to run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Prompt tokens taken from the cache.
    pub cached_tokens: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens made.
    pub tokens: u32,
    /// How it ended.
    pub ended: RunEnd,
}

/// A line of an engine's order log; the fields are those of `GET /standin/order-log`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLogEntry {
    /// The fencing token under which the order was given.
    pub fencing_token: FencingToken,
    /// The order's own name, the same for a repeat.
    pub order_id: String,
    /// Whether the engine obeyed.
    pub accepted: bool,
}
