//! The `driftspring` daemon; see [`driftspring::program`].

use std::process::ExitCode;

fn main() -> anyhow::Result<ExitCode> {
    driftspring::program::main()
}
