//! The `driftspring-gateway` program: the gateway on the operator's platform. A library, so that the fault
//! soak can run the same program as separate processes.

mod command_line;
mod quarantine;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use command_line::{DriftspringGateway, DriftspringGatewayCmd};
use driftspring_gateway::Gateway;
use driftspring_platform::OperatorPlatform;
use driftspring_settings::load_gateway;
use driftspring_telemetry::logging::{self, LogFormat};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The exit code for faulty settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Runs the program on the process's own flags.
///
/// # Errors
///
/// The gateway can't be started, or did not end as planned.
pub fn main() -> anyhow::Result<ExitCode> {
    match DriftspringGateway::from_env_or_exit().subcommand {
        DriftspringGatewayCmd::Run(flags) => run(&flags.file),
        DriftspringGatewayCmd::CheckConfig(flags) => Ok(check_config(&flags.file)),
        DriftspringGatewayCmd::Quarantine(flags) => {
            quarantine::run(&flags.file, flags.release.as_deref())
        }
    }
}

/// Serves until SIGTERM or SIGINT, then makes a planned stop.
fn run(file: &Path) -> anyhow::Result<ExitCode> {
    // Before all else: a reload that is ordered while the process starts would end it.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context("waiting for signals")?;
    let settings = match load_gateway(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(INVALID_SETTINGS_EXIT_CODE));
        }
    };
    let format = LogFormat::from_setting(settings.log.json);
    let logs = logging::start_on_stdout(&settings.log.level, format)?;
    let running = Gateway::start(settings, Arc::new(OperatorPlatform))?;
    for signal in signals.forever() {
        if signal == SIGHUP {
            running.reload(file);
            continue;
        }
        break;
    }
    running.drain();
    logs.flush();
    // Not by a return: the HTTP library takes 0.3 s to end its servers, in which it keeps the connections and answers nothing. A
    // caller whose request comes now is told at once that nobody has read it.
    std::process::exit(0)
}

/// Checks a settings file; lists every fault on standard error.
fn check_config(file: &Path) -> ExitCode {
    match load_gateway(file) {
        Ok(settings) => {
            println!(
                "valid: gateway {} in {}, callers on {}",
                settings.name, settings.zone, settings.listen.callers
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}
