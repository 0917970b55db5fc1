//! The operators' command line for driftspring.
//!
//! A statement is read here first, so that an error shows its column without any daemon, then sent
//! to the first daemon that can be reached. See `docs/OPERATIONS.md` for its use and exit codes.

pub mod client;
mod command_line;
mod exit;
pub mod explain;
mod late_stream;
mod output;
mod program;
mod session;
mod sources;

pub use exit::Exit;
pub use program::main;
