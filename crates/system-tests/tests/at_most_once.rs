//! A request that may not be repeated runs at most once, over all daemons and engines: with the same
//! key at several daemons at once, frozen and restarted holders, a store that is down, lost answers,
//! crashed engines and callers that retry. Each run is shown to fail with the claims off.

mod common;

use std::time::Duration;

use driftspring_check::{CheckSettings, Promise};
use driftspring_history::Ending;
use driftspring_system_tests::{
    Call, CallResult, Caller, DaemonOptions, EngineOptions, FinishedRun, System, run, wait_until,
};
use futures_util::future::join_all;
use ntex::time::sleep;
use serde_json::json;
use uuid::Uuid;

const DAEMONS: [&str; 3] = ["daemon-1", "daemon-2", "daemon-3"];
const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
const PATIENCE: Duration = Duration::from_secs(60);
/// Keys that each run tries.
const KEYS: usize = 8;

/// Whether requests that may not be repeated are claimed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Claims {
    On,
    Off,
}

fn options(id: &str, claims: Claims) -> DaemonOptions {
    let options = DaemonOptions::new(id)
        .with("claims.clock_skew_bound=100ms")
        .with("request.first_token_timeout=500ms")
        .with("request.token_timeout=500ms");
    match claims {
        Claims::On => options,
        Claims::Off => options.with("mechanisms.claims=false"),
    }
}

/// Three daemons that hold claims for each other, and two engines.
async fn start(claims: Claims) -> anyhow::Result<(System, Caller)> {
    let mut system = System::new(common::processes()).await?;
    system.start_object_store().await?;
    for engine in ENGINES {
        system.start_engine(EngineOptions::new(engine)).await?;
    }
    system.start_machine_list().await?;
    for daemon in DAEMONS {
        system.start_daemon(options(daemon, claims)).await?;
    }
    let caller = system.caller("caller").await?;
    wait_for_all_claims(&system, &caller).await?;
    Ok((system, caller))
}

/// Waits until every daemon serves requests that may not be repeated.
async fn wait_for_all_claims(system: &System, caller: &Caller) -> anyhow::Result<()> {
    for daemon in DAEMONS {
        wait_for_claims(system, caller, daemon).await?;
    }
    Ok(())
}

async fn wait_for_claims(system: &System, caller: &Caller, daemon: &str) -> anyhow::Result<()> {
    wait_until("a claim is granted", PATIENCE, async || {
        let result = system.call(caller, daemon, &fresh_call()).await;
        result.is_ok_and(|result| result.ending == Ending::Whole)
    })
    .await
}

/// A request under a new key.
fn fresh_call() -> Call {
    let key = Uuid::now_v7().to_string();
    Call::new("moreton", format!("order {key}")).at_most_once(&key)
}

/// Sends another attempt of `call` to each daemon at once.
async fn call_everywhere(
    system: &System,
    caller: &Caller,
    call: &Call,
) -> anyhow::Result<Vec<CallResult>> {
    let attempts: Vec<Call> = DAEMONS.iter().map(|_| call.again()).collect();
    let calls = DAEMONS.iter().zip(&attempts);
    let calling = calls.map(|(daemon, attempt)| system.call(caller, daemon, attempt));
    join_all(calling).await.into_iter().collect()
}

/// Whether the answer leaves open that another attempt of the request ran.
fn is_not_taken_for_not_run(result: &CallResult) -> bool {
    result.ending == Ending::Unknown
}

fn expect_kept(finished: FinishedRun) -> anyhow::Result<()> {
    finished.expect_kept(&CheckSettings::default())
}

fn expect_second_run(finished: FinishedRun) -> anyhow::Result<()> {
    finished.expect_broken(Promise::AtMostOnce, &CheckSettings::default())
}

async fn the_same_key_everywhere(claims: Claims) -> anyhow::Result<FinishedRun> {
    let (system, caller) = start(claims).await?;
    for _ in 0..KEYS {
        call_everywhere(&system, &caller, &fresh_call()).await?;
    }
    system.finish().await
}

