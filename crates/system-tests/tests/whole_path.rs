//! The whole path through separate processes: two engines, an object store, two daemons.

mod common;

use std::time::Duration;

use driftspring_check::CheckSettings;
use driftspring_history::Ending;
use driftspring_system_tests::{
    Call, Caller, DaemonOptions, EngineOptions, NestedPrompt, System, run, wait_until,
};

const DAEMONS: [&str; 2] = ["daemon-1", "daemon-2"];
const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
const PATIENCE: Duration = Duration::from_secs(10);

async fn start() -> anyhow::Result<System> {
    let mut system = System::new(common::processes()).await?;
    system.start_object_store().await?;
    for engine in ENGINES {
        system.start_engine(EngineOptions::new(engine)).await?;
    }
    system.start_machine_list().await?;
    for daemon in DAEMONS {
        system.start_daemon(DaemonOptions::new(daemon))?;
    }
    Ok(system)
}

fn call(sheet: u32) -> Call {
    let prompt = NestedPrompt {
        clause: 1,
        scheme: 1,
        sheet,
    };
    Call::new("moreton", prompt.text())
}

async fn is_answered(system: &System, caller: &Caller, daemon: &str) -> bool {
    let result = system.call(caller, daemon, &call(0)).await;
    result.is_ok_and(|result| result.ending == Ending::Whole)
}

#[test]
fn a_stream_arrives_whole_and_a_killed_engine_does_not_stop_the_next_request() -> anyhow::Result<()>
{
    run(async {
        let mut system = start().await?;
        let caller = system.caller("caller").await?;
        for daemon in DAEMONS {
            wait_until("a first answer", PATIENCE, async || {
                is_answered(&system, &caller, daemon).await
            })
            .await?;
        }
        for sheet in 1..4 {
            for daemon in DAEMONS {
                let result = system.call(&caller, daemon, &call(sheet)).await?;
                assert_eq!((result.ending, result.tokens), (Ending::Whole, 16));
            }
        }
        system.kill_engine(ENGINES[0]).await?;
        for sheet in 4..8 {
            for daemon in DAEMONS {
                let result = system.call(&caller, daemon, &call(sheet)).await?;
                assert_eq!((result.ending, result.tokens), (Ending::Whole, 16));
            }
        }
        system
            .finish()
            .await?
            .expect_kept(&CheckSettings::default())
    })
}
