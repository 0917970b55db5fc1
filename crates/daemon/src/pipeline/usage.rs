//! The token counts of an answer, as its caller is told.
//!
//! They are counted here: an engine that continued an answer counts the tokens of the engine before it
//! as prompt.

use ntex::util::Bytes;
use serde::Serialize;
use serde_json::Value;

/// The token counts of a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct AnswerUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    /// Prompt tokens that the engine which began the answer took from its cache.
    cached_tokens: u32,
}

impl AnswerUsage {
    /// The counts of an answer of `completion_tokens` tokens.
    pub fn new(prompt_tokens: u32, completion_tokens: u32, cached_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
            cached_tokens,
        }
    }

    /// The event `raw` with these counts in place of the engine's; as it is where it can't be read.
    pub fn written_into(self, raw: &Bytes) -> Bytes {
        self.rewritten(raw).unwrap_or_else(|| raw.clone())
    }

    fn rewritten(self, raw: &Bytes) -> Option<Bytes> {
        let data = raw.strip_prefix(b"data:")?;
        let mut event: Value = serde_json::from_slice(data).ok()?;
        *event.get_mut("usage")? = serde_json::to_value(self).ok()?;
        Some(Bytes::from(format!("data: {event}\n\n")))
    }
}
