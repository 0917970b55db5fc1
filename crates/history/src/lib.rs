//! Recorded histories of concurrent runs: what callers and operators asked and were told, what
//! engines ran, what daemons held in force, and which faults were brought about.
//!
//! A history is a list of [`TimedEvent`]s, kept as JSON lines. Callers record with a [`Recorder`];
//! `driftspring-check` reads the same files with [`read_history`]. All times are microseconds since
//! the Unix epoch, so that recordings of several processes on one machine can be merged.

pub mod client;
pub mod configuration;
pub mod engine;
pub mod event;
pub mod expectation;
pub mod fault;
pub mod position;
mod reader;
mod recorder;

pub use client::{Answer, Ending, Invocation, Token};
pub use configuration::{
    ConfigOperation, ConfigProposal, ConfigResult, ConfigSettlement, ConfigWriter, ObservedObject,
    OperationId, StoreReturn,
};
pub use engine::{Dispatch, OrderLogEntry, RunEnd, RunLogEntry};
pub use event::{Event, TimedEvent, now_us};
pub use expectation::{expected_token, expected_tokens, prefix_blocks, prompt_hash};
pub use fault::{Fault, FaultTarget};
pub use position::{StoreEra, StorePosition};
pub use reader::{History, merge_histories, read_history, write_history};
pub use recorder::Recorder;
