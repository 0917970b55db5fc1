//! All daemons are killed at once and start again while the store is down: each serves at once.

mod common;

use common::{check_settings, processes, wait_until_serving};
use driftspring_check::Promise;
use driftspring_history::Ending;
use driftspring_system_tests::{DaemonOptions, EngineOptions, FinishedRun, System, run};
use serde::Deserialize;
use serde_json::json;

const HERD: [&str; 6] = [
    "daemon-1", "daemon-2", "daemon-3", "daemon-4", "daemon-5", "daemon-6",
];

/// Reads of the whole store per daemon that a herd start may cost.
const MAX_LISTS_PER_DAEMON: u64 = 2;

#[derive(Debug, Deserialize)]
struct StoreCounters {
    lists: u64,
}

async fn start_herd(with_bootstrap: bool) -> anyhow::Result<System> {
    let mut system = System::new(processes()).await?;
    system.start_object_store().await?;
    for engine in ["engine-1", "engine-2"] {
        system.start_engine(EngineOptions::new(engine)).await?;
    }
    system.start_machine_list().await?;
    for (number, daemon) in HERD.into_iter().enumerate() {
        let zone = format!("zone-{}", number % 2 + 1);
        let options = DaemonOptions::new(daemon).in_zone(&zone);
        let options = match with_bootstrap {
            true => options,
            false => options.without_bootstrap(),
        };
        system.start_daemon(options).await?;
    }
    wait_until_serving(&system, &HERD).await?;
    Ok(system)
}

/// Kills all daemons, then starts each and sends it its first request at once.
async fn restart_herd(system: &mut System) -> anyhow::Result<Vec<Ending>> {
    for daemon in HERD {
        system.kill_daemon(daemon)?;
    }
    let caller = system.caller("caller").await?;
    let mut endings = Vec::new();
    for (sheet, daemon) in HERD.into_iter().enumerate() {
        system.restart_daemon(daemon).await?;
        let call = common::call(sheet as u32);
        endings.push(system.call(&caller, daemon, &call).await?.ending);
    }
    Ok(endings)
}

async fn restart_without_store(with_bootstrap: bool) -> anyhow::Result<FinishedRun> {
    let mut system = start_herd(with_bootstrap).await?;
    system.set_store_faults(&json!({"down": true})).await?;
    restart_herd(&mut system).await?;
    system.finish().await
}

#[test]
fn a_herd_restarted_without_store_serves_its_first_requests() -> anyhow::Result<()> {
    run(async {
        let finished = restart_without_store(true).await?;
        finished.expect_kept(&check_settings())
    })
}

#[test]
fn a_herd_without_bootstrap_settings_can_not_serve_without_the_store() -> anyhow::Result<()> {
    run(async {
        let finished = restart_without_store(false).await?;
        finished.expect_broken(Promise::Restart, &check_settings())
    })
}

#[test]
fn a_herd_restart_reads_the_store_a_bounded_number_of_times() -> anyhow::Result<()> {
    run(async {
        let mut system = start_herd(true).await?;
        let before = lists(&system).await?;
        let endings = restart_herd(&mut system).await?;
        assert!(endings.iter().all(|ending| *ending == Ending::Whole));
        wait_until_serving(&system, &HERD).await?;
        let read = lists(&system).await? - before;
        println!("{read} lists of the store for {} daemons", HERD.len());
        assert!(
            read <= MAX_LISTS_PER_DAEMON * HERD.len() as u64,
            "{read} lists"
        );
        system.finish().await?.expect_kept(&check_settings())
    })
}

async fn lists(system: &System) -> anyhow::Result<u64> {
    let address = system.object_store()?.address;
    let text = system.control.get(address, "/standin/counters").await?;
    let counters: StoreCounters = serde_json::from_str(&text)?;
    Ok(counters.lists)
}
