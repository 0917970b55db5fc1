//! The call that opens a request at an engine.

use driftspring_types::{IdempotencyKey, Incarnation, RequestId, TenantId, WeightsVersion};
use ntex::client::ClientRequest;
use ntex::util::Bytes;

use super::headers;

/// The kind of completion asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    ChatCompletions,
}

impl Endpoint {
    /// The path, the same at driftspring and at engines.
    pub fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::ChatCompletions => "/v1/chat/completions",
        }
    }
}

/// One request to be opened at an engine. The body asks for a stream.
#[derive(Debug, Clone)]
pub struct GenerateCall<'a> {
    /// `IP:port` of the engine.
    pub address: &'a str,
    /// The kind of completion.
    pub endpoint: Endpoint,
    /// Names the request for resume and cancel.
    pub request_id: RequestId,
    /// The urgency, 0 to 9.
    pub priority: u8,
    /// The scope of cached work.
    pub cache_salt: &'a str,
    /// Whether the request may start from cached work.
    pub use_cache: bool,
    /// The engine's life that the dispatch relies on, where it relies on one.
    pub expect_incarnation: Option<Incarnation>,
    /// The weights that the dispatch relies on, where it relies on any.
    pub expect_weights: Option<WeightsVersion>,
    /// The caller's key.
    pub idempotency_key: Option<&'a IdempotencyKey>,
    /// The tenant.
    pub tenant: &'a TenantId,
    /// The JSON body.
    pub body: Bytes,
    /// Whether a new connection is opened, so that a reused one that the engine has just
    /// closed can't leave open whether the request ran.
    pub fresh_connection: bool,
}

impl GenerateCall<'_> {
    /// Adds the call's headers to `request`.
    pub(super) fn with_headers(&self, request: ClientRequest) -> ClientRequest {
        let mut request = request
            .header("content-type", "application/json")
            .header(headers::REQUEST_ID, self.request_id.to_string())
            .header(headers::PRIORITY, self.priority.to_string())
            .header(headers::CACHE_SALT, self.cache_salt)
            .header(headers::TENANT, self.tenant.as_str());
        if !self.use_cache {
            request = request.header(headers::USE_CACHE, "false");
        }
        if let Some(incarnation) = self.expect_incarnation {
            request = request.header(headers::EXPECT_INCARNATION, incarnation.to_string());
        }
        if let Some(weights) = self.expect_weights {
            request = request.header(headers::EXPECT_WEIGHTS, weights.to_string());
        }
        if let Some(key) = self.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        request
    }
}
