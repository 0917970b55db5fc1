//! Planned stops of a daemon and of an engine under load cut no request.

mod common;

use common::{DAEMONS, ENGINES, check_settings, processes, two_daemons};
use driftspring_check::Promise;
use driftspring_system_tests::{FinishedRun, Host, Load, LoadOptions, run};

const SEED: u64 = 31;

/// A daemon stops under load and starts again, then an engine leaves.
async fn stops_under_load(host: Host, assignments: &[&str]) -> anyhow::Result<FinishedRun> {
    println!("seed {SEED}");
    let mut system = two_daemons(host, assignments).await?;
    let options = LoadOptions {
        unstreamed_percent: 20,
        tokens: 100,
        ..LoadOptions::new(SEED)
    };
    let load = Load::start(&system, options).await?;
    load.wait_for_whole(8).await?;
    // Only what has begun can be cut: on a busy machine all that was open there could be requests not yet sent to an
    // engine, which a daemon that does not wait refuses as not run.
    load.wait_for_stream_at(DAEMONS[0]).await?;
    system.stop_daemon(DAEMONS[0]).await?;
    system.restart_daemon(DAEMONS[0]).await?;
    load.wait_for_whole(8).await?;
    system.leave(ENGINES[0]).await?;
    load.wait_for_whole(8).await?;
    load.stop().await?;
    system.finish().await
}

#[test]
fn planned_stops_cut_no_request() -> anyhow::Result<()> {
    run(async {
        let finished = stops_under_load(Host::Threads, &[]).await?;
        finished.expect_kept(&check_settings())
    })
}

#[test]
fn planned_stops_of_processes_cut_no_request() -> anyhow::Result<()> {
    run(async {
        let finished = stops_under_load(processes(), &[]).await?;
        finished.expect_kept(&check_settings())
    })
}

#[test]
fn a_stop_that_does_not_wait_cuts_requests() -> anyhow::Result<()> {
    run(async {
        let off = ["mechanisms.graceful_stop=false"];
        let finished = stops_under_load(Host::Threads, &off).await?;
        finished.expect_broken(Promise::PlannedStop, &check_settings())
    })
}
