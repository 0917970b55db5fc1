//! A seeded soak over separate processes: all faults, mixed, two at a time, under load.
//!
//! `DRIFTSPRING_SOAK_SEED` and `DRIFTSPRING_SOAK_SECONDS` choose another seed and a longer run.

mod common;

use std::time::{Duration, Instant};

use common::{PATIENCE, SHORT_TIMEOUTS, check_settings, processes, wait_until_serving};
use driftspring_history::Ending;
use driftspring_system_tests::{
    DaemonOptions, EngineOptions, Load, LoadOptions, System, run, wait_until,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use uuid::Uuid;

const DEFAULT_SEED: u64 = 67;
const DEFAULT_SECONDS: u64 = 6;

const SOAK_DAEMONS: [&str; 3] = ["daemon-1", "daemon-2", "daemon-3"];
const SOAK_ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];

/// Tokens that come between two steps of the soak.
const TOKENS_BETWEEN_STEPS: usize = 60;

/// How long a frozen daemon or engine stays so.
const FREEZE_TIME: Duration = Duration::from_millis(500);

/// The number in the environment variable `name`, or `default`.
fn number_from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn start() -> anyhow::Result<System> {
    let mut system = System::new(processes()).await?;
    system.start_object_store().await?;
    system.start_kv_store().await?;
    for (number, engine) in SOAK_ENGINES.into_iter().enumerate() {
        let zone = format!("zone-{}", number % 2 + 1);
        let options = EngineOptions::new(engine).in_zone(&zone);
        system.start_engine(options).await?;
    }
    system.start_machine_list().await?;
    for (number, daemon) in SOAK_DAEMONS.into_iter().enumerate() {
        let zone = format!("zone-{}", number % 2 + 1);
        let options = SHORT_TIMEOUTS
            .iter()
            .fold(DaemonOptions::new(daemon), |options, assignment| {
                options.with(assignment)
            });
        system.start_daemon(options.in_zone(&zone)).await?;
    }
    wait_until_serving(&system, &SOAK_DAEMONS).await?;
    wait_until_claiming(&system).await?;
    Ok(system)
}

/// Waits until each daemon serves requests that may not be repeated.
async fn wait_until_claiming(system: &System) -> anyhow::Result<()> {
    let caller = system.caller("prober").await?;
    for daemon in SOAK_DAEMONS {
        wait_until("a claim is granted", PATIENCE, async || {
            let call = common::call(0).at_most_once(&Uuid::now_v7().to_string());
            let result = system.call(&caller, daemon, &call).await;
            result.is_ok_and(|result| result.ending == Ending::Whole)
        })
        .await?;
    }
    Ok(())
}

/// Brings a few faults about together, lets the load go on, and ends them.
async fn step(system: &mut System, load: &Load, random: &mut StdRng) -> anyhow::Result<()> {
    let engine = SOAK_ENGINES[random.random_range(0..SOAK_ENGINES.len())];
    system
        .set_engine_faults(engine, &engine_switches(random))
        .await?;
    system.set_store_faults(&store_switches(random)).await?;
    load.wait_for_tokens(TOKENS_BETWEEN_STEPS).await?;
    match random.random_range(0..5) {
        0 | 1 => system.crash_engine(engine).await?,
        2 => freeze_engine(system, engine).await?,
        _ => {}
    }
    let daemon = SOAK_DAEMONS[random.random_range(0..SOAK_DAEMONS.len())];
    match random.random_range(0..6) {
        0 => {
            system.kill_daemon(daemon)?;
            load.wait_for_tokens(TOKENS_BETWEEN_STEPS).await?;
            system.restart_daemon(daemon).await?;
        }
        1 => {
            system.stop_daemon(daemon).await?;
            system.restart_daemon(daemon).await?;
        }
        2 => {
            system.freeze_daemon(daemon)?;
            pause(FREEZE_TIME).await?;
            system.thaw_daemon(daemon)?;
        }
        _ => load.wait_for_tokens(TOKENS_BETWEEN_STEPS).await?,
    }
    Ok(())
}

async fn freeze_engine(system: &System, engine: &str) -> anyhow::Result<()> {
    let frozen = json!({"freeze": true});
    system.set_engine_faults(engine, &frozen).await?;
    pause(FREEZE_TIME).await?;
    let thawed = json!({"freeze": false});
    system.set_engine_faults(engine, &thawed).await
}

async fn pause(time: Duration) -> anyhow::Result<()> {
    let began_at = Instant::now();
    wait_until("the end of a pause", PATIENCE, async || {
        began_at.elapsed() >= time
    })
    .await
}

fn engine_switches(random: &mut StdRng) -> Value {
    let choices = [
        json!({"cut_after_tokens": random.random_range(1..30)}),
        json!({"duplicate_tokens": 5, "cross_answers": 5}),
        json!({"event_loss_percent": random.random_range(0..80)}),
        json!({"event_delay_ms": 300, "report_lag_ms": 300}),
        json!({"delay_ms": random.random_range(0..20)}),
        json!({"lose_answers": 1}),
    ];
    choices.choose(random).cloned().unwrap_or_default()
}

fn store_switches(random: &mut StdRng) -> Value {
    let choices = [
        json!({"down": true}),
        json!({"down": false, "delay_ms": 200}),
        json!({"down": false, "delay_ms": 0, "stale_watch": true}),
        json!({"down": false, "delay_ms": 0, "stale_watch": false, "lose_answers": 1}),
    ];
    choices.choose(random).cloned().unwrap_or_default()
}

#[test]
fn every_promise_holds_through_mixed_faults() -> anyhow::Result<()> {
    run(async {
        let seed = number_from_environment("DRIFTSPRING_SOAK_SEED", DEFAULT_SEED);
        let seconds = number_from_environment("DRIFTSPRING_SOAK_SECONDS", DEFAULT_SECONDS);
        println!("DRIFTSPRING_SOAK_SEED={seed} DRIFTSPRING_SOAK_SECONDS={seconds}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut system = start().await?;
        let options = LoadOptions {
            tokens: 40,
            unstreamed_percent: 20,
            at_most_once_percent: 20,
            ..LoadOptions::new(seed)
        };
        let load = Load::start(&system, options).await?;
        let began_at = Instant::now();
        while began_at.elapsed() < Duration::from_secs(seconds) {
            step(&mut system, &load, &mut random).await?;
        }
        system.set_store_faults(&json!({"down": false})).await?;
        let results = load.stop().await?;
        let whole = results
            .iter()
            .filter(|result| result.ending == Ending::Whole);
        println!(
            "{} of {} requests ended whole",
            whole.count(),
            results.len()
        );
        system.finish().await?.expect_kept(&check_settings())
    })
}
