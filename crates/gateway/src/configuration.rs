//! The configuration in force: routes, services, tenants and what callers may send.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What may be done with a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// Its answer is a series of events; it runs at most once unless the route is resumable.
    Streaming,
}

/// One part of the traffic of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The service.
    pub service: String,
    /// Its share of the traffic, against the other weights of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers name, without a port.
    pub host: String,
    /// How the path begins.
    pub path_prefix: String,
    /// What may be done with its requests again.
    pub kind: RouteKind,
    /// How long a request may be held.
    pub timeout: Duration,
    /// The time in which an answer should begin.
    pub objective: Duration,
    /// How long callers wait for the first event of a stream before they give it up; nothing where no such bound
    /// is known.
    pub first_event_timeout: Option<Duration>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// How many replicas may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether another replica may go on with a broken stream.
    pub is_resumable: bool,
    /// Where its requests go.
    pub backends: Vec<Backend>,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name, which replicas are told.
    pub name: String,
    /// Its rank, which goes before that of the route.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt work with other tenants.
    pub is_isolated: bool,
    /// What it may use, over all daemons together; none for no limit.
    pub quota: Option<Quota>,
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompts and answers; a request that names none counts as so many.
    Tokens {
        /// The tokens of a request without any.
        default_cost: u64,
    },
}

/// What a tenant may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub per_second: f64,
    /// Units beyond that at once.
    pub burst: f64,
}

impl Quota {
    /// What a request counts whose prompt and answer are of `tokens`, where it says so.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_cost } => tokens.unwrap_or(default_cost),
        }
    }
}

/// What a service of language models can do.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLimits {
    /// Requests that a replica works on at once.
    pub slots: u32,
    /// Tokens that a replica's memory holds.
    pub capacity_tokens: u64,
    /// Bytes of one cached token.
    pub bytes_per_token: u64,
    /// What a replica's link carries, in megabits a second.
    pub link_megabits: f64,
}

/// A store of cached prompt work beside the replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct KvStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
    /// What its link carries, in megabits a second.
    pub link_megabits: f64,
}

/// A store of cached prompt work with the name by which prompts are shared out among the stores.
#[derive(Debug, Clone, PartialEq)]
struct NamedKvStore {
    /// The text of its address, made once rather than for each request.
    name: String,
    store: KvStore,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// Set for services of language models.
    pub engine: Option<EngineLimits>,
    /// Set for stores of cached prompt work.
    pub kv_store: Option<KvStore>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
}

/// A whole configuration; immutable once built.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version; newer ones are larger.
    pub version: u64,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Service>,
    longest_objectives: HashMap<String, Duration>,
    kv_stores: Vec<NamedKvStore>,
    tenants_by_key: Option<HashMap<String, Arc<Tenant>>>,
    /// What callers may send.
    pub limits: CallerLimits,
    document: Bytes,
}

impl Configuration {
    /// The longest time in which an answer of a service should begin, over the routes to it; nothing where none has one.
    pub fn longest_objective(&self, service: &str) -> Option<Duration> {
        self.longest_objectives.get(service).copied()
    }

    /// Puts a configuration together. Without `tenants` no request needs a key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        tenants: Option<Vec<(Tenant, Vec<String>)>>,
        limits: CallerLimits,
    ) -> Self {
        let named = |service: Service| (service.name.clone(), service);
        let services: HashMap<String, Service> = services.into_iter().map(named).collect();
        let longest_objectives = longest_objectives(&routes);
        Self {
            version,
            longest_objectives,
            routes_by_host: index_routes(routes),
            kv_stores: name_kv_stores(&services),
            services,
            tenants_by_key: tenants.map(index_tenants),
            limits,
            document: Bytes::new(),
        }
    }

    /// The same with the document that it was read from.
    pub fn with_document(mut self, document: Bytes) -> Self {
        self.document = document;
        self
    }

    /// The document that it was read from, which other daemons may need where the store has lost it; empty where it was not
    /// read from any.
    pub fn document(&self) -> &[u8] {
        &self.document
    }

    /// The route of the longest prefix that begins `path` at `host` (without a port).
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Whether requests on routes that aren't public need a key.
    pub fn needs_keys(&self) -> bool {
        self.tenants_by_key.is_some()
    }

    /// The tenant that holds `key`.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_key.as_ref()?.get(key)
    }

    /// The tenants that hold keys; one with several keys comes as often.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        let by_key = self.tenants_by_key.iter();
        by_key.flat_map(|by_key| by_key.values().map(Arc::as_ref))
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The store of cached prompt work that keeps the prompts with this placement digest: the same one for
    /// every daemon, so that together the stores keep each prompt once.
    pub fn kv_store(&self, digest: u64) -> Option<&KvStore> {
        let rendezvous_score = |named: &&NamedKvStore| {
            let weight = xxh3_64_with_seed(named.name.as_bytes(), digest);
            (weight, named.store.address)
        };
        let named = self.kv_stores.iter().max_by_key(rendezvous_score);
        named.map(|named| &named.store)
    }

    /// Every store of cached prompt work.
    pub fn kv_stores(&self) -> impl Iterator<Item = &KvStore> {
        self.kv_stores.iter().map(|named| &named.store)
    }
}

/// The stores of these services, in the order of the services' names.
fn name_kv_stores(services: &HashMap<String, Service>) -> Vec<NamedKvStore> {
    let mut services: Vec<&Service> = services.values().collect();
    services.sort_by_key(|service| &service.name);
    let stores = services
        .into_iter()
        .filter_map(|service| service.kv_store.clone());
    stores
        .map(|store| NamedKvStore {
            name: store.address.to_string(),
            store,
        })
        .collect()
}

/// Routes by host, those with the longest prefix first.
fn index_routes(routes: Vec<Route>) -> HashMap<String, Vec<Arc<Route>>> {
    let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        let of_host = by_host.entry(route.host.clone()).or_default();
        of_host.push(Arc::new(route));
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
    by_host
}

fn index_tenants(tenants: Vec<(Tenant, Vec<String>)>) -> HashMap<String, Arc<Tenant>> {
    let mut by_key = HashMap::new();
    for (tenant, keys) in tenants {
        let tenant = Arc::new(tenant);
        by_key.extend(keys.into_iter().map(|key| (key, Arc::clone(&tenant))));
    }
    by_key
}

/// The longest objective of the routes to each service that has any.
fn longest_objectives(routes: &[Route]) -> HashMap<String, Duration> {
    let mut longest: HashMap<String, Duration> = HashMap::new();
    for route in routes.iter().filter(|route| !route.objective.is_zero()) {
        for backend in &route.backends {
            let known = longest.entry(backend.service.clone()).or_default();
            *known = route.objective.max(*known);
        }
    }
    longest
}