#[test]
fn the_same_key_at_all_daemons_at_once_runs_once() -> anyhow::Result<()> {
    run(async { expect_kept(the_same_key_everywhere(Claims::On).await?) })
}

#[test]
fn the_same_key_at_all_daemons_at_once_runs_twice_without_claims() -> anyhow::Result<()> {
    run(async { expect_second_run(the_same_key_everywhere(Claims::Off).await?) })
}

/// A caller that gets no answer or an unknown one tries the next daemon with the same key.
async fn retry_everywhere(system: &System, caller: &Caller, call: &Call) -> anyhow::Result<()> {
    for daemon in DAEMONS {
        system.call(caller, daemon, &call.again()).await?;
    }
    Ok(())
}

async fn lost_answers(claims: Claims) -> anyhow::Result<FinishedRun> {
    let (system, caller) = start(claims).await?;
    for _ in 0..KEYS {
        for engine in ENGINES {
            system
                .set_engine_faults(engine, &json!({"lose_answers": 1}))
                .await?;
        }
        retry_everywhere(&system, &caller, &fresh_call()).await?;
    }
    system.finish().await
}

#[test]
fn a_caller_that_retries_after_a_lost_answer_runs_nothing_twice() -> anyhow::Result<()> {
    run(async { expect_kept(lost_answers(Claims::On).await?) })
}

#[test]
fn a_caller_that_retries_after_a_lost_answer_runs_it_twice_without_claims() -> anyhow::Result<()> {
    run(async { expect_second_run(lost_answers(Claims::Off).await?) })
}

async fn crashed_engines(claims: Claims) -> anyhow::Result<FinishedRun> {
    let (system, caller) = start(claims).await?;
    for _ in 0..KEYS {
        let call = fresh_call().with_tokens(200);
        let first = call.again();
        let calling = system.call(&caller, DAEMONS[0], &first);
        let crashing = async {
            sleep(Duration::from_millis(60)).await;
            for engine in ENGINES {
                system.crash_engine(engine).await?;
            }
            anyhow::Ok(())
        };
        let (called, crashed) = futures_util::future::join(calling, crashing).await;
        called?;
        crashed?;
        retry_everywhere(&system, &caller, &call).await?;
    }
    system.finish().await
}

#[test]
fn a_request_whose_engine_crashed_runs_nowhere_else() -> anyhow::Result<()> {
    run(async { expect_kept(crashed_engines(Claims::On).await?) })
}

#[test]
fn a_request_whose_engine_crashed_runs_elsewhere_without_claims() -> anyhow::Result<()> {
    run(async { expect_second_run(crashed_engines(Claims::Off).await?) })
}

/// Daemons freeze in turn while all of them have attempts of the same key, and thaw later.
async fn frozen_daemons(claims: Claims) -> anyhow::Result<FinishedRun> {
    let (system, caller) = start(claims).await?;
    for round in 0..KEYS {
        let frozen = DAEMONS[round % DAEMONS.len()];
        let call = fresh_call();
        let calling = call_everywhere(&system, &caller, &call);
        let freezing = async {
            sleep(Duration::from_millis(round as u64)).await;
            system.freeze_daemon(frozen)?;
            for daemon in DAEMONS.into_iter().filter(|daemon| *daemon != frozen) {
                system.call(&caller, daemon, &call.again()).await?;
            }
            system.thaw_daemon(frozen)
        };
        let (called, frozen) = futures_util::future::join(calling, freezing).await;
        called?;
        frozen?;
    }
    system.finish().await
}

#[test]
fn frozen_and_thawed_daemons_run_nothing_twice() -> anyhow::Result<()> {
    run(async { expect_kept(frozen_daemons(Claims::On).await?) })
}

#[test]
fn frozen_and_thawed_daemons_run_it_twice_without_claims() -> anyhow::Result<()> {
    run(async { expect_second_run(frozen_daemons(Claims::Off).await?) })
}

