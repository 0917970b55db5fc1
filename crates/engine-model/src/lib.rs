//! A model of an inference engine: continuous batching, a prefix cache with eviction, and timing.
//!
//! Nothing here performs input or output or reads a clock. The caller passes the time to each call
//! and asks [`EngineModel::next_event_at`] when to call [`EngineModel::advance`] next. The stand-in
//! engine drives it in real time, the routing experiments in virtual time.

mod answer;
mod cache;
mod model;
mod options;
mod queue;
mod request;
mod sequence;
mod step;
mod time;

pub use answer::{answer_text, token_text};
pub use cache::{Insertion, PrefixCache};
pub use model::EngineModel;
pub use options::EngineOptions;
pub use request::{
    CacheChange, EndReason, EngineOutput, EngineRequest, EngineTotals, OutputKind, QueueFull,
    SequenceId,
};
pub use time::ModelTime;
