//! Everything known about a request once it may be sent.

use std::cell::{Cell, OnceCell};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_decisions::placement::PlacementKey;
use http::header::HOST;
use http::{HeaderMap, Method};
use xxhash_rust::xxh3::xxh3_64;

use super::decode::Decoded;
use super::refusal::Reason;
use super::time_limits::TimeLimits;
use crate::authorization::Destination;
use crate::configuration::{Configuration, EngineLimits, Route, RouteKind, Tenant};
use crate::held_bytes::Charge;
use crate::protocol::{Prompt, PromptPart, RequestMeta, SoftwareVersion};
use crate::quarantine::Fingerprint;
use crate::replicas::Replica;
use crate::shares::Standing;
use crate::stream_versions::{StreamKey, VersionBinding};

/// Number of the first shared parts of a prompt that may be held responsible for a crash; prompts have a few.
const MAX_SUSPECT_PARTS: usize = 32;

/// Everything known about a request once it may be sent.
#[derive(Debug)]
pub struct RequestContext {
    /// Request id.
    pub id: String,
    /// Control headers of the request.
    pub meta: RequestMeta,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: String,
    /// The caller's headers that are forwarded.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    destination: Destination,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller or the route gives up the request.
    pub deadline: Instant,
    /// When its caller is told that there is no answer, unless one has begun.
    pub answer_limit: Instant,
    /// Accounts for the body as long as it may have to be sent again.
    pub body_charge: Option<Charge>,
    /// At which software version it may run.
    pub binding: Cell<VersionBinding>,
    /// Where its tenant stands if the service is overloaded.
    pub standing: Cell<Standing>,
    /// Whether any of it was sent to a replica or to another gateway, so that it may have run.
    pub was_sent: Cell<bool>,
    fingerprint: OnceCell<Fingerprint>,
    part_fingerprints: OnceCell<Vec<Fingerprint>>,
}

/// When the caller gives up a request that arrived at `arrived_at`.
pub fn caller_deadline(decoded: &Decoded, arrived_at: Instant) -> Instant {
    arrived_at + TimeLimits::new(decoded.meta.deadline, Duration::ZERO).deadline()
}

/// The time limits of a request.
pub fn time_limits(decoded: &Decoded, route: &Route) -> TimeLimits {
    TimeLimits::new(decoded.meta.deadline, route.timeout)
}

impl RequestContext {
    /// Builds the context of a request.
    pub fn new(
        decoded: Decoded,
        destination: Destination,
        body: Bytes,
        arrived_at: Instant,
    ) -> Self {
        let limits = time_limits(&decoded, destination.authorization().route());
        Self {
            id: decoded.id,
            meta: decoded.meta,
            method: decoded.method,
            path: decoded.path,
            headers: decoded.headers,
            body,
            destination,
            arrived_at,
            deadline: arrived_at + limits.deadline(),
            answer_limit: arrived_at + limits.answer(),
            body_charge: None,
            binding: Cell::default(),
            standing: Cell::default(),
            was_sent: Cell::default(),
            fingerprint: OnceCell::new(),
            part_fingerprints: OnceCell::new(),
        }
    }

    /// Configuration that allows the request.
    pub fn configuration(&self) -> &Configuration {
        self.destination.authorization().configuration()
    }

    /// Route of the request.
    pub fn route(&self) -> &Route {
        self.destination.authorization().route()
    }

    /// Tenant of the request, if its route requires a key.
    pub fn tenant(&self) -> Option<&Tenant> {
        let tenant = self.destination.authorization().tenant();
        tenant.map(Arc::as_ref)
    }

    /// Service that the request is sent to.
    pub fn service(&self) -> &str {
        self.destination.service()
    }

    /// Identifies the request across retries by the caller; hashed on first use, since few requests need it.
    pub fn fingerprint(&self) -> Fingerprint {
        let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
        let caller = self.tenant_name();
        *self.fingerprint.get_or_init(|| {
            Fingerprint::new(
                &self.method,
                host.unwrap_or(""),
                &self.path,
                caller,
                &self.body,
            )
        })
    }

    /// Identify the shared parts of its prompt, in order; hashed on first use, since few requests need them.
    pub fn part_fingerprints(&self) -> &[Fingerprint] {
        self.part_fingerprints.get_or_init(|| {
            let Some(prompt) = self.prompt() else {
                return Vec::new();
            };
            let partition = self.cache_partition();
            let parts = self.shared_parts().iter().take(MAX_SUSPECT_PARTS);
            let fingerprints =
                parts.map(|part| Fingerprint::of_part(partition, &prompt.model, &part.id));
            fingerprints.collect()
        })
    }

    /// Whether its stream may be resumed, and so has to keep to one software version.
    pub fn is_resumable_stream(&self) -> bool {
        self.route().kind == RouteKind::Streaming && self.route().is_resumable
    }