#[test]
fn a_frozen_holder_does_not_stop_the_others() -> anyhow::Result<()> {
    run(async {
        let (system, caller) = start(Claims::On).await?;
        system.freeze_daemon(DAEMONS[2])?;
        for _ in 0..KEYS {
            let call = fresh_call();
            let first = system.call(&caller, DAEMONS[0], &call).await?;
            assert_eq!(first.ending, Ending::Whole);
            let second = system.call(&caller, DAEMONS[1], &call.again()).await?;
            assert!(is_not_taken_for_not_run(&second), "{second:?}");
        }
        system.thaw_daemon(DAEMONS[2])?;
        expect_kept(system.finish().await?)
    })
}

/// Whether a claim is granted while the daemon `frozen` is frozen.
async fn is_granted_without(
    system: &System,
    caller: &Caller,
    frozen: &str,
) -> anyhow::Result<bool> {
    system.freeze_daemon(frozen)?;
    let result = system.call(caller, DAEMONS[1], &fresh_call()).await;
    system.thaw_daemon(frozen)?;
    Ok(result?.ending == Ending::Whole)
}

/// All daemons restart together, then callers repeat the keys that ran before.
async fn herd_restart(claims: Claims) -> anyhow::Result<FinishedRun> {
    let (mut system, caller) = start(claims).await?;
    let calls: Vec<Call> = (0..KEYS).map(|_| fresh_call()).collect();
    for call in &calls {
        let result = system.call(&caller, DAEMONS[0], call).await?;
        assert_eq!(result.ending, Ending::Whole);
    }
    for daemon in DAEMONS {
        system.kill_daemon(daemon)?;
    }
    for daemon in DAEMONS {
        system.restart_daemon(daemon).await?;
    }
    for call in &calls {
        call_everywhere(&system, &caller, call).await?;
    }
    // All lives that held claims are over: claims are granted again once the group is replaced.
    wait_for_all_claims(&system, &caller).await?;
    for call in &calls {
        let results = call_everywhere(&system, &caller, call).await?;
        if claims == Claims::On {
            assert!(results.iter().all(is_not_taken_for_not_run), "{results:?}");
        }
    }
    system.finish().await
}

#[test]
fn keys_from_before_a_herd_restart_run_nothing_twice() -> anyhow::Result<()> {
    run(async { expect_kept(herd_restart(Claims::On).await?) })
}

#[test]
fn keys_from_before_a_herd_restart_run_twice_without_claims() -> anyhow::Result<()> {
    run(async { expect_second_run(herd_restart(Claims::Off).await?) })
}

#[test]
fn with_the_store_down_a_restarted_holder_returns_and_keys_run_once() -> anyhow::Result<()> {
    run(async {
        let (mut system, caller) = start(Claims::On).await?;
        system.set_store_faults(&json!({"down": true})).await?;
        let old = fresh_call();
        let first = system.call(&caller, DAEMONS[0], &old).await?;
        assert_eq!(first.ending, Ending::Whole);
        system.kill_daemon(DAEMONS[2])?;
        system.restart_daemon(DAEMONS[2]).await?;
        wait_for_claims(&system, &caller, DAEMONS[2]).await?;
        // With one of the others frozen, a majority needs the holder that returned.
        wait_until("the restarted holder grants", PATIENCE, async || {
            is_granted_without(&system, &caller, DAEMONS[0])
                .await
                .is_ok_and(|granted| granted)
        })
        .await?;
        system.kill_daemon(DAEMONS[0])?;
        for daemon in [DAEMONS[1], DAEMONS[2]] {
            let repeated = system.call(&caller, daemon, &old.again()).await?;
            assert!(is_not_taken_for_not_run(&repeated), "{repeated:?}");
        }
        system.set_store_faults(&json!({"down": false})).await?;
        expect_kept(system.finish().await?)
    })
}
