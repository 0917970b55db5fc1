//! The client of the machine list; the only module that knows its protocol in `docs/PROTOCOLS.md`.

mod client;
mod messages;

pub use client::MachineListClient;
pub use messages::{Machine, MachineKind, MachineState};
