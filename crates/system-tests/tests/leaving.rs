//! An engine that is leaving gets no new work after a few seconds: one whose machine leaves by a
//! lagging list, and one that an operator drains while the store is slow.

mod common;

use std::time::{Duration, Instant};

use common::{PATIENCE, check_settings, start_daemons};
use driftspring_check::{CheckSettings, Promise};
use driftspring_system_tests::{
    EngineOptions, FinishedRun, Host, Load, LoadOptions, System, run, wait_until,
};
use serde_json::json;

const SEED: u64 = 41;

/// How long after it began to leave an engine may still get work in this run.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// How long the load goes on after the bound.
const WATCHED_AFTER_BOUND: Duration = Duration::from_millis(1_500);

async fn leave_under_load(assignments: &[&str]) -> anyhow::Result<FinishedRun> {
    println!("seed {SEED}");
    let mut system = System::new(Host::Threads).await?;
    system.start_object_store().await?;
    for engine in ["engine-1", "engine-2", "engine-3"] {
        system.start_engine(EngineOptions::new(engine)).await?;
    }
    system.start_machine_list().await?;
    start_daemons(&mut system, assignments).await?;
    system
        .set_machine_list_faults(&json!({"report_lag_ms": 1_000}))
        .await?;
    system.set_store_faults(&json!({"delay_ms": 300})).await?;
    let load = Load::start(&system, LoadOptions::new(SEED)).await?;
    load.wait_for_whole(8).await?;
    system.announce_leaving("engine-1").await?;
    system.drain_engine("engine-2").await?;
    let left_at = Instant::now();
    wait_until("the end of the bound", PATIENCE, async || {
        left_at.elapsed() > LEAVING_BOUND + WATCHED_AFTER_BOUND
    })
    .await?;
    load.wait_for_whole(8).await?;
    load.stop().await?;
    system.finish().await
}

fn settings() -> CheckSettings {
    CheckSettings {
        leaving_bound: LEAVING_BOUND,
        ..check_settings()
    }
}

#[test]
fn leaving_engines_get_no_new_work() -> anyhow::Result<()> {
    run(async { leave_under_load(&[]).await?.expect_kept(&settings()) })
}

#[test]
fn leaving_engines_get_work_where_leaving_is_not_heeded() -> anyhow::Result<()> {
    run(async {
        let finished = leave_under_load(&["mechanisms.heed_leaving=false"]).await?;
        finished.expect_broken(Promise::Leaving, &settings())
    })
}
