//! A daemon on loopback and a plain HTTP caller, for the tests of the request path.
#![allow(dead_code)] // Each test file uses its own part.

pub mod caller;
pub mod daemon;
pub mod engines;
pub mod strict;

use std::time::{Duration, Instant};

/// The longest that anything awaited may take.
const DEADLINE: Duration = Duration::from_secs(20);

/// Waits until `condition` holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let give_up_at = Instant::now() + DEADLINE;
    while !condition() {
        assert!(Instant::now() < give_up_at, "not in time: {what}");
        std::thread::yield_now();
    }
}
