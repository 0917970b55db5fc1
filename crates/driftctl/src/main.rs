//! The program `driftctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    driftctl::main()
}
