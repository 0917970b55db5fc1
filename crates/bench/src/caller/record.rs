//! What a caller saw of one request.

use std::time::{Duration, Instant};

use driftspring_prefix::tokens_of;
use driftspring_types::{ModelName, RequestId, TenantId};

use super::Call;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnding {
    /// Every token came once, in order, with the right text, a finish reason and the end marker.
    Whole,
    /// Refused before any token.
    Refused {
        /// The HTTP status.
        status: u16,
        /// Whether the refusal says that no part of it was run.
        not_run: bool,
        /// The reason named.
        code: Option<String>,
    },
    /// Anything else; the text says what.
    Broken(String),
}

/// One request as its caller saw it. Times count from the intended sending.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The attempt.
    pub request_id: RequestId,
    /// Whose it is.
    pub tenant: TenantId,
    /// The model.
    pub model: ModelName,
    /// When it was to be sent.
    pub intended_at: Instant,
    /// When its first token came.
    pub first_token: Option<Duration>,
    /// The time between each token and the one before it.
    pub token_gaps: Vec<Duration>,
    /// When it was over.
    pub ended: Duration,
    /// Tokens that came.
    pub tokens: u32,
    /// Whether every token so far was the right one.
    pub in_order: bool,
    /// Whether the stream ended with an explicit error.
    pub had_error_event: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine had cached, as the answer's headers said.
    pub cached_tokens: Option<u32>,
    /// The engine that answered first.
    pub engine: Option<String>,
    /// How it ended.
    pub ending: CallEnding,
}

impl CallRecord {
    /// The record of a request that has not been answered yet.
    pub(super) fn of(call: &Call) -> Self {
        Self {
            request_id: call.request_id,
            tenant: call.tenant.clone(),
            model: call.model.clone(),
            intended_at: call.intended_at,
            first_token: None,
            token_gaps: Vec::new(),
            ended: Duration::ZERO,
            tokens: 0,
            in_order: true,
            had_error_event: false,
            prompt_tokens: tokens_of(call.prompt.len()),
            cached_tokens: None,
            engine: None,
            ending: CallEnding::Broken("the stream ended without its end marker".to_owned()),
        }
    }

    /// Whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        self.ending == CallEnding::Whole
    }
}
