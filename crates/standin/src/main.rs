//! The `driftspring-standin` program; see [`driftspring_standin::command_line`].

use std::process::ExitCode;

fn main() -> ExitCode {
    driftspring_standin::command_line::main()
}
