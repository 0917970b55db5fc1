//! A running request.

use driftspring_prefix::{BLOCK_TOKENS, BlockHash};

use crate::request::{EngineRequest, SequenceId};

/// A request in the running batch.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) request: EngineRequest,
    /// Blocks of the prompt, from its start, that this request pins in the cache.
    pub(crate) pinned_blocks: usize,
    /// Whether the cache had no room for one of its blocks; later ones can't be cached then.
    pub(crate) caching_stopped: bool,
    /// Prompt tokens computed or found in the cache.
    pub(crate) computed_tokens: u32,
    /// Tokens produced.
    pub(crate) produced_tokens: u32,
}

impl Sequence {
    /// A request that starts with `cached_blocks` blocks found in the cache and pinned.
    pub(crate) fn new(request: EngineRequest, cached_blocks: usize) -> Self {
        let cached_tokens = cached_blocks as u32 * BLOCK_TOKENS;
        Self {
            caching_stopped: !request.use_cache,
            pinned_blocks: cached_blocks,
            computed_tokens: cached_tokens.min(request.prompt_tokens),
            produced_tokens: 0,
            request,
        }
    }

    pub(crate) fn id(&self) -> SequenceId {
        self.request.id
    }

    /// Prompt tokens still to be computed. A fully cached prompt still takes one for its first token.
    pub(crate) fn missing_tokens(&self) -> u32 {
        if self.produced_tokens > 0 {
            return 0;
        }
        (self.request.prompt_tokens - self.computed_tokens).max(1)
    }

    /// Whether its prompt is computed and it produces a token in each step.
    pub(crate) fn is_decoding(&self) -> bool {
        self.produced_tokens > 0
    }

    /// Whether all its tokens are produced.
    pub(crate) fn is_finished(&self) -> bool {
        self.produced_tokens >= self.request.max_tokens.max(1)
    }

    /// The whole blocks that are computed but not pinned yet.
    pub(crate) fn unpinned_computed_blocks(&self) -> Vec<BlockHash> {
        let whole_blocks = (self.computed_tokens / BLOCK_TOKENS) as usize;
        let end = whole_blocks.min(self.request.blocks.len());
        let start = self.pinned_blocks.min(end);
        self.request.blocks[start..end].to_vec()
    }

    /// The last pinned block.
    pub(crate) fn last_pinned_block(&self) -> Option<BlockHash> {
        let last = self.pinned_blocks.checked_sub(1)?;
        self.request.blocks.get(last).copied()
    }

    /// The pinned blocks.
    pub(crate) fn pinned(&self) -> &[BlockHash] {
        &self.request.blocks[..self.pinned_blocks]
    }
}
