//! A daemon on loopback and a plain HTTP caller, for the tests of the request path.
#![allow(dead_code)] // Each test file uses its own part.

pub mod caller;
pub mod daemon;

pub use caller::{Answer, Caller};
pub use daemon::TestDaemon;
