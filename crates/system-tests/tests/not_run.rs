//! "Not run" means not run: connections cut and answers lost before, during and after the dispatch,
//! engines that freeze, crash and refuse, and daemons at their capacity. No request that was answered
//! "not run" appears in an engine's run log; without the classification of outcomes some do.

mod common;

use std::time::Duration;

use driftspring_check::{CheckSettings, Promise};
use driftspring_history::Ending;
use driftspring_system_tests::{
    Call, CallResult, Caller, DaemonOptions, EngineOptions, FinishedRun, System, run, wait_until,
};
use futures_util::future::{join, join_all};
use ntex::time::sleep;
use serde_json::{Value, json};
use uuid::Uuid;

const DAEMON: &str = "daemon-1";
const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
const PATIENCE: Duration = Duration::from_secs(60);
/// Requests sent at once under each fault; every second one may not be repeated.
const REQUESTS: usize = 12;
/// How long a fault lasts while the requests run.
const FAULT_TIME: Duration = Duration::from_millis(150);

async fn start(setting: &str) -> anyhow::Result<(System, Caller)> {
    let mut system = System::new(common::processes()).await?;
    system.start_object_store().await?;
    for engine in ENGINES {
        system.start_engine(EngineOptions::new(engine)).await?;
    }
    system.start_machine_list().await?;
    let options = DaemonOptions::new(DAEMON)
        .with("claims.clock_skew_bound=100ms")
        .with("claims.standalone=true")
        .with("request.first_token_timeout=400ms")
        .with("request.token_timeout=400ms")
        .with(setting);
    system.start_daemon(options).await?;
    let caller = system.caller("caller").await?;
    wait_until(
        "requests of both kinds are answered",
        PATIENCE,
        async || {
            let answered = call_both_kinds(&system, &caller, 2).await;
            answered.is_ok_and(|results| results.iter().all(is_whole))
        },
    )
    .await?;
    Ok((system, caller))
}

fn is_whole(result: &CallResult) -> bool {
    result.ending == Ending::Whole
}

async fn call_both_kinds(
    system: &System,
    caller: &Caller,
    count: usize,
) -> anyhow::Result<Vec<CallResult>> {
    let calls: Vec<Call> = (0..count).map(call).collect();
    let calling = calls.iter().map(|call| system.call(caller, DAEMON, call));
    join_all(calling).await.into_iter().collect()
}

/// A request under a new key; every second one may not be repeated.
fn call(number: usize) -> Call {
    let key = Uuid::now_v7().to_string();
    let call = Call::new("moreton", format!("sheet {key}")).with_tokens(24);
    if number.is_multiple_of(2) {
        call
    } else {
        call.at_most_once(&key)
    }
}

async fn set_faults(system: &System, switches: &Value) -> anyhow::Result<()> {
    for engine in ENGINES {
        system.set_engine_faults(engine, switches).await?;
    }
    Ok(())
}

/// Sends requests while `fault` is in force from `after` on, then heals it.
async fn under_fault(
    system: &System,
    caller: &Caller,
    after: Duration,
    fault: &Value,
    healed: &Value,
) -> anyhow::Result<()> {
    let calling = call_both_kinds(system, caller, REQUESTS);
    let failing = async {
        sleep(after).await;
        set_faults(system, fault).await?;
        sleep(FAULT_TIME).await;
        set_faults(system, healed).await
    };
    let (called, failed) = join(calling, failing).await;
    called?;
    failed
}

async fn all_faults(setting: &str) -> anyhow::Result<FinishedRun> {
    let (system, caller) = start(setting).await?;
    let faults = [
        (json!({"cut": true}), json!({"cut": false})),
        (json!({"freeze": true}), json!({"freeze": false})),
        (json!({"lose_answers": 4}), json!({"lose_answers": 0})),
        (json!({"down": true}), json!({"down": false})),
        (json!({"cut_after_tokens": 3}), json!({})),
        (json!({"delay_ms": 450}), json!({"delay_ms": 0})),
    ];
    for (fault, healed) in &faults {
        for after_ms in [0, 3, 10, 30] {
            let after = Duration::from_millis(after_ms);
            under_fault(&system, &caller, after, fault, healed).await?;
        }
    }
    for after_ms in [0, 5, 20] {
        let calling = call_both_kinds(&system, &caller, REQUESTS);
        let crashing = async {
            sleep(Duration::from_millis(after_ms)).await;
            for engine in ENGINES {
                system.crash_engine(engine).await?;
            }
            anyhow::Ok(())
        };
        let (called, crashed) = join(calling, crashing).await;
        called?;
        crashed?;
    }
    system.finish().await
}

#[test]
fn no_request_answered_not_run_was_run() -> anyhow::Result<()> {
    run(async {
        let finished = all_faults("mechanisms.classify_outcomes=true").await?;
        finished.expect_kept(&CheckSettings::default())
    })
}

#[test]
fn without_classified_outcomes_a_request_answered_not_run_was_run() -> anyhow::Result<()> {
    run(async {
        let finished = all_faults("mechanisms.classify_outcomes=false").await?;
        finished.expect_broken(Promise::NotRun, &CheckSettings::default())
    })
}

#[test]
fn requests_shed_under_overload_were_not_run() -> anyhow::Result<()> {
    run(async {
        let (system, caller) = start("request.max_open=4").await?;
        let results = call_both_kinds(&system, &caller, 60).await?;
        let not_run = |result: &&CallResult| matches!(result.ending, Ending::NotRun { .. });
        assert!(
            results.iter().filter(not_run).count() > 0,
            "nothing was shed"
        );
        assert!(results.iter().any(is_whole), "everything was shed");
        system
            .finish()
            .await?
            .expect_kept(&CheckSettings::default())
    })
}
