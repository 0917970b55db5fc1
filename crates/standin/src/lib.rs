//! Small stand-ins for the systems around driftspring, with fault switches.
//!
//! Each one serves its part of `docs/PROTOCOLS.md` on loopback from a separate thread, so that tests
//! and experiments start whole systems within one process. They keep everything in memory.

mod faults;
mod flags;
mod gate;
mod server;
mod streaming;

pub mod command_line;
pub mod engine;
pub mod kv_store;
pub mod legacy;
pub mod machine_list;
pub mod object_store;
pub mod ports;
pub mod weight_store;

pub use faults::{FaultSwitches, FaultUpdate, Faults};
pub use server::Running;
