//! The messages about prompts that were dispatched to replicas.

use musli::{Decode, Encode};

use super::message::incarnation;
use crate::protocol::ReplicaIncarnation;

/// A prompt that was dispatched to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WirePrompt {
    /// The replica's id.
    pub replica: String,
    /// The birth time that identifies its incarnation, see [`ReplicaIncarnation::born`].
    #[musli(default)]
    pub born: Option<u64>,
    /// The estimated number of tokens that the replica has to prefill.
    pub tokens: u64,
    /// The keys of the prompt's shared prefixes, see [`crate::cache::PrefixKey`].
    pub prefixes: Vec<u64>,
    /// A short digest of the sending gateway's name, by which that gateway recognizes its own reports.
    #[musli(default)]
    pub sender: u32,
    /// The expected number of output tokens of a stream; 0 if unknown.
    #[musli(default)]
    pub output_tokens: u32,
    /// The longest pause between its events that the callers of a stream accept, in milliseconds; 0 for none.
    #[musli(default)]
    pub pause_target_ms: u32,
    /// The number of tokens of the whole prompt; 0 if unknown.
    #[musli(default)]
    pub whole_tokens: u32,
}

/// Prompts that gateways of one group dispatched, for another group.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct OtherGroupPrompts {
    /// The prompts.
    pub prompts: Vec<WirePrompt>,
    /// The zone of that group.
    #[musli(default)]
    pub zone: String,
}

impl WirePrompt {
    /// Whether the answer is a stream whose callers accept pauses of a limited length only.
    pub fn is_stream_with_pause_target(&self) -> bool {
        self.pause_target_ms > 0
    }

    /// The incarnation that received the prompt.
    pub fn incarnation(&self) -> ReplicaIncarnation {
        incarnation(&self.replica, self.born)
    }
}
