//! The settings as typed values. Reading and checking them is the work of the other modules.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{DaemonId, EngineId, ModelName, Route, Tenant, ZoneName};
use serde::{Deserialize, Serialize};

/// All settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The daemon's name, unique over the whole system.
    pub id: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// The name of its cluster, whose daemons take no gossip of others; none to take any.
    pub cluster: Option<String>,
    /// Worker threads that serve callers.
    pub workers: usize,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Peer addresses of some other daemons, to be contacted at the start.
    pub seeds: Vec<SocketAddr>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// What to serve while neither another daemon nor the object store answers.
    pub bootstrap: BootstrapSettings,
    /// Limits and timeouts of a request.
    pub request: RequestSettings,
    /// How engines are chosen.
    pub routing: RoutingSettings,
    /// At-most-once claims.
    pub claims: ClaimSettings,
    /// Mechanisms that experiments and tests may switch off.
    pub mechanisms: MechanismSettings,
    /// Logs.
    pub log: LogSettings,
    /// A file for the history recorder of test and bench runs; none in production.
    pub history_file: Option<std::path::PathBuf>,
}

/// The addresses on which a daemon listens. Port 0 takes any free port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers (HTTP).
    pub callers: SocketAddr,
    /// For operators, metrics and health checks (HTTP).
    pub operators: SocketAddr,
    /// For other daemons (UDP, and HTTP over TCP on the same port number).
    pub peers: SocketAddr,
}

/// The addresses of the platform's services; a service without an address is not used.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The object store with versions and watches.
    pub object_store: Option<SocketAddr>,
    /// The list of live and leaving machines.
    pub machine_list: Option<SocketAddr>,
    /// The store of kept KV cache.
    pub kv_store: Option<SocketAddr>,
}

/// A static engine of the bootstrap settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BootstrapEngine {
    /// The engine's name.
    pub id: EngineId,
    /// `IP:port` of its HTTP interface.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The model that it serves.
    pub model: ModelName,
}

/// Configuration that holds until any newer one is heard of; it has revision 0.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BootstrapSettings {
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Engines.
    pub engines: Vec<BootstrapEngine>,
}

/// Limits and timeouts of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSettings {
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send its request.
    pub read_timeout: Duration,
    /// How long opening a connection to an engine may take.
    pub connect_timeout: Duration,
    /// How long an engine may take until its first token.
    pub first_token_timeout: Duration,
    /// How long an engine may pause between two tokens.
    pub token_timeout: Duration,
    /// The deadline of a request that names none.
    pub default_deadline: Duration,
    /// Requests open at once in this daemon at the most; further ones are refused at once.
    pub max_open: usize,
    /// Extra attempts for repeatable requests, in per cent of first attempts.
    pub retry_budget_percent: u32,
    /// How long a planned stop waits for open requests.
    pub stop_timeout: Duration,
}

/// Settings of at-most-once claims (`[claims]`). All daemons must have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How far the clocks of any two daemons may differ. A wrong bound loses the promise.
    pub clock_skew_bound: Duration,
    /// Idempotency keys issued longer ago are refused; claims are kept for as long.
    pub key_maximum_age: Duration,
    /// How long a claim waits for a majority of the holders.
    pub ask_timeout: Duration,
    /// Whether this daemon is the only one and holds its claims alone while there is no claim
    /// group. With a second daemon anywhere this loses the promise.
    pub standalone: bool,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            clock_skew_bound: Duration::from_secs(1),
            key_maximum_age: Duration::from_secs(15 * 60),
            ask_timeout: Duration::from_millis(300),
            standalone: false,
        }
    }
}

/// How engines are chosen: the full scheme or one of the baselines it is measured against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the least load.
    LeastLoaded,
    /// Rendezvous hashing of the prefix with bounded load.
    Rendezvous,
    /// Placement, residency, load and zones weighed together.
    #[default]
    Full,
}

/// Settings of the engine choice.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingSettings {
    /// The policy.
    pub policy: RoutingPolicy,
    /// Whether cache events are read.
    pub use_events: bool,
    /// Whether answers correct the picture of what is cached.
    pub use_answers: bool,
    /// Whether hot prefixes widen to more engines.
    pub widen_hot_prefixes: bool,
    /// Whether kept KV cache warms new and returned engines.
    pub use_kept_cache: bool,
    /// Time to recompute one prompt token, until measured.
    pub prefill_microseconds_per_token: f64,
    /// One way between two zones.
    pub zone_distance: Duration,
}

/// Mechanisms behind the promises. All are on; tests switch one off to show that its proof can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MechanismSettings {
    /// Dispatches name the engine incarnation and weights version that they rely on.
    pub expect_incarnation: bool,
    /// Cached work is scoped by tenant.
    pub tenant_scope: bool,
    /// Broken streams are resumed or continued, and checked by sequence number.
    pub resume_streams: bool,
    /// Stream events are matched to their request.
    pub match_answers: bool,
    /// Requests that may not be repeated are claimed.
    pub claims: bool,
    /// Refusals say "not run" only where it is known.
    pub classify_outcomes: bool,
    /// Leaving engines get no new work.
    pub heed_leaving: bool,
    /// A stop waits for open requests.
    pub graceful_stop: bool,
    /// Configuration merges by revision.
    pub revision_order: bool,
    /// Configuration spreads between daemons.
    pub anti_entropy: bool,
    /// Orders carry the token of a lease checked against the monotonic clock.
    pub fencing: bool,
}

impl Default for MechanismSettings {
    fn default() -> Self {
        Self {
            expect_incarnation: true,
            tenant_scope: true,
            resume_streams: true,
            match_answers: true,
            claims: true,
            classify_outcomes: true,
            heed_leaving: true,
            graceful_stop: true,
            revision_order: true,
            anti_entropy: true,
            fencing: true,
        }
    }
}

/// Settings of the logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// A `flexi_logger` specification such as `info`.
    pub level: String,
    /// JSON lines instead of text.
    pub json: bool,
}

impl Settings {
    /// Settings with every default, for a daemon on loopback with free ports.
    pub fn loopback(id: DaemonId, zone: ZoneName) -> Self {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id,
            zone,
            cluster: None,
            workers: 2,
            listen: ListenSettings {
                callers: free_port,
                operators: free_port,
                peers: free_port,
            },
            seeds: Vec::new(),
            platform: PlatformSettings::default(),
            bootstrap: BootstrapSettings::default(),
            request: RequestSettings::default(),
            routing: RoutingSettings::default(),
            claims: ClaimSettings::default(),
            mechanisms: MechanismSettings::default(),
            log: LogSettings {
                level: "info".to_owned(),
                json: false,
            },
            history_file: None,
        }
    }
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            first_token_timeout: Duration::from_secs(10),
            token_timeout: Duration::from_secs(2),
            default_deadline: Duration::from_secs(60),
            max_open: 4096,
            retry_budget_percent: 20,
            stop_timeout: Duration::from_secs(30),
        }
    }
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::Full,
            use_events: false,
            use_answers: true,
            widen_hot_prefixes: true,
            use_kept_cache: true,
            prefill_microseconds_per_token: 50.0,
            zone_distance: Duration::from_micros(1500),
        }
    }
}
