//! The daemon's program, built beside the system tests so that they can start it as a process.

use std::process::ExitCode;

fn main() -> anyhow::Result<ExitCode> {
    driftspring::program::main()
}
