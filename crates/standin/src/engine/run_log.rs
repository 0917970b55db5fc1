//! Every request that began to run.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// All tokens were produced.
    Completed,
    /// It was cancelled, or the engine crashed.
    Cancelled,
    /// It is not over.
    Running,
}

/// One run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLogEntry {
    /// The request's id.
    pub request_id: Uuid,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// The scope of cached work.
    pub salt: String,
    /// The life of the engine in which it ran.
    pub incarnation: u64,
    /// The version of the weights with which it ran.
    pub weights_version: u64,
    /// Milliseconds since the Unix epoch at which it left the queue.
    pub started_ms: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens produced so far.
    pub tokens: u32,
    /// Position of the first token in the whole answer: above 0 where another engine began it.
    pub first_sequence: u64,
    /// How it ended.
    pub ended: RunEnd,
}
