//! Chained block hashes of a prompt, computed the same way by routers and engines.
//!
//! A prompt is cut into blocks of [`BLOCK_BYTES`]; each block's hash covers its own bytes and the
//! hash of the block before it, so one hash names the whole prefix up to its end. The chain starts
//! from a [`CacheScope`], so that equal text of two tenants, models or weights versions never gives
//! equal hashes. An unfilled last block is not hashed: engines cache whole blocks only.

use driftspring_types::{ModelName, TenantId, WeightsVersion};
use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u32;

/// The hash of one block and of everything before it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct BlockHash(pub u64);

/// Whose cached work may be shared: one tenant, one model, one version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheScope {
    /// The tenant whose text it is.
    pub tenant: TenantId,
    /// The model that computes it.
    pub model: ModelName,
    /// The version of the weights that computes it.
    pub weights_version: WeightsVersion,
}

impl CacheScope {
    /// The salt that starts the chain of hashes; sent to engines as `x-cache-salt`.
    pub fn salt(&self) -> String {
        format!("{}/{}/{}", self.tenant, self.model, self.weights_version)
    }
}

/// The hashes of a prompt's whole blocks, from the first to the last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// One hash per whole block.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the whole prompt, a partial last block included.
    pub prompt_tokens: u32,
}

impl Fingerprint {
    /// The fingerprint of `prompt` under `salt`.
    pub fn of_prompt(salt: &str, prompt: &[u8]) -> Self {
        let mut parent = xxh3_64_with_seed(salt.as_bytes(), 0);
        let mut blocks = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            parent = xxh3_64_with_seed(block, parent);
            blocks.push(BlockHash(parent));
        }
        Self {
            blocks,
            prompt_tokens: tokens_of(prompt.len()),
        }
    }

    /// The length, in tokens, of the first `count` blocks.
    pub fn tokens_of_blocks(count: usize) -> u32 {
        count as u32 * BLOCK_TOKENS
    }
}

/// The number of tokens of a text of `bytes` bytes.
pub fn tokens_of(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u32
}
