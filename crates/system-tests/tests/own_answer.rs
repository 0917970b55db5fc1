//! Callers get their own answers while engines send events of other requests into streams.

mod common;

use common::{ENGINES, check_settings, two_daemons};
use driftspring_check::Promise;
use driftspring_system_tests::{FinishedRun, Host, Load, LoadOptions, run};
use serde_json::json;

const SEED: u64 = 23;

/// Streamed and unstreamed answers under load while events are crossed, late and repeated.
async fn crossed_answers(assignments: &[&str]) -> anyhow::Result<FinishedRun> {
    println!("seed {SEED}");
    let system = two_daemons(Host::Threads, assignments).await?;
    let options = LoadOptions {
        unstreamed_percent: 40,
        ..LoadOptions::new(SEED)
    };
    let load = Load::start(&system, options).await?;
    for _ in 0..5 {
        for engine in ENGINES {
            let switches = json!({"cross_answers": 5, "duplicate_tokens": 2, "delay_ms": 5});
            system.set_engine_faults(engine, &switches).await?;
        }
        load.wait_for_whole(10).await?;
    }
    load.stop().await?;
    system.finish().await
}

#[test]
fn crossed_events_reach_no_caller() -> anyhow::Result<()> {
    run(async {
        let finished = crossed_answers(&[]).await?;
        finished.expect_kept(&check_settings())
    })
}

#[test]
fn crossed_events_reach_callers_without_matching() -> anyhow::Result<()> {
    run(async {
        let finished = crossed_answers(&["mechanisms.match_answers=false"]).await?;
        finished.expect_broken(Promise::OwnAnswer, &check_settings())
    })
}
