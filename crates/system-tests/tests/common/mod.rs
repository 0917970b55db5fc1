//! What the system tests share.
#![allow(dead_code)] // Each test binary uses its own part of these helpers.

use driftspring_system_tests::{Host, Programs};

/// Daemons and stand-ins as separate processes.
pub fn processes() -> Host {
    Host::Processes(Programs {
        daemon: env!("CARGO_BIN_EXE_system-test-daemon").into(),
        standin: env!("CARGO_BIN_EXE_system-test-standin").into(),
    })
}
