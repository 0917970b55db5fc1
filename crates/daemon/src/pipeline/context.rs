//! The context of one request, as the filters up to the engine choice have filled it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_external::engine::Endpoint;
use driftspring_prefix::Fingerprint;
use driftspring_types::{RequestId, Route, Tenant, WeightsVersion};

use super::body::RequestBody;
use super::decode::DecodedRequest;
use super::fingerprint::ScopedPrompt;
use super::headers::Idempotency;

/// One request on its way to an engine.
#[derive(Debug)]
pub struct RequestContext {
    /// Names this attempt, to the caller and to engines.
    pub id: RequestId,
    /// The kind of completion.
    pub endpoint: Endpoint,
    /// The checked body.
    pub body: RequestBody,
    /// Whether the caller wants a stream.
    pub streamed: bool,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// The caller's key of the logical request.
    pub idempotency: Option<Idempotency>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The urgency, 0 to 9.
    pub priority: u8,
    /// The tenant in whose name the request comes.
    pub tenant: Arc<Tenant>,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The weights that serve it.
    pub weights_version: WeightsVersion,
    /// The salt of the scope of cached work.
    pub salt: String,
    /// The hashes of its prompt.
    pub fingerprint: Fingerprint,
}

impl RequestContext {
    /// Puts together what the filters found.
    pub fn new(
        request: DecodedRequest,
        tenant: Arc<Tenant>,
        route: Arc<Route>,
        priority: u8,
        scoped: ScopedPrompt,
    ) -> Self {
        let mut body = request.body;
        // Only its hashes are needed from here on.
        body.prompt = Vec::new();
        Self {
            id: request.id,
            endpoint: request.endpoint,
            streamed: body.streamed,
            body,
            deadline: request.deadline,
            idempotency: request.headers.idempotency,
            repeatable: request.headers.repeatable,
            priority,
            tenant,
            route,
            weights_version: scoped.weights_version,
            salt: scoped.salt,
            fingerprint: scoped.fingerprint,
        }
    }

    /// The time left until the deadline; zero after it.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
