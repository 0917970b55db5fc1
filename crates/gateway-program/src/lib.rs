//! The `driftspring-gateway` program: the gateway for the operator's platform. It is a library so that the fault soak test
//! can run the same program as separate processes.

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

/// The exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Runs the program with the command line of this process.
///
/// # Errors
///
/// The gateway can't start, or the quarantine records can't be read or deleted.
pub fn main() -> anyhow::Result<ExitCode> {
    match DriftspringGateway::from_env_or_exit().subcommand {
        DriftspringGatewayCmd::Run(flags) => run(&flags.file),
        DriftspringGatewayCmd::CheckConfig(flags) => Ok(check_config(&flags.file)),
        DriftspringGatewayCmd::Quarantine(flags) => {
            quarantine::run(&flags.file, flags.release.as_deref())
        }
    }
}

/// Serves until SIGTERM or SIGINT, then shuts down gracefully.
fn run(file: &Path) -> anyhow::Result<ExitCode> {
    // The handlers are registered first: a SIGHUP during start-up would otherwise terminate the process.
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).context("registering signal handlers")?;
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
    // Exits instead of returning: the HTTP library takes 0.3 s to shut down its servers, and meanwhile keeps connections open
    // without answering. After an exit, a caller that sends a request learns at once that nobody has read it.
    std::process::exit(0)
}

/// Checks a settings file and lists all errors in it on standard error.
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
