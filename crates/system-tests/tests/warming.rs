//! An engine that comes back empty is warmed with the hot prefixes before requests need them there.

use std::time::Duration;

use driftspring_check::CheckSettings;
use driftspring_external::engine::EngineStatus;
use driftspring_history::Ending;
use driftspring_prefix::{CacheScope, Fingerprint};
use driftspring_system_tests::{
    Call, DaemonOptions, EngineOptions, Host, MODEL, NestedPrompt, System, run, wait_until,
};
use driftspring_types::WeightsVersion;

const REQUESTS: u32 = 40;
const TENANT: &str = "moreton";
const PATIENCE: Duration = Duration::from_secs(15);
/// How long an engine that nobody warms is watched.
const COLD_PATIENCE: Duration = Duration::from_secs(3);

fn prompt() -> String {
    NestedPrompt {
        clause: 1,
        scheme: 1,
        sheet: 1,
    }
    .text()
}

/// Repeats one prompt, so that it is hot.
async fn heat(system: &System) -> anyhow::Result<()> {
    let caller = system.caller("caller").await?;
    let address = system.daemon("d1")?.callers().expect("it listens");
    for _ in 0..REQUESTS {
        let call = Call::new(TENANT, prompt()).with_tokens(2);
        let result = caller.call(&"d1".into(), address, &call).await;
        assert_eq!(result.ending, Ending::Whole);
    }
    Ok(())
}

/// Whether the KV store has the whole prompt.
async fn is_kept(system: &System) -> bool {
    let scope = CacheScope {
        tenant: TENANT.into(),
        model: MODEL.into(),
        weights_version: WeightsVersion(1),
    };
    let fingerprint = Fingerprint::of_prompt(&scope.salt(), prompt().as_bytes());
    let Some(last_block) = fingerprint.blocks.last() else {
        return false;
    };
    let path = format!("/kept/{}", last_block.0);
    match system.kv_store() {
        Ok(store) => system.control.get(store.address, &path).await.is_ok(),
        Err(_) => false,
    }
}

async fn status(system: &System, engine: &str) -> anyhow::Result<EngineStatus> {
    let address = system.engine(engine)?.address();
    let body = system.control.get(address, "/status").await?;
    Ok(serde_json::from_str(&body)?)
}

/// Crashes the engine that has the hot prompt cached. Whether it gets cached blocks without any request.
async fn is_warmed(use_kept_cache: bool) -> anyhow::Result<bool> {
    let mut system = System::new(Host::Threads).await?;
    system.start_kv_store().await?;
    for id in ["e1", "e2"] {
        system.start_engine(EngineOptions::new(id)).await?;
    }
    let setting = format!("routing.use_kept_cache={use_kept_cache}");
    system
        .start_daemon(DaemonOptions::new("d1").with(&setting))
        .await?;
    heat(&system).await?;
    if use_kept_cache {
        wait_until("keeping", PATIENCE, async || is_kept(&system).await).await?;
    }
    let crashed = match status(&system, "e1").await?.load.cached_blocks {
        0 => "e2",
        _ => "e1",
    };
    system.crash_engine(crashed).await?;
    let patience = if use_kept_cache {
        PATIENCE
    } else {
        COLD_PATIENCE
    };
    let warmed = wait_until("warming", patience, async || {
        let status = status(&system, crashed).await;
        status.is_ok_and(|status| status.load.cached_blocks > 0)
    });
    let is_warmed = warmed.await.is_ok();
    system
        .finish()
        .await?
        .expect_kept(&CheckSettings::default())?;
    Ok(is_warmed)
}

#[test]
fn a_returned_engine_is_warmed() -> anyhow::Result<()> {
    run(async {
        assert!(is_warmed(true).await?);
        Ok(())
    })
}

#[test]
fn without_kept_cache_it_stays_cold() -> anyhow::Result<()> {
    run(async {
        assert!(!is_warmed(false).await?);
        Ok(())
    })
}