    /// Whether its caller takes a stream up.
    pub fn takes_stream_up(&self) -> bool {
        self.is_resumable_stream() && self.meta.last_event_id.is_some()
    }

    /// The only software version that may run it.
    pub fn bound_version(&self) -> Option<SoftwareVersion> {
        match self.binding.get() {
            VersionBinding::Bound(version) => Some(version),
            VersionBinding::Free | VersionBinding::Unknown => None,
        }
    }

    /// Whether it may not run at every software version.
    pub fn is_bound(&self) -> bool {
        self.binding.get() != VersionBinding::Free
    }

    /// The key of the stream that the request `id` of this request's tenant began.
    pub fn stream_key(&self, id: &str) -> StreamKey {
        StreamKey::new(self.tenant_name(), id)
    }

    /// Name of the tenant; empty without one.
    pub fn tenant_name(&self) -> &str {
        self.destination.authorization().tenant_name()
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time left until the caller is told that there is no answer.
    pub fn answer_time_left(&self) -> Duration {
        self.answer_limit.saturating_duration_since(Instant::now())
    }

    /// The reason to refuse the request when its time is over.
    pub fn time_over(&self) -> Reason {
        match self.was_sent.get() {
            true => Reason::TimedOut,
            false => Reason::NotRun,
        }
    }

    /// Time left at `now` within which the answer should begin, according to the route's objective. Without an
    /// objective, the time until the caller gives up waiting for the first event.
    pub fn objective_left(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.arrived_at);
        let objective = match self.route().objective {
            Duration::ZERO => self.first_event_timeout(),
            objective => objective,
        };
        objective.saturating_sub(elapsed)
    }

    /// How long the caller waits for the first event, from the request's arrival.
    pub fn first_event_timeout(&self) -> Duration {
        let time_limit = self.deadline.saturating_duration_since(self.arrived_at);
        let timeout = self.route().first_event_timeout;
        timeout.map_or(time_limit, |timeout| timeout.min(time_limit))
    }

    /// How much longer the caller waits at `now` for the first event.
    pub fn first_event_time_left(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.arrived_at);
        self.first_event_timeout().saturating_sub(elapsed)
    }

    /// The prompt, if the request has one.
    pub fn prompt(&self) -> Option<&Prompt> {
        self.meta.prompt.as_ref()
    }

    /// Partition of the prompt cache: an isolated tenant's own, or the one that all others share.
    pub fn cache_partition(&self) -> &str {
        match self.tenant() {
            Some(tenant) if tenant.is_isolated => &tenant.name,
            _ => "",
        }
    }

    /// Number of tokens of the whole prompt.
    pub fn input_tokens(&self) -> u64 {
        self.prompt()
            .map_or(0, |prompt| u64::from(prompt.input_tokens))
    }

    /// Expected number of output tokens: as the caller estimates, else the maximum.
    pub fn output_tokens(&self) -> u32 {
        let expected = |prompt: &Prompt| prompt.length_hint.unwrap_or(prompt.max_output_tokens);
        self.prompt().map_or(0, expected)
    }

    /// All parts of the prompt but the last, which is unique to the request.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = self.prompt().map_or(&[][..], |prompt| &prompt.parts);
        parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Number of tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        let parts = self.shared_parts().iter();
        parts.map(|part| u64::from(part.tokens)).sum()
    }

    /// Key for the placement of the request: identifies the shared parts of its prompt.
    pub fn placement_key(&self) -> Option<PlacementKey> {
        let prompt = self.prompt()?;
        let shared = self.shared_parts();
        let mut text = format!("{}\n{}\n", self.cache_partition(), prompt.model);
        for part in shared {
            text.push_str(&part.id);
            text.push(',');
        }
        if shared.is_empty() {
            return None;
        }
        Some(PlacementKey(xxh3_64(text.as_bytes())))
    }

    /// Version of the weights of the prompt's model that `replica` is believed to have.
    pub fn version_of(&self, replica: &Replica) -> Option<u64> {
        replica.version_of(&self.prompt()?.model)
    }

    /// Scope in which cached prompt work is stored and looked up: separate by version of the weights, and by tenant if
    /// the tenant is isolated.
    pub fn cache_scope(&self, weights_version: Option<u64>) -> Option<String> {
        self.prompt()?;
        let version = weights_version.unwrap_or(0);
        Some(format!("{version}/{}", self.cache_partition()))
    }

    /// Limits of the service's replicas, if configured.
    pub fn engine(&self) -> Option<&EngineLimits> {
        self.configuration()
            .service(self.service())?
            .engine
            .as_ref()
    }

    /// Rank in a replica's queue; 0 goes first.
    pub fn priority(&self) -> u8 {
        let of_tenant = self.tenant().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route().priority).min(9)
    }
}
