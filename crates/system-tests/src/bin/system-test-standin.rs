//! The stand-ins' program, built beside the system tests so that they can start it as a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    driftspring_standin::command_line::main()
}
