//! The process that holds the control lease is paused beyond its term, another takes over, and the first one
//! goes on: no engine obeys it any more.

mod common;

use common::{ENGINES, PATIENCE};
use driftspring_check::CheckSettings;
use driftspring_history::Event;
use driftspring_system_tests::{DaemonOptions, EngineOptions, MODEL, System, run, wait_until};
use serde_json::{Value, json};

const DAEMONS: [&str; 2] = ["daemon-1", "daemon-2"];

async fn object(system: &System, key: &str) -> Option<Value> {
    let store = system.object_store().ok()?;
    let path = format!("/objects/{key}");
    let text = system.control.get(store.address, &path).await.ok()?;
    serde_json::from_str(&text).ok()
}

/// The daemon that holds the lease by the store's object.
async fn holder(system: &System) -> Option<String> {
    let lease = object(system, "leases/control").await?;
    let daemon = lease["value"]["holder"]["daemon"].as_str()?;
    Some(daemon.to_owned())
}

async fn want_version(system: &System, version: u64) -> anyhow::Result<()> {
    let key = format!("models/{MODEL}");
    let known = object(system, &key).await;
    let revision = known
        .and_then(|known| known["revision"].as_u64())
        .unwrap_or(0);
    let rollout = json!({
        "model": MODEL, "weights_version": version, "max_parallel_loads": 1, "min_serving": 1,
    });
    let path = format!("/objects/{key}?expect={revision}");
    let store = system.object_store()?.address;
    system.control.put(store, &path, &rollout).await?;
    Ok(())
}

async fn wait_for_version(system: &System, version: u64) -> anyhow::Result<()> {
    wait_until("the rollout", PATIENCE, async || {
        for engine in ENGINES {
            let Ok(engine) = system.engine(engine) else {
                return false;
            };
            let status = system.control.get(engine.address(), "/status").await;
            let status: Option<Value> = status
                .ok()
                .and_then(|text| serde_json::from_str(&text).ok());
            if status.is_none_or(|status| status["weights_version"] != json!(version)) {
                return false;
            }
        }
        true
    })
    .await
}

#[test]
fn a_holder_paused_beyond_its_term_is_obeyed_no_more() -> anyhow::Result<()> {
    run(async {
        let mut system = System::new(common::processes()).await?;
        system.start_object_store().await?;
        for engine in ENGINES {
            system.start_engine(EngineOptions::new(engine)).await?;
        }
        system.start_machine_list().await?;
        // Each zone has one candidate for the lease.
        for (daemon, zone) in DAEMONS.into_iter().zip(["zone-1", "zone-2"]) {
            system
                .start_daemon(DaemonOptions::new(daemon).in_zone(zone))
                .await?;
        }
        wait_until("a holder", PATIENCE, async || {
            holder(&system).await.is_some()
        })
        .await?;
        want_version(&system, 2).await?;
        wait_for_version(&system, 2).await?;
        let first = holder(&system).await.unwrap_or_default();
        want_version(&system, 3).await?;
        system.freeze_daemon(&first)?;
        wait_until("another holder", PATIENCE, async || {
            holder(&system).await.is_some_and(|holder| holder != first)
        })
        .await?;
        system.thaw_daemon(&first)?;
        want_version(&system, 4).await?;
        wait_for_version(&system, 4).await?;
        let finished = system.finish().await?;
        let mut tokens: Vec<u64> = finished
            .history
            .iter()
            .filter_map(|(_, _, event)| match event {
                Event::EngineOrder { order, .. } if order.accepted => Some(order.fencing_token.0),
                _ => None,
            })
            .collect();
        tokens.sort_unstable();
        tokens.dedup();
        assert_eq!(tokens.len(), 2, "both holders gave orders");
        finished.expect_kept(&CheckSettings::default())
    })
}
