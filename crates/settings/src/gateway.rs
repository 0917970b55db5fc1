//! The settings of the gateway, checked value by value like those of the daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::document::Section;
use crate::error::{LoadError, SettingError};
use crate::flags::Overrides;
use crate::load::check_document;
use crate::model::LogSettings;
use crate::values::{self, RawValue, Refusal};

/// The longest time that a setting may name, in seconds.
const LONGEST_SECONDS: f64 = 24.0 * 3600.0;
/// What an address looks like.
const ADDRESS_EXPECTED: &str = "an IP address with a port such as \"10.0.0.1:8080\"";

/// Where a gateway listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For those who ask whether it is ready.
    pub health: SocketAddr,
    /// For other gateways (UDP).
    pub peers: SocketAddr,
    /// For those who collect metrics.
    pub metrics: Option<SocketAddr>,
}

/// Times that the operator has promised or asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayTimes {
    /// Keys are accepted while the configuration was current at most so long ago; none: for ever.
    pub key_currency: Option<Duration>,
    /// How soon a configuration must be in force.
    pub configuration_lag: Duration,
    /// How long open requests may take after the order to stop.
    pub stop_grace: Duration,
    /// How long two holders of the lease have to keep apart.
    pub lease_term: Duration,
    /// How soon no request may begin on older weights.
    pub weights_deadline: Duration,
    /// For how long after trouble on its way to the store a gateway is not held to what the store tells.
    pub contact: Duration,
    /// For how long a caller may take nothing of an answer that waits for it.
    pub caller_stall: Duration,
}

/// How often requests may be sent again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayRetries {
    /// Repeats for each request, over all gateways.
    pub ratio: f64,
    /// Repeats beyond that in each window, over all gateways; a deployment that is a scaled one has a fraction.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What the gateway's machine can carry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayMachine {
    /// Its share of a core.
    pub cores: f64,
    /// What its link carries, in megabits a second.
    pub link_megabits: f64,
    /// Bytes that it may hold for callers.
    pub held_bytes: usize,
}

/// How exactly the limits of tenants have to be kept by all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayQuotas {
    /// How far a tenant's use may exceed its limit, as a share of it.
    pub overshoot: f64,
    /// What a tenant may use beyond that in each window, in the unit of its limit.
    pub slack: f64,
}

/// Fair shares of tenants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GatewayFairShares {
    /// Whether the requests of a tenant above its share are refused while a service cannot run all that is sent.
    pub is_enabled: bool,
}

/// What is asked of the entries of replicas about the begin of their lives; an entry without what is asked for may be
/// that of another writer, and is not used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Births {
    /// It is asked for as soon as another replica of the same service has said when its life began.
    #[default]
    Observed,
    /// It is always asked for.
    Required,
    /// It is never asked for.
    Optional,
}

/// How the placement of prompts weighs the delay that prefilling one adds to streams at the same replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum InterferenceMode {
    /// It is not weighed.
    #[default]
    Off,
    /// By the pauses that a prompt adds to running streams.
    Stall,
    /// By separating the replicas for long prompts from the others.
    Separate,
    /// By both.
    Both,
}

/// All settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Its unique name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The name of its deployment, whose gateways take no datagrams of others; none to take any.
    pub deployment: Option<String>,
    /// Where it listens.
    pub listen: GatewayListen,
    /// The address of the object store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time, so that nobody is served yet.
    pub is_first_start: bool,
    /// Addresses of machines that run other gateways; only their IP counts, since every gateway listens for
    /// others at the same port.
    pub seeds: Vec<SocketAddr>,
    /// Times.
    pub times: GatewayTimes,
    /// Repeats.
    pub retries: GatewayRetries,
    /// Limits of tenants.
    pub quotas: GatewayQuotas,
    /// Fair shares of tenants.
    pub fair_shares: GatewayFairShares,
    /// What is asked of the entries of replicas.
    pub births: Births,
    /// How the delay of streams by the prefill of prompts is weighed.
    pub interference: InterferenceMode,
    /// Whether the speed of replicas is learnt and used.
    pub replica_speed_enabled: bool,
    /// Whether requests go through another gateway while no replica of their service can be reached.
    pub forwarding_enabled: bool,
    /// The machine.
    pub machine: GatewayMachine,
    /// Logs.
    pub log: LogSettings,
}

