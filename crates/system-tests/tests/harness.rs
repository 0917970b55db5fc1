//! The harness itself: a caller that talks to a bare stand-in engine sees and records its faults.

mod common;

use driftspring_check::{CheckSettings, Promise};
use driftspring_history::Ending;
use driftspring_system_tests::{Call, EngineOptions, Host, NestedPrompt, System, run};
use serde_json::json;

const ENGINE: &str = "engine-1";

fn prompt() -> String {
    NestedPrompt {
        clause: 1,
        scheme: 1,
        sheet: 1,
    }
    .text()
}

/// Sends one request straight to an engine with the given fault switches, and returns its ending
/// and the first promise that the checker found broken.
async fn call_engine(
    host: Host,
    call: Call,
    switches: serde_json::Value,
) -> anyhow::Result<(Ending, Option<Promise>)> {
    let mut system = System::new(host).await?;
    system.start_engine(EngineOptions::new(ENGINE)).await?;
    system.set_engine_faults(ENGINE, &switches).await?;
    let caller = system.caller("caller").await?;
    let address = system.engine(ENGINE)?.address();
    let result = caller.call(&"no-daemon".into(), address, &call).await;
    let finished = system.finish().await?;
    let violations = finished.violations(&CheckSettings::default());
    Ok((result.ending, violations.first().map(|found| found.promise)))
}

#[test]
fn a_whole_answer_passes_the_checker_from_threads_and_processes() -> anyhow::Result<()> {
    run(async {
        for host in [Host::Threads, common::processes()] {
            let call = Call::new("moreton", prompt());
            let outcome = call_engine(host.clone(), call.clone(), json!({})).await?;
            assert_eq!(outcome, (Ending::Whole, None));
            let outcome = call_engine(host, call.unstreamed(), json!({})).await?;
            assert_eq!(outcome, (Ending::Whole, None));
        }
        Ok(())
    })
}

#[test]
fn faults_of_an_engine_without_a_router_are_seen_by_the_checker() -> anyhow::Result<()> {
    run(async {
        let call = || Call::new("moreton", prompt());
        let cut = call_engine(Host::Threads, call(), json!({"cut_after_tokens": 3})).await?;
        assert_eq!(cut, (Ending::Silent, Some(Promise::Streams)));
        let twice = call_engine(Host::Threads, call(), json!({"duplicate_tokens": 1})).await?;
        assert_eq!(twice, (Ending::Whole, Some(Promise::Streams)));
        Ok(())
    })
}
