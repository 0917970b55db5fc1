//! Reading a settings file and checking every value of it.

use std::fs;
use std::path::Path;
use std::time::Duration;

use driftspring_types::{DaemonId, ZoneName};
use toml::de::DeTable;

use crate::bootstrap::read_bootstrap;
use crate::document::{Document, Section};
use crate::error::{LoadError, Problem, SettingError};
use crate::flags::Overrides;
use crate::model::{
    BootstrapSettings, ClaimSettings, ListenSettings, LogSettings, MechanismSettings,
    PlatformSettings, RequestSettings, RoutingPolicy, RoutingSettings, Settings,
};
use crate::values;

/// Worker threads at the most.
const MAX_WORKERS: u64 = 256;
/// The largest request body that may be allowed, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 30;
/// The shortest timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// The longest timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// The largest number of requests that may be open at once.
const MAX_OPEN_REQUESTS: u64 = 1_000_000;
/// The longest time in the settings of claims.
const MAX_CLAIM_TIME: Duration = Duration::from_secs(24 * 3600);
/// The largest distance between zones.
const MAX_ZONE_DISTANCE: Duration = Duration::from_secs(1);
/// The slowest prefill that is believed, in microseconds per token.
const MAX_PREFILL_MICROSECONDS: f64 = 1_000_000.0;
/// The default number of worker threads.
const DEFAULT_WORKERS: usize = 2;
/// The default level of the logs.
const DEFAULT_LOG_LEVEL: &str = "info";

/// Names of the routing policies in settings.
const ROUTING_POLICIES: [(&str, RoutingPolicy); 4] = [
    ("round_robin", RoutingPolicy::RoundRobin),
    ("least_loaded", RoutingPolicy::LeastLoaded),
    ("rendezvous", RoutingPolicy::Rendezvous),
    ("full", RoutingPolicy::Full),
];

/// Reads the settings file `path` (none: flags and defaults only); flags go before the file.
pub fn load(path: Option<&Path>, overrides: &Overrides) -> Result<Settings, LoadError> {
    let text = match path {
        Some(path) => fs::read_to_string(path).map_err(|cause| LoadError::Unreadable {
            path: path.to_owned(),
            cause,
        })?,
        None => String::new(),
    };
    check_with(&text, overrides).map_err(LoadError::Invalid)
}

/// Checks the text of a settings file; an error lists every fault.
pub fn check(text: &str) -> Result<Settings, Vec<SettingError>> {
    check_with(text, &Overrides::none())
}

/// Checks the text of a settings file together with flags, which go before it.
pub fn check_with(text: &str, overrides: &Overrides) -> Result<Settings, Vec<SettingError>> {
    check_document(text, overrides, read_settings)
}

/// Checks a text whose settings `read` reads; faults of its syntax go before all others.
pub(crate) fn check_document<T>(
    text: &str,
    overrides: &Overrides,
    read: impl FnOnce(Section<'_>) -> Option<T>,
) -> Result<T, Vec<SettingError>> {
    let document = Document::new(text, overrides);
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    for error in &syntax_errors {
        let origin = document.place(&error.span().unwrap_or_default());
        let problem = Problem::Syntax(error.message().to_owned());
        document.report(origin, "(file)", problem);
    }
    if !syntax_errors.is_empty() {
        return Err(document.into_errors());
    }
    let settings = read(Section::root(&document, table.get_ref()));
    let errors = document.into_errors();
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(errors),
    }
}

/// Reads every section, so that all faults are found, then puts the settings together.
fn read_settings(root: Section<'_>) -> Option<Settings> {
    let id = root.required("id", "this daemon's unique name", values::name);
    let zone = root.required("zone", "the name of this daemon's zone", values::name);
    let cluster = root.optional("cluster", values::name);
    let workers = root.or_default("workers", DEFAULT_WORKERS, |raw| {
        values::integer(raw, 1..=MAX_WORKERS).map(|number| number as usize)
    });
    let listen = read_listen(root.section("listen"));
    let seeds = root.list("seeds", values::address);
    let platform = read_platform(root.section("platform"));
    let bootstrap = match root.has("bootstrap") {
        true => read_bootstrap(root.section("bootstrap")),
        false => BootstrapSettings::default(),
    };
    let request = read_request(root.section("request"));
    let claims = read_claims(root.section("claims"));
    let routing = read_routing(root.section("routing"));
    let mechanisms = read_mechanisms(root.section("mechanisms"));
    let log = read_log(root.section("log"));
    let history_file = root.optional("history_file", |raw| values::text(raw, "history.jsonl"));
    root.finish();
    Some(Settings {
        id: DaemonId::new(id?),
        zone: ZoneName::new(zone?),
        cluster,
        workers,
        listen: listen?,
        seeds,
        platform,
        bootstrap,
        request,
        claims,
        routing,
        mechanisms,
        log,
        history_file: history_file.map(Into::into),
    })
}

