//! What the system tests share.
#![allow(dead_code)] // Each test binary uses its own part of these helpers.

use std::time::Duration;

use driftspring_check::CheckSettings;
use driftspring_history::Ending;
use driftspring_system_tests::{
    Call, Caller, DaemonOptions, EngineOptions, Host, NestedPrompt, Programs, System, wait_until,
};

pub const DAEMONS: [&str; 2] = ["daemon-1", "daemon-2"];
pub const ENGINES: [&str; 2] = ["engine-1", "engine-2"];

/// How long a condition may take to come about.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Shorter timeouts, so that stalled engines are noticed within the time of a test.
pub const SHORT_TIMEOUTS: [&str; 2] = [
    "request.token_timeout=300ms",
    "request.first_token_timeout=1s",
];

/// Daemons and stand-ins as separate processes.
pub fn processes() -> Host {
    Host::Processes(Programs {
        daemon: env!("CARGO_BIN_EXE_system-test-daemon").into(),
        standin: env!("CARGO_BIN_EXE_system-test-standin").into(),
    })
}

/// Two engines, an object store, a machine list, and two daemons with `assignments`, all serving.
pub async fn two_daemons(host: Host, assignments: &[&str]) -> anyhow::Result<System> {
    let mut system = System::new(host).await?;
    system.start_object_store().await?;
    for engine in ENGINES {
        system.start_engine(EngineOptions::new(engine)).await?;
    }
    system.start_machine_list().await?;
    start_daemons(&mut system, assignments).await?;
    Ok(system)
}

/// Starts both daemons with short timeouts and `assignments`, and waits until they serve.
pub async fn start_daemons(system: &mut System, assignments: &[&str]) -> anyhow::Result<()> {
    for daemon in DAEMONS {
        let options = SHORT_TIMEOUTS
            .iter()
            .chain(assignments)
            .fold(DaemonOptions::new(daemon), |options, assignment| {
                options.with(assignment)
            });
        system.start_daemon(options).await?;
    }
    wait_until_serving(system, &DAEMONS).await
}

/// Waits until each of `daemons` answers a request.
pub async fn wait_until_serving(system: &System, daemons: &[&str]) -> anyhow::Result<()> {
    let caller = system.caller("prober").await?;
    for daemon in daemons {
        wait_until("a first answer", PATIENCE, async || {
            is_answered(system, &caller, daemon).await
        })
        .await?;
    }
    Ok(())
}

async fn is_answered(system: &System, caller: &Caller, daemon: &str) -> bool {
    let result = system.call(caller, daemon, &call(0)).await;
    result.is_ok_and(|result| result.ending == Ending::Whole)
}

/// A request whose prompt shares all but its innermost part with that of any other `sheet`.
pub fn call(sheet: u32) -> Call {
    let prompt = NestedPrompt {
        clause: 1,
        scheme: 1,
        sheet,
    };
    Call::new("moreton", prompt.text())
}

/// The promises' own bounds, with a bound on the end of requests that suits short runs.
pub fn check_settings() -> CheckSettings {
    CheckSettings {
        answer_bound: Duration::from_secs(30),
        ..CheckSettings::default()
    }
}
