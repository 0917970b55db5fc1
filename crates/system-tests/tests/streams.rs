//! Streams arrive complete and in order while engines are cut, frozen, crashed and killed.

mod common;

use common::{ENGINES, check_settings, processes, two_daemons};
use driftspring_check::Promise;
use driftspring_history::Ending;
use driftspring_system_tests::{FinishedRun, Host, Load, LoadOptions, run};
use serde_json::json;

const SEED: u64 = 11;

/// Tokens that come between two faults.
const TOKENS_BETWEEN_FAULTS: usize = 300;

/// Streams under load while each engine in turn drops, repeats, freezes and crashes.
async fn faulty_engines(host: Host, assignments: &[&str]) -> anyhow::Result<FinishedRun> {
    println!("seed {SEED}");
    let system = two_daemons(host, assignments).await?;
    let load = Load::start(&system, LoadOptions::new(SEED)).await?;
    for round in 0..4 {
        let engine = ENGINES[round % ENGINES.len()];
        load.wait_for_tokens(TOKENS_BETWEEN_FAULTS).await?;
        let switches = json!({"cut_after_tokens": 20, "duplicate_tokens": 3});
        system.set_engine_faults(engine, &switches).await?;
        load.wait_for_tokens(TOKENS_BETWEEN_FAULTS).await?;
        system.crash_engine(engine).await?;
    }
    system
        .set_engine_faults(ENGINES[0], &json!({"freeze": true}))
        .await?;
    load.wait_for_whole(20).await?;
    system
        .set_engine_faults(ENGINES[0], &json!({"freeze": false}))
        .await?;
    load.wait_for_whole(20).await?;
    load.stop().await?;
    system.finish().await
}

#[test]
fn streams_survive_faulty_engines() -> anyhow::Result<()> {
    run(async {
        let finished = faulty_engines(Host::Threads, &[]).await?;
        finished.expect_kept(&check_settings())
    })
}

#[test]
fn streams_break_without_resumption() -> anyhow::Result<()> {
    run(async {
        let off = ["mechanisms.resume_streams=false"];
        let finished = faulty_engines(Host::Threads, &off).await?;
        finished.expect_broken(Promise::Streams, &check_settings())
    })
}

#[test]
fn streams_of_separate_processes_survive_a_killed_engine() -> anyhow::Result<()> {
    run(async {
        println!("seed {SEED}");
        let mut system = two_daemons(processes(), &[]).await?;
        let load = Load::start(&system, LoadOptions::new(SEED)).await?;
        load.wait_for_tokens(TOKENS_BETWEEN_FAULTS).await?;
        system.kill_engine(ENGINES[0]).await?;
        load.wait_for_whole(20).await?;
        let results = load.stop().await?;
        let others = results
            .iter()
            .filter(|result| result.ending != Ending::Whole);
        assert_eq!(others.count(), 0, "{results:?}");
        system.finish().await?.expect_kept(&check_settings())
    })
}
