//! What the child processes do: serve until their standard input ends.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use driftspring::Daemon;
use driftspring_engine_model::EngineOptions;
use driftspring_settings::{BootstrapEngine, Settings};
use driftspring_standin::engine::{self, EngineStandinOptions, RunningEngine};
use driftspring_types::{
    DaemonId, EngineId, KeyHash, ModelName, Route, Tenant, WeightsVersion, ZoneName,
};

use crate::caller::bearer_key;
use crate::embedded::tenant_name;
use crate::flags::{ServeDaemon, ServeEngines};

const ZONE: &str = "zone-1";

/// Streams that a daemon may have open at once.
const MAX_OPEN: usize = 20_000;

/// Time-outs that no part of the measurement reaches.
const LONG: Duration = Duration::from_secs(300);

/// Short, so that the engines' memory stays small at thousands of requests per second.
const ANSWER_RETENTION: Duration = Duration::from_millis(500);

/// The model that the engines serve.
pub(super) const MODEL: &str = "model";

/// Serves engines; prints their addresses on one line.
///
/// # Errors
/// An engine does not start.
pub fn serve_engines(options: &ServeEngines) -> anyhow::Result<()> {
    let engines = (1..=options.count)
        .map(|number| {
            let mut standin = EngineStandinOptions::loopback(&engine_id(number), ZONE, MODEL);
            standin.engine = engine_options(Duration::from_millis(options.step_ms));
            standin.answer_retention = ANSWER_RETENTION;
            engine::start(standin)
        })
        .collect::<anyhow::Result<Vec<RunningEngine>>>()?;
    let addresses: Vec<String> = engines
        .iter()
        .map(|engine| engine.server.address.to_string())
        .collect();
    println!("{}", addresses.join(","));
    wait_for_end_of_input();
    Ok(())
}

/// Serves one daemon; prints its callers' address.
///
/// # Errors
/// An address does not parse, or the daemon does not start.
pub fn serve_daemon(options: &ServeDaemon) -> anyhow::Result<()> {
    let mut settings = Settings::loopback(DaemonId::new("daemon-1"), ZoneName::new(ZONE));
    settings.workers = options.workers.unwrap_or(1);
    settings.request.max_open = MAX_OPEN;
    settings.request.first_token_timeout = LONG;
    settings.request.token_timeout = LONG;
    settings.request.default_deadline = LONG;
    settings.bootstrap.tenants = vec![tenant()];
    settings.bootstrap.routes = vec![route()];
    settings.bootstrap.engines = bootstrap_engines(&options.engines)?;
    let daemon = Daemon::start(settings)?;
    println!("{}", daemon.addresses().callers);
    wait_for_end_of_input();
    daemon.stop()
}

fn engine_id(number: usize) -> String {
    format!("engine-{number}")
}

/// An engine whose tokens come once each `step` and whose prompts cost nothing.
fn engine_options(step: Duration) -> EngineOptions {
    EngineOptions {
        max_batch: MAX_OPEN,
        max_queue: MAX_OPEN,
        prefill_chunk_tokens: u32::MAX,
        prefill_microseconds_per_token: 0.0,
        step_base_microseconds: step.as_micros() as f64,
        decode_microseconds_per_request: 0.0,
        cache_capacity_blocks: 16 * 1024,
        cache_max_age: LONG,
    }
}

fn tenant() -> Tenant {
    let id = tenant_name(0);
    Tenant {
        key_hash: KeyHash::of_bearer_key(&bearer_key(&id)),
        id,
        requests_per_second: 0,
        max_concurrent: 0,
        weight: 1,
    }
}

fn route() -> Route {
    Route {
        name: "route-1".to_owned(),
        tenant: tenant_name(0),
        model: ModelName::new(MODEL),
        weights_version: WeightsVersion(1),
        shift: None,
        legacy: None,
        priority: 4,
        use_cache: true,
    }
}

fn bootstrap_engines(addresses: &str) -> anyhow::Result<Vec<BootstrapEngine>> {
    let numbered = addresses.split(',').enumerate();
    numbered
        .map(|(index, text)| {
            let address: SocketAddr = text
                .parse()
                .with_context(|| format!("--engines: {text:?} is no IP:port"))?;
            Ok(BootstrapEngine {
                id: EngineId::new(engine_id(index + 1)),
                address,
                zone: ZoneName::new(ZONE),
                model: ModelName::new(MODEL),
            })
        })
        .collect()
}

fn wait_for_end_of_input() {
    let mut byte = [0];
    while matches!(std::io::stdin().read(&mut byte), Ok(read) if read > 0) {}
}
