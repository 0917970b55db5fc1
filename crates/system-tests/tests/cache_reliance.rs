//! No request relies on cached work of a crashed engine, another tenant or older weights.

mod common;

use common::{DAEMONS, ENGINES, call, check_settings, two_daemons};
use driftspring_check::{CheckSettings, Promise};
use driftspring_system_tests::{Call, FinishedRun, Host, Load, LoadOptions, System, run};
use driftspring_types::WeightsVersion;
use serde_json::json;

const SEED: u64 = 53;

/// Crashes brought about one after another, each followed at once by a request whose prompt was cached.
const CRASHES: u32 = 6;

/// Kept KV cache is off in these runs, so that whatever is cached was computed by the engine in this life.
const NO_KEPT_CACHE: &str = "routing.use_kept_cache=false";

fn settings() -> CheckSettings {
    CheckSettings {
        kept_cache: false,
        ..check_settings()
    }
}

/// Warms both engines, crashes them, and sends the same prompt again before anybody can have heard.
async fn crash_warm_engines(assignments: &[&str]) -> anyhow::Result<FinishedRun> {
    let assignments = [&[NO_KEPT_CACHE], assignments].concat();
    let system = two_daemons(Host::Threads, &assignments).await?;
    let caller = system.caller("caller").await?;
    for round in 0..CRASHES {
        for _ in 0..3 {
            system.call(&caller, DAEMONS[0], &call(round)).await?;
        }
        for engine in ENGINES {
            system.crash_engine(engine).await?;
        }
        system.call(&caller, DAEMONS[0], &call(round)).await?;
    }
    system.finish().await
}

/// Engines lose and delay their cache events, crash, and load other weights under load.
async fn faulty_caches(assignments: &[&str]) -> anyhow::Result<FinishedRun> {
    println!("seed {SEED}");
    let assignments = [&[NO_KEPT_CACHE], assignments].concat();
    let system = two_daemons(Host::Threads, &assignments).await?;
    for engine in ENGINES {
        let switches = json!({"event_loss_percent": 40, "event_delay_ms": 200});
        system.set_engine_faults(engine, &switches).await?;
    }
    let load = Load::start(&system, LoadOptions::new(SEED)).await?;
    for engine in ENGINES {
        load.wait_for_whole(12).await?;
        system.crash_engine(engine).await?;
    }
    load.wait_for_whole(12).await?;
    system.load_weights(ENGINES[0], WeightsVersion(2)).await?;
    load.wait_for_whole(12).await?;
    load.stop().await?;
    system.finish().await
}

/// Two tenants send the same text.
async fn same_text_of_two_tenants(assignments: &[&str]) -> anyhow::Result<FinishedRun> {
    let assignments = [&[NO_KEPT_CACHE], assignments].concat();
    let system: System = two_daemons(Host::Threads, &assignments).await?;
    let caller = system.caller("caller").await?;
    for tenant in ["moreton", "directorate", "moreton", "directorate"] {
        for daemon in DAEMONS {
            let call = Call {
                tenant: tenant.into(),
                ..call(1)
            };
            system.call(&caller, daemon, &call).await?;
        }
    }
    system.finish().await
}

#[test]
fn no_request_relies_on_the_cache_of_a_crashed_engine() -> anyhow::Result<()> {
    run(async { crash_warm_engines(&[]).await?.expect_kept(&settings()) })
}

#[test]
fn requests_rely_on_a_lost_cache_where_the_incarnation_is_not_named() -> anyhow::Result<()> {
    run(async {
        let finished = crash_warm_engines(&["mechanisms.expect_incarnation=false"]).await?;
        finished.expect_broken(Promise::CacheReliance, &settings())
    })
}

#[test]
fn lost_events_crashes_and_new_weights_mislead_no_request() -> anyhow::Result<()> {
    run(async { faulty_caches(&[]).await?.expect_kept(&settings()) })
}

#[test]
fn tenants_share_no_cached_work() -> anyhow::Result<()> {
    run(async {
        same_text_of_two_tenants(&[])
            .await?
            .expect_kept(&settings())
    })
}

#[test]
fn tenants_share_cached_work_where_it_is_not_scoped() -> anyhow::Result<()> {
    run(async {
        let finished = same_text_of_two_tenants(&["mechanisms.tenant_scope=false"]).await?;
        finished.expect_broken(Promise::CacheReliance, &settings())
    })
}
