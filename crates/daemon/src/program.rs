//! The `driftspring` program, callable from other programs' thin wrappers.

use std::path::Path;
use std::process::ExitCode;

use crate::command_line::{Driftspring, DriftspringCmd, Run};
use crate::{Daemon, RunningDaemon};
use anyhow::Context;
use driftspring_settings::{Overrides, Settings, load};
use driftspring_telemetry::catalogue_page;
use driftspring_telemetry::logging::{self, LogFormat};
use driftspring_types::KeyHash;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The exit code for faulty settings.
const FAULTY_SETTINGS: u8 = 2;

/// Runs the program on the process's own flags.
///
/// # Errors
///
/// The daemon can't start, or failed.
pub fn main() -> anyhow::Result<ExitCode> {
    match Driftspring::from_env_or_exit().subcommand {
        DriftspringCmd::Run(flags) => run(&flags),
        DriftspringCmd::CheckConfig(flags) => Ok(check_config(&flags.file)),
        DriftspringCmd::HashKey(_) => hash_key(),
        DriftspringCmd::Events(_) => {
            print!("{}", catalogue_page());
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Serves until SIGTERM or SIGINT, then makes a planned stop; a second signal ends it at once.
fn run(flags: &Run) -> anyhow::Result<ExitCode> {
    let settings = match load(flags.config.as_deref(), &flags.overrides()?) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(FAULTY_SETTINGS));
        }
    };
    let format = LogFormat::from_setting(settings.log.json);
    let logs = logging::start(&settings.log.level, format)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("waiting for signals")?;
    let running = Daemon::start(settings)?;
    print_addresses(&running);
    if signals.forever().next().is_some() {
        let stopped = std::thread::spawn(move || running.stop());
        end_at_second_signal(signals);
        stopped
            .join()
            .map_err(|_| anyhow::anyhow!("the planned stop panicked"))??;
    }
    logs.flush();
    Ok(ExitCode::SUCCESS)
}

/// Prints the addresses that were bound as one line of JSON, for scripts that start daemons on free ports.
fn print_addresses(running: &RunningDaemon) {
    let addresses = running.addresses();
    println!(
        r#"{{"callers": "{}", "operators": "{}", "peers": "{}"}}"#,
        addresses.callers, addresses.operators, addresses.peers
    );
}

/// Ends the process at once when another signal comes during the planned stop.
fn end_at_second_signal(mut signals: Signals) {
    std::thread::spawn(move || {
        if let Some(signal) = signals.forever().next() {
            std::process::exit(128 + signal);
        }
    });
}

/// Prints the hash of the bearer key on standard input, so that it stands in no list of processes.
fn hash_key() -> anyhow::Result<ExitCode> {
    let key = std::io::read_to_string(std::io::stdin()).context("reading the bearer key")?;
    println!("{}", KeyHash::of_bearer_key(key.trim()).as_str());
    Ok(ExitCode::SUCCESS)
}

/// Checks a settings file; lists every fault on standard error.
fn check_config(file: &Path) -> ExitCode {
    match load(Some(file), &Overrides::none()) {
        Ok(settings) => {
            print_summary(&settings);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(FAULTY_SETTINGS)
        }
    }
}

fn print_summary(settings: &Settings) {
    println!(
        "valid: daemon {} in {}, {} workers, callers on {}",
        settings.id, settings.zone, settings.workers, settings.listen.callers
    );
}
