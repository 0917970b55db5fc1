//! The harness itself: a caller that talks to a bare stand-in engine sees and records its faults.

mod common;

use driftspring_check::{CheckSettings, Promise};
use driftspring_history::Ending;
use driftspring_system_tests::{
    Call, ChildProcess, EngineOptions, Host, NestedPrompt, System, TemporaryDirectory, run,
};
use serde_json::{Value, json};

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

/// A process that says where it listens only once another task of this thread has run.
#[test]
fn a_process_that_starts_slowly_holds_up_no_caller() -> anyhow::Result<()> {
    run(async {
        let directory = TemporaryDirectory::create()?;
        let signal = directory.path().join("signal");
        let script = format!(
            "until [ -e {} ]; do sleep 0.01; done; echo {{}}",
            signal.display()
        );
        let arguments = ["-c".to_owned(), script];
        let caller = ntex::rt::spawn(async move { std::fs::write(signal, "") });
        let (_process, announced) = ChildProcess::start::<Value>("sh".as_ref(), &arguments).await?;
        assert_eq!(announced, json!({}));
        caller.await??;
        Ok(())
    })
}
