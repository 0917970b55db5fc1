//! Command line of the history checker: reads recordings, prints what each promise's check found.

mod flags;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::ensure;
use driftspring_check::{CheckSettings, Promise, Violation, check};
use driftspring_history::{History, merge_histories, read_history};

/// Events printed before and after a violation with `--context`.
const CONTEXT_EVENTS: usize = 5;

fn main() -> anyhow::Result<ExitCode> {
    let flags = flags::DriftspringCheck::from_env_or_exit();
    ensure!(!flags.file.is_empty(), "no recording named; see --help");
    let histories = flags
        .file
        .iter()
        .map(|path| read_history(path))
        .collect::<anyhow::Result<Vec<_>>>()?;
    let history = merge_histories(histories);
    let settings = settings(&flags);
    println!("{} events", history.events.len());
    let mut broken = 0;
    for promise in Promise::ALL {
        match check(promise, &history, &settings) {
            Ok(()) => println!("ok      {promise}"),
            Err(violation) => {
                broken += 1;
                report(&violation, &history, flags.context)?;
            }
        }
    }
    Ok(if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn settings(flags: &flags::DriftspringCheck) -> CheckSettings {
    let defaults = CheckSettings::default();
    let seconds = |given: Option<u64>, default| given.map_or(default, Duration::from_secs);
    CheckSettings {
        leaving_bound: seconds(flags.leaving_seconds, defaults.leaving_bound),
        configuration_bound: seconds(flags.configuration_seconds, defaults.configuration_bound),
        kept_cache: !flags.no_kept_cache,
        ..defaults
    }
}

fn report(violation: &Violation, history: &History, context: bool) -> anyhow::Result<()> {
    println!(
        "BROKEN  {} at event {}: {}",
        violation.promise, violation.event_index, violation.explanation
    );
    if !context {
        return Ok(());
    }
    let from = violation.event_index.saturating_sub(CONTEXT_EVENTS);
    let around = history.events.iter().enumerate().skip(from);
    for (index, event) in around.take(2 * CONTEXT_EVENTS + 1) {
        let mark = if index == violation.event_index {
            ">"
        } else {
            " "
        };
        println!("        {mark} {index}: {}", serde_json::to_string(event)?);
    }
    Ok(())
}
