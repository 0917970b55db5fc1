//! The driftspring router daemon.
//!
//! - [`pipeline`]: the path of a request, one file per filter, the list in one place.
//! - [`sync`]: what a daemon hears: gossip, configuration, engines, cache events.
//! - [`claims`]: at-most-once claims between daemons.
//! - [`control`]: what the holders of leases do: rollout, drain, warming, claim group.
//! - [`operator`]: the operators' statements, metrics and health checks.
//! - [`state`]: what the parts share.
//! - [`program`]: the command line.
//! - [`runtime`]: sockets, threads, start and stop.

pub mod claims;
mod command_line;
pub mod control;
pub mod operator;
pub mod pipeline;
pub mod program;
pub mod runtime;
pub mod state;
pub mod sync;

pub use runtime::{Daemon, RunningDaemon};
