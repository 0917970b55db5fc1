//! The typed inputs and outputs of the model.

use driftspring_prefix::BlockHash;

use crate::time::ModelTime;

/// The caller's number for one request; unique among the requests open at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);

/// A request as the model sees it. Its text is of no interest, only its length and block hashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// The caller's number for it.
    pub id: SequenceId,
    /// From 0 to 9; higher ones leave the queue first.
    pub priority: u8,
    /// The hashes of the prompt's whole blocks. The hash chain's salt scopes them.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens to produce; at least one is.
    pub max_tokens: u32,
    /// Whether it may start from cached work, and leave its own in the cache.
    pub use_cache: bool,
}

/// Why a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// All its tokens were produced.
    Length,
    /// It was cancelled.
    Cancelled,
    /// The engine lost its state.
    Reset,
}

/// A change of what is cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// These blocks are now cached; each after the block before it in its prompt.
    Stored(Vec<BlockHash>),
    /// These blocks are no longer cached.
    Removed(Vec<BlockHash>),
    /// Nothing is cached any more.
    Cleared,
}

/// What happened inside the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutputKind {
    /// A request left the queue and began to run.
    Started {
        /// The request.
        id: SequenceId,
        /// Prompt tokens that it need not compute.
        cached_tokens: u32,
    },
    /// A request's next token was produced.
    Token {
        /// The request.
        id: SequenceId,
        /// The token's position in this engine's output, from 0.
        index: u32,
    },
    /// A request is over; nothing more comes of it.
    Ended {
        /// The request.
        id: SequenceId,
        /// Why.
        reason: EndReason,
    },
    /// The prefix cache changed.
    Cache(CacheChange),
}

/// One output and its time. Outputs come in the order of their times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOutput {
    /// When it happened.
    pub at: ModelTime,
    /// What happened.
    pub kind: OutputKind,
}

/// Sums over the whole life of the model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineTotals {
    /// Requests that began to run.
    pub started: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens produced.
    pub decoded_tokens: u64,
}

/// The queue is full; nothing was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;
