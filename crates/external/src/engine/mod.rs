//! The engine client: the only module that knows the engine protocol of `docs/PROTOCOLS.md`.
//!
//! - [`EngineClient`] makes the calls; there is one per worker thread, since connections belong to
//!   the thread that opened them.
//! - [`AnswerStream`] reads the events of one answer.
//! - [`EngineError`] says of each failure whether the request may have run.

mod answer;
mod cache_events;
mod client;
mod error;
mod generate;
pub mod headers;
mod messages;
mod sse;

pub use answer::{AnswerChunk, AnswerHead, AnswerItem, AnswerStream, Finish};
pub use cache_events::CacheEventStream;
pub use client::{EngineClient, EngineTimeouts};
pub use error::{EngineError, EngineRefusal, RefusalKind};
pub use generate::{Endpoint, GenerateCall};
pub use messages::{
    CacheEvent, EngineOrder, EngineStatus, KvPrefix, OrderAnswer, OrderRequest, Usage,
};
pub use sse::{SseParser, SseTooLong};