fn read_listen(section: Section<'_>) -> Option<ListenSettings> {
    const EXPECTED: &str = "an IP address with a port such as \"10.0.0.1:8080\"";
    let callers = section.required("callers", EXPECTED, values::address);
    let operators = section.required("operators", EXPECTED, values::address);
    let peers = section.required("peers", EXPECTED, values::address);
    section.finish();
    Some(ListenSettings {
        callers: callers?,
        operators: operators?,
        peers: peers?,
    })
}

fn read_platform(section: Section<'_>) -> PlatformSettings {
    let platform = PlatformSettings {
        object_store: section.optional("object_store", values::address),
        machine_list: section.optional("machine_list", values::address),
        kv_store: section.optional("kv_store", values::address),
    };
    section.finish();
    platform
}

fn read_request(section: Section<'_>) -> RequestSettings {
    let defaults = RequestSettings::default();
    let timeout = |key, default| {
        section.or_default(key, default, |raw| {
            values::duration(raw, MIN_TIMEOUT..=MAX_TIMEOUT)
        })
    };
    let request = RequestSettings {
        max_body_bytes: section.or_default("max_body", defaults.max_body_bytes, |raw| {
            values::size(raw, 1..=MAX_BODY_BYTES)
        }),
        read_timeout: timeout("read_timeout", defaults.read_timeout),
        connect_timeout: timeout("connect_timeout", defaults.connect_timeout),
        first_token_timeout: timeout("first_token_timeout", defaults.first_token_timeout),
        token_timeout: timeout("token_timeout", defaults.token_timeout),
        default_deadline: timeout("default_deadline", defaults.default_deadline),
        max_open: section.or_default("max_open", defaults.max_open, |raw| {
            values::integer(raw, 1..=MAX_OPEN_REQUESTS).map(|number| number as usize)
        }),
        retry_budget_percent: section.or_default(
            "retry_budget_percent",
            defaults.retry_budget_percent,
            |raw| values::integer(raw, 0..=100).map(|number| number as u32),
        ),
        stop_timeout: timeout("stop_timeout", defaults.stop_timeout),
    };
    section.finish();
    request
}

fn read_claims(section: Section<'_>) -> ClaimSettings {
    let defaults = ClaimSettings::default();
    let time = |key, default, shortest| {
        section.or_default(key, default, |raw| {
            values::duration(raw, shortest..=MAX_CLAIM_TIME)
        })
    };
    let claims = ClaimSettings {
        clock_skew_bound: time(
            "clock_skew_bound",
            defaults.clock_skew_bound,
            Duration::ZERO,
        ),
        key_maximum_age: time("key_maximum_age", defaults.key_maximum_age, MIN_TIMEOUT),
        ask_timeout: time("ask_timeout", defaults.ask_timeout, MIN_TIMEOUT),
        standalone: section.or_default("standalone", defaults.standalone, values::boolean),
    };
    section.finish();
    claims
}

fn read_routing(section: Section<'_>) -> RoutingSettings {
    let defaults = RoutingSettings::default();
    let switch = |key, default| section.or_default(key, default, values::boolean);
    let routing = RoutingSettings {
        policy: section.or_default("policy", defaults.policy, |raw| {
            values::one_of(raw, &ROUTING_POLICIES)
        }),
        use_events: switch("use_events", defaults.use_events),
        use_answers: switch("use_answers", defaults.use_answers),
        widen_hot_prefixes: switch("widen_hot_prefixes", defaults.widen_hot_prefixes),
        use_kept_cache: switch("use_kept_cache", defaults.use_kept_cache),
        prefill_microseconds_per_token: section.or_default(
            "prefill_microseconds_per_token",
            defaults.prefill_microseconds_per_token,
            |raw| values::number(raw, 0.0..=MAX_PREFILL_MICROSECONDS),
        ),
        zone_distance: section.or_default("zone_distance", defaults.zone_distance, |raw| {
            values::duration(raw, Duration::ZERO..=MAX_ZONE_DISTANCE)
        }),
    };
    section.finish();
    routing
}

fn read_mechanisms(section: Section<'_>) -> MechanismSettings {
    let switch = |key| section.or_default(key, true, values::boolean);
    let mechanisms = MechanismSettings {
        expect_incarnation: switch("expect_incarnation"),
        tenant_scope: switch("tenant_scope"),
        resume_streams: switch("resume_streams"),
        match_answers: switch("match_answers"),
        claims: switch("claims"),
        classify_outcomes: switch("classify_outcomes"),
        heed_leaving: switch("heed_leaving"),
        graceful_stop: switch("graceful_stop"),
        revision_order: switch("revision_order"),
        anti_entropy: switch("anti_entropy"),
        fencing: switch("fencing"),
    };
    section.finish();
    mechanisms
}

fn read_log(section: Section<'_>) -> LogSettings {
    let log = LogSettings {
        level: section.or_default("level", DEFAULT_LOG_LEVEL.to_owned(), values::log_level),
        json: section.or_default("json", false, values::boolean),
    };
    section.finish();
    log
}
