//! What is known of a request once it may be sent.

use std::cell::OnceCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use http::header::HOST;
use http::{HeaderMap, Method};
use xxhash_rust::xxh3::xxh3_64;

use super::decode::Decoded;
use crate::configuration::{Configuration, EngineLimits, Route, Tenant};
use crate::protocol::{Prompt, PromptPart, RequestMeta};
use crate::quarantine::Fingerprint;
use crate::replicas::{PlacementKey, Replica};

/// How long a request is held where neither caller nor route say so.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// What is known of a request once it may be sent.
#[derive(Debug)]
pub struct RequestContext {
    /// Its id.
    pub id: String,
    /// What its head says.
    pub meta: RequestMeta,
    /// Its method.
    pub method: Method,
    /// Its path and query, as they came.
    pub path: String,
    /// The caller's headers that are passed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The configuration under which it was taken.
    pub configuration: Arc<Configuration>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its tenant.
    pub tenant: Option<Arc<Tenant>>,
    /// The service that serves it.
    pub service: String,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When its caller or its route gives it up.
    pub deadline: Instant,
    fingerprint: OnceCell<Fingerprint>,
}

impl RequestContext {
    /// Puts the context together.
    pub fn new(
        decoded: Decoded,
        configuration: Arc<Configuration>,
        route: Arc<Route>,
        tenant: Option<Arc<Tenant>>,
        service: String,
        body: Bytes,
        arrived_at: Instant,
    ) -> Self {
        let wait = decoded.meta.deadline.unwrap_or(DEFAULT_REQUEST_TIMEOUT);
        let hold = match route.timeout {
            Duration::ZERO => DEFAULT_REQUEST_TIMEOUT,
            timeout => timeout,
        };
        Self {
            id: decoded.id,
            meta: decoded.meta,
            method: decoded.method,
            path: decoded.path,
            headers: decoded.headers,
            body,
            configuration,
            route,
            tenant,
            service,
            arrived_at,
            deadline: arrived_at + wait.min(hold),
            fingerprint: OnceCell::new(),
        }
    }

    /// What makes its tries the same request; hashed when it is first asked for, which few requests need.
    pub fn fingerprint(&self) -> Fingerprint {
        let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
        let caller = self.tenant.as_ref().map_or("", |tenant| &tenant.name);
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

    /// The time left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What is left at `now` of the time in which its answer should begin; without an objective, all the time that
    /// its caller waits.
    pub fn objective_left(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.arrived_at);
        let objective = match self.route.objective {
            Duration::ZERO => self.first_event_timeout(),
            objective => objective,
        };
        objective.saturating_sub(elapsed)
    }

    /// How long its caller waits for it to begin, from its arrival.
    pub fn first_event_timeout(&self) -> Duration {
        let hold = self.deadline.saturating_duration_since(self.arrived_at);
        let timeout = self.route.first_event_timeout;
        timeout.map_or(hold, |timeout| timeout.min(hold))
    }

    /// How much longer its caller waits at `now` for it to begin.
    pub fn first_event_time_left(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.arrived_at);
        self.first_event_timeout().saturating_sub(elapsed)
    }

    /// The prompt, where there is one.
    pub fn prompt(&self) -> Option<&Prompt> {
        self.meta.prompt.as_ref()
    }

    /// Whose cached prompt work may be shared: an isolated tenant's own, or everybody's else.
    pub fn cache_partition(&self) -> &str {
        match &self.tenant {
            Some(tenant) if tenant.is_isolated => &tenant.name,
            _ => "",
        }
    }

    /// Tokens of the whole prompt.
    pub fn input_tokens(&self) -> u64 {
        self.prompt()
            .map_or(0, |prompt| u64::from(prompt.input_tokens))
    }

    /// All parts of the prompt but the last, which nobody shares.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = self.prompt().map_or(&[][..], |prompt| &prompt.parts);
        parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of these parts.
    pub fn shared_tokens(&self) -> u64 {
        let parts = self.shared_parts().iter();
        parts.map(|part| u64::from(part.tokens)).sum()
    }

    /// What places the request: the parts of its prompt that others share.
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

    /// The version of the weights of the prompt's model that `replica` is believed to have.
    pub fn version_of(&self, replica: &Replica) -> Option<u64> {
        replica.version_of(&self.prompt()?.model)
    }

    /// The name under which cached prompt work is kept and found: apart by tenant, where that is isolated, and
    /// by the version of the weights that made it.
    pub fn cache_scope(&self, weights_version: Option<u64>) -> Option<String> {
        self.prompt()?;
        let version = weights_version.unwrap_or(0);
        Some(format!("{version}/{}", self.cache_partition()))
    }

    /// What a replica of the service can do, where that is known.
    pub fn engine(&self) -> Option<&EngineLimits> {
        self.configuration.service(&self.service)?.engine.as_ref()
    }

    /// The rank among a replica's requests; 0 goes first.
    pub fn priority(&self) -> u8 {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority).min(9)
    }
}
