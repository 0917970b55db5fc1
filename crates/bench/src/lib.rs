//! Load, experiments and plots for driftspring.
//!
//! - [`workload`]: seeded traces of requests with deeply nested prefixes.
//! - [`demo`]: a small system in one process, with one engine killed midway.
//! - [`live`]: open-loop load on daemons over HTTP.
//! - [`overhead`]: what the router costs compared with calling the engine directly.
//! - [`compare`]: routing policies against each other in virtual time.
//! - [`decision`]: the time and memory of one routing decision.
//! - [`embedded`]: a whole system within this process.
//! - [`load`], [`caller`]: open-loop load and the callers that time and check each stream.
//! - [`worth`]: where the worth of the operator's days goes.
//! - [`report`]: tables, JSON and HTML with plots.

pub mod caller;
pub mod compare;
pub mod decision;
pub mod demo;
pub mod embedded;
pub mod flags;
pub mod live;
pub mod load;
pub mod overhead;
pub mod report;
pub mod workload;
pub mod worth;
