//! The right answer to a prompt, as `docs/PROTOCOLS.md` lays it down for the stand-in engine.
//!
//! Written from the protocol's text and on purpose not shared with the stand-in, so that the checker
//! and the engine do not fail in the same way.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hexadecimal digits of a token's text.
const TOKEN_DIGITS: usize = 6;

/// Bytes of prompt text in one block of a prefix.
const BLOCK_BYTES: usize = 256;

/// Token number `index` of the answer to `prompt`: a space and six hexadecimal digits.
pub fn expected_token(prompt: &[u8], index: u64) -> String {
    let digits = format!("{:016x}", xxh3_64_with_seed(prompt, index));
    format!(" {}", &digits[..TOKEN_DIGITS])
}

/// The first `count` tokens of the answer to `prompt`.
pub fn expected_tokens(prompt: &[u8], count: usize) -> Vec<String> {
    (0..count as u64)
        .map(|index| expected_token(prompt, index))
        .collect()
}

/// A hash by which two prompts can be told apart.
pub fn prompt_hash(prompt: &[u8]) -> u64 {
    xxh3_64(prompt)
}

/// One hash per whole block of `prompt`, each covering everything up to the block's end and no
/// scope: equal texts of two tenants have equal blocks.
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut parent = 0;
    let mut blocks = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        parent = xxh3_64_with_seed(block, parent);
        blocks.push(parent);
    }
    blocks
}
