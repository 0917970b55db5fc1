//! What callers sent and received.

use driftspring_types::{DaemonId, IdempotencyKey, ModelName, NotRunReason, RequestId, TenantId};
use serde::{Deserialize, Serialize};

/// A request as its caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invocation {
    /// The caller's own name within the run.
    pub client: String,
    /// The attempt's identifier, sent as `x-request-id`.
    pub request_id: RequestId,
    /// The daemon that was asked, where the run knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub daemon: Option<DaemonId>,
    /// The tenant in whose name it was sent.
    pub tenant: TenantId,
    /// The model that was named.
    pub model: ModelName,
    /// The key that all attempts of one logical request share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// [`crate::prompt_hash`] of the prompt.
    pub prompt_hash: u64,
    /// [`crate::prefix_blocks`] of the prompt: one unsalted chained hash per whole block.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prefix_blocks: Vec<u64>,
    /// The tokens of the right and whole answer, where they are known in advance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_tokens: Option<Vec<String>>,
}

/// One token of a streamed answer as its caller received it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The caller's request, on whose connection the token came.
    pub request_id: RequestId,
    /// The token's own sequence number, where it named one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
    /// The request that the token itself named, where it named one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub named_request_id: Option<RequestId>,
    /// The token's text.
    pub text: String,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The caller's request.
    pub request_id: RequestId,
    /// The HTTP status; nothing where none came.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// How it ended.
    pub ending: Ending,
    /// The whole text of an answer that was not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The request that the answer itself named, where it named one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub named_request_id: Option<RequestId>,
}

/// How a request ended, as far as its caller can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "ending", rename_all = "snake_case")]
pub enum Ending {
    /// Marked as whole: a finish reason and the terminal marker, or an unstreamed answer of status 200.
    Whole,
    /// An explicit error that says that no engine ran any part of the request.
    NotRun {
        /// The reason, where it was named.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        reason: Option<NotRunReason>,
    },
    /// Any other explicit error: the request may have run.
    Unknown,
    /// The connection ended with neither a terminal marker nor an error, or never opened.
    Silent,
    /// The caller itself gave the request up.
    Abandoned,
}
