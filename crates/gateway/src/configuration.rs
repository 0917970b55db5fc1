//! The configuration: routes, services, tenants and limits on callers.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run more than once.
    Safe,
    /// The request may run at most once.
    Unsafe,
    /// The answer is a stream of events; the request may run at most once unless the route is resumable.
    Streaming,
}

/// A service that receives a share of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The service's name.
    pub service: String,
    /// The weight of its share, relative to the other backends of the route.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host in callers' requests, without a port.
    pub host: String,
    /// The prefix of the request's path.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// The maximum time that the gateway spends on a request.
    pub timeout: Duration,
    /// The target for the time until an answer starts.
    pub objective: Duration,
    /// How long callers wait for the first event of a stream before they give up; `None` if no such limit is known.
    pub first_event_timeout: Option<Duration>,
    /// The longest pause between events of a stream that its callers accept; `None` if the route names none.
    pub pause_target: Option<Duration>,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of replicas that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether another replica may resume a broken stream.
    pub is_resumable: bool,
    /// The services that receive its requests.
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
    /// The tenant's name, which is sent to replicas.
    pub name: String,
    /// The priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Whether its prompt cache entries are not shared with other tenants.
    pub is_isolated: bool,
    /// The tenant's quota over all gateways together; `None` for no limit.
    pub quota: Option<Quota>,
}

/// The unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompts and answers.
    Tokens {
        /// The cost of a request that states no number of tokens.
        default_cost: u64,
    },
}

/// The quota of a tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The unit that is counted.
    pub unit: QuotaUnit,
    /// Units per second.
    pub per_second: f64,
    /// Additional units that may be used in a burst.
    pub burst: f64,
}

impl Quota {
    /// The cost of a request whose prompt and answer have `tokens` in total, if it states that.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_cost } => tokens.unwrap_or(default_cost),
        }
    }
}

/// The capacity of the replicas of a language model service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLimits {
    /// Number of requests that a replica processes concurrently.
    pub slots: u32,
    /// Number of tokens that fit into a replica's cache memory.
    pub capacity_tokens: u64,
    /// Size of one cached token in bytes.
    pub bytes_per_token: u64,
    /// Bandwidth of a replica's link, in megabits per second.
    pub link_megabits: f64,
}

/// A KV store: an external prompt cache shared by replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct KvStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its capacity in tokens.
    pub capacity_tokens: u64,
    /// Bandwidth of its link, in megabits per second.
    pub link_megabits: f64,
}

/// A KV store with the name that rendezvous hashing uses to assign prompts to stores.
#[derive(Debug, Clone, PartialEq)]
struct NamedKvStore {
    /// The text form of its address, built once rather than for each request.
    name: String,
    store: KvStore,
}

/// A service of replicas, or of a KV store.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Maximum number of connections that one replica accepts from all clients together.
    pub max_connections: u32,
    /// Set for services of language models.
    pub engine: Option<EngineLimits>,
    /// Set for KV stores.
    pub kv_store: Option<KvStore>,
}

/// Limits on what callers may send, and how long they may take or rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request's head to its last one.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may rest between requests, or before the first one.
    pub idle_timeout: Duration,
}

/// The limits where no configuration is known, or the configuration names none.
impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

/// A complete configuration; immutable once built.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The configuration's version; newer versions are greater.
    pub version: u64,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Service>,
    longest_objectives: HashMap<String, Duration>,
    shortest_pause_targets: HashMap<String, Duration>,
    kv_stores: Vec<NamedKvStore>,
    tenants_by_key: Option<HashMap<String, Arc<Tenant>>>,
    /// Limits on callers.
    pub limits: CallerLimits,
    document: Bytes,
}

impl Configuration {
    /// The longest objective of the routes to a service; `None` if no route to it has one.
    pub fn longest_objective(&self, service: &str) -> Option<Duration> {
        self.longest_objectives.get(service).copied()
    }

    /// The shortest pause target of the routes to a service; `None` if no route to it has one.
    pub fn shortest_pause_target(&self, service: &str) -> Option<Duration> {
        self.shortest_pause_targets.get(service).copied()
    }

    /// Builds a configuration. Without `tenants` no request needs a key.
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
        let shortest_pause_targets = shortest_pause_targets(&routes);
        Self {
            version,
            longest_objectives,
            shortest_pause_targets,
            routes_by_host: index_routes(routes),
            kv_stores: name_kv_stores(&services),
            services,
            tenants_by_key: tenants.map(index_tenants),
            limits,
            document: Bytes::new(),
        }
    }

    /// Sets the document from which the configuration was parsed.
    pub fn with_document(mut self, document: Bytes) -> Self {
        self.document = document;
        self
    }

    /// The document from which the configuration was parsed, which other gateways may need if the store has lost it; empty if it
    /// was not parsed from one.
    pub fn document(&self) -> &[u8] {
        &self.document
    }

    /// The route of `host` (without a port, in lower case) with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The services whose streams may be resumed.
    pub fn resumable_services(&self) -> BTreeSet<&str> {
        let routes = self.routes_by_host.values().flatten();
        let routes = routes.filter(|route| route.kind == RouteKind::Streaming);
        let resumable = routes.filter(|route| route.is_resumable);
        let backends = resumable.flat_map(|route| &route.backends);
        backends.map(|backend| backend.service.as_str()).collect()
    }

    /// Whether requests on routes that aren't public need a key.
    pub fn needs_keys(&self) -> bool {
        self.tenants_by_key.is_some()
    }

    /// The tenant that holds `key`.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_key.as_ref()?.get(key)
    }

    /// The tenants with keys; a tenant with several keys is repeated for each.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        let by_key = self.tenants_by_key.iter();
        by_key.flat_map(|by_key| by_key.values().map(Arc::as_ref))
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The KV store for prompts with this placement digest, chosen by rendezvous hashing: all gateways choose the same one, so that
    /// each prompt is stored only once.
    pub fn kv_store(&self, digest: u64) -> Option<&KvStore> {
        let rendezvous_score = |named: &&NamedKvStore| {
            let weight = xxh3_64_with_seed(named.name.as_bytes(), digest);
            (weight, named.store.address)
        };
        let named = self.kv_stores.iter().max_by_key(rendezvous_score);
        named.map(|named| &named.store)
    }

    /// All KV stores.
    pub fn kv_stores(&self) -> impl Iterator<Item = &KvStore> {
        self.kv_stores.iter().map(|named| &named.store)
    }
}

/// The KV stores of these services, in the order of the services' names.
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

/// Groups routes by host in lower case, with the longest prefixes first.
fn index_routes(routes: Vec<Route>) -> HashMap<String, Vec<Arc<Route>>> {
    let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        let of_host = by_host.entry(route.host.to_ascii_lowercase()).or_default();
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

/// The longest objective of the routes to each service; services without any are left out.
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

/// The shortest pause target of the routes to each service; services without any are left out.
fn shortest_pause_targets(routes: &[Route]) -> HashMap<String, Duration> {
    let mut shortest: HashMap<String, Duration> = HashMap::new();
    for route in routes {
        let Some(target) = route.pause_target else {
            continue;
        };
        for backend in &route.backends {
            let known = shortest.entry(backend.service.clone()).or_insert(target);
            *known = target.min(*known);
        }
    }
    shortest
}
