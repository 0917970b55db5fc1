//! A small system in one process, with one engine killed midway.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::ensure;
use driftspring_engine_model::EngineOptions;

use crate::embedded::{EmbeddedOptions, EmbeddedSystem};
use crate::flags::Demo;
use crate::load::{Destinations, RunningLoad};
use crate::report::{LoadSummary, Table};
use crate::workload::{Trace, Workload};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_REQUESTS: usize = 300;
const ZONES: usize = 2;
const ENGINES: usize = 4;
const REQUESTS_PER_SECOND: f64 = 30.0;
const LOAD_THREADS: usize = 2;

/// How often progress is shown.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the demo and prints what happened.
///
/// # Errors
/// The system does not start, or a stream was not whole.
pub fn run(options: &Demo) -> anyhow::Result<()> {
    let seed = options.seed.unwrap_or(DEFAULT_SEED);
    let requests = options.requests.unwrap_or(DEFAULT_REQUESTS);
    let workload = demo_workload();
    let length = Duration::from_secs_f64(requests as f64 / REQUESTS_PER_SECOND);
    let mut trace = Trace::draw(&workload, length.mul_f64(1.5), seed);
    trace.requests.truncate(requests);
    let mut system = EmbeddedSystem::start(&EmbeddedOptions {
        workload,
        daemons_per_zone: 1,
        daemon_workers: 2,
        engine: EngineOptions::default(),
        history: None,
    })?;
    print_system(&system, seed, trace.requests.len());
    let destinations = Destinations {
        by_zone: (0..ZONES).map(|zone| system.daemons_in(zone)).collect(),
        are_engines: false,
    };
    let load = RunningLoad::start(&trace, &destinations, LOAD_THREADS, None)?;
    let killed = kill_engine_midway(&load, &mut system, requests as u64);
    let records = load.finish()?;
    let summary = LoadSummary::of(&records)?;
    print_result(&system, &summary, killed.as_deref());
    ensure!(
        summary.whole == summary.requests,
        "{} of {} streams were not whole",
        summary.requests - summary.whole,
        summary.requests
    );
    println!("All {} streams were whole and in order.", summary.whole);
    Ok(())
}

/// The first service of the larger workload, on fewer engines.
fn demo_workload() -> Workload {
    let mut workload = Workload::directorate();
    workload.zones = ZONES;
    workload.services.truncate(1);
    for service in &mut workload.services {
        service.replicas = ENGINES;
        service.requests_per_second = REQUESTS_PER_SECOND;
    }
    workload
}

fn print_system(system: &EmbeddedSystem, seed: u64, requests: usize) {
    println!(
        "{} daemons, {} engines, object store, machine list, KV store and weight store on loopback; seed {seed}.",
        system.daemons.len(),
        system.engines.len(),
    );
    for daemon in &system.daemons {
        let addresses = daemon.running.addresses();
        println!(
            "  {}: callers {}, operators {}",
            daemon.id, addresses.callers, addresses.operators
        );
    }
    println!("Sending {requests} streamed requests with nested prefixes.");
}

/// Shows progress until the load ends; kills the busiest engine once half of it is sent.
fn kill_engine_midway(
    load: &RunningLoad,
    system: &mut EmbeddedSystem,
    requests: u64,
) -> Option<String> {
    let mut killed = None;
    while !load.is_finished() {
        std::thread::sleep(PROGRESS_INTERVAL);
        let sent = load.progress.sent.load(Ordering::Relaxed);
        let whole = load.progress.whole.load(Ordering::Relaxed);
        let failed = load.progress.failed.load(Ordering::Relaxed);
        println!("  sent {sent}, whole {whole}, failed {failed}");
        if killed.is_none() && sent * 2 >= requests {
            killed = kill_busiest_engine(system);
        }
    }
    killed
}

fn kill_busiest_engine(system: &mut EmbeddedSystem) -> Option<String> {
    let engines = system.engines.iter();
    let busiest = engines.max_by_key(|engine| engine.state.totals().started)?;
    let id = busiest.id.to_string();
    println!("  killing engine {id}");
    system.kill_engine(&id).then_some(id)
}

fn print_result(system: &EmbeddedSystem, summary: &LoadSummary, killed: Option<&str>) {
    let mut table = Table::new(&[
        "engine",
        "zone",
        "requests",
        "prompt tokens",
        "cached",
        "hit rate",
        "state",
    ]);
    for engine in &system.engines {
        let id = engine.id.as_str();
        let share = summary.engines.get(id).cloned().unwrap_or_default();
        let hit_rate = share.cached_tokens as f64 / share.prompt_tokens.max(1) as f64;
        let state = if killed == Some(id) {
            "killed"
        } else {
            "serving"
        };
        table.row([
            id.to_owned(),
            engine.state.options().zone.to_string(),
            share.requests.to_string(),
            share.prompt_tokens.to_string(),
            share.cached_tokens.to_string(),
            format!("{:.1}%", hit_rate * 100.0),
            state.to_owned(),
        ]);
    }
    println!("\nWhat was routed where:\n{table}");
    println!("Prefix hit rate: {:.1}%", summary.prefix_hit_rate * 100.0);
    println!(
        "Time to first token: p50 {:.1} ms, p95 {:.1} ms",
        summary.time_to_first_token.p50_ms, summary.time_to_first_token.p95_ms
    );
    for (reason, count) in summary.refused.iter().chain(&summary.broken) {
        println!("Not whole: {count} x {reason}");
    }
}
