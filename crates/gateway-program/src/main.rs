//! The program `driftspring-gateway`.

use std::process::ExitCode;

fn main() -> anyhow::Result<ExitCode> {
    driftspring_gateway_program::main()
}