/// Reads the settings file `path` of a gateway.
///
/// # Errors
///
/// The file can't be read, or holds faulty settings, all of which are listed.
pub fn load_gateway(path: &Path) -> Result<GatewaySettings, LoadError> {
    let text = fs::read_to_string(path).map_err(|cause| LoadError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    check_gateway(&text).map_err(LoadError::Invalid)
}

/// Checks the text of a gateway's settings file.
///
/// # Errors
///
/// Every fault.
pub fn check_gateway(text: &str) -> Result<GatewaySettings, Vec<SettingError>> {
    check_document(text, &Overrides::none(), read_settings)
}

/// Reads every section, so that all faults are found.
fn read_settings(root: Section<'_>) -> Option<GatewaySettings> {
    let name = root.required("name", "this gateway's unique name", values::name);
    let zone = root.required("zone", "the name of this gateway's zone", values::name);
    let deployment = root.optional("deployment", |raw| values::text(raw, "production"));
    let store = root.required("store", ADDRESS_EXPECTED, values::address);
    let is_first_start = root.or_default("first_start", false, values::boolean);
    let seeds = root.list("seeds", values::address);
    let listen = read_listen(root.section("listen"));
    let times = read_times(root.section("times"));
    let retries = read_retries(root.section("retries"));
    let quotas = read_quotas(root.section("quotas"));
    let fair_shares = GatewayFairShares {
        is_enabled: read_enabled(root.section("fair_shares")),
    };
    let births = read_births(root.section("replicas"));
    let interference = read_interference(root.section("interference"));
    let replica_speed_enabled = read_enabled(root.section("replica_speed"));
    let forwarding_enabled = read_enabled(root.section("forwarding"));
    let machine = read_machine(root.section("machine"));
    let log = read_log(root.section("log"));
    root.finish();
    Some(GatewaySettings {
        name: name?,
        zone: zone?,
        deployment,
        listen: listen?,
        store: store?,
        is_first_start,
        seeds,
        times,
        retries,
        quotas,
        fair_shares,
        births,
        interference,
        replica_speed_enabled,
        forwarding_enabled,
        machine,
        log,
    })
}

fn read_listen(section: Section<'_>) -> Option<GatewayListen> {
    let callers = section.required("callers", ADDRESS_EXPECTED, values::address);
    let health = section.required("health", ADDRESS_EXPECTED, values::address);
    let peers = section.required("peers", ADDRESS_EXPECTED, values::address);
    let metrics = section.optional("metrics", values::address);
    section.finish();
    Some(GatewayListen {
        callers: callers?,
        health: health?,
        peers: peers?,
        metrics,
    })
}

fn read_times(section: Section<'_>) -> GatewayTimes {
    let time = |key, default| section.or_default(key, Duration::from_secs_f64(default), seconds);
    let times = GatewayTimes {
        key_currency: section.optional("key_currency_seconds", seconds),
        configuration_lag: time("configuration_lag_seconds", 2.0),
        stop_grace: time("stop_grace_seconds", 8.0),
        lease_term: time("lease_term_seconds", 3.0),
        weights_deadline: time("weights_deadline_seconds", 8.0),
        contact: time("contact_seconds", 3.0),
        caller_stall: time("caller_stall_seconds", 120.0),
    };
    section.finish();
    times
}

fn read_retries(section: Section<'_>) -> GatewayRetries {
    let retries = GatewayRetries {
        ratio: section.or_default("ratio", 0.2, |raw| values::number(raw, 0.0..=10.0)),
        slack: section.or_default("slack", 20.0, |raw| values::number(raw, 0.0..=1e6)),
        window: section.or_default("window_seconds", Duration::from_secs(10), seconds),
    };
    section.finish();
    retries
}

fn read_births(section: Section<'_>) -> Births {
    let words = [
        ("observed", Births::Observed),
        ("required", Births::Required),
        ("optional", Births::Optional),
    ];
    let births = section.or_default("births", Births::default(), |raw| {
        values::one_of(raw, &words)
    });
    section.finish();
    births
}

fn read_interference(section: Section<'_>) -> InterferenceMode {
    let words = [
        ("off", InterferenceMode::Off),
        ("stall", InterferenceMode::Stall),
        ("separate", InterferenceMode::Separate),
        ("both", InterferenceMode::Both),
    ];
    let mode = section.or_default("mode", InterferenceMode::default(), |raw| {
        values::one_of(raw, &words)
    });
    section.finish();
    mode
}

/// Whether the part of the gateway that a section is about is switched on.
fn read_enabled(section: Section<'_>) -> bool {
    let enabled = section.or_default("enabled", false, values::boolean);
    section.finish();
    enabled
}

fn read_quotas(section: Section<'_>) -> GatewayQuotas {
    let quotas = GatewayQuotas {
        overshoot: section.or_default("overshoot", 0.0, |raw| values::number(raw, 0.0..=10.0)),
        slack: section.or_default("slack", 0.0, |raw| values::number(raw, 0.0..=1e12)),
    };
    section.finish();
    quotas
}

fn read_machine(section: Section<'_>) -> GatewayMachine {
    let machine = GatewayMachine {
        cores: section.or_default("cores", 1.0, |raw| values::number(raw, 0.001..=1024.0)),
        link_megabits: section.or_default("link_megabits", 1000.0, |raw| {
            values::number(raw, 0.001..=1e9)
        }),
        held_bytes: section.or_default("held_mebibytes", 32 << 20, |raw| {
            let mebibytes = values::number(raw, 16.0..=65536.0)?;
            Ok((mebibytes * f64::from(1 << 20)) as usize)
        }),
    };
    section.finish();
    machine
}

fn read_log(section: Section<'_>) -> LogSettings {
    let level = section.or_default("level", "info".to_owned(), values::log_level);
    let json = section.or_default("json", true, values::boolean);
    section.finish();
    LogSettings { level, json }
}

/// A time in seconds, fractions too.
fn seconds(raw: RawValue<'_>) -> Result<Duration, Refusal> {
    values::number(raw, 0.0..=LONGEST_SECONDS).map(Duration::from_secs_f64)
}
