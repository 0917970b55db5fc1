//! Shares in per cent, held by prompt: the same prompt always falls on the same side.

use driftspring_prefix::BLOCK_BYTES;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a share is of; each splits the prompts in its own way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// Of requests that go to the legacy upstream.
    Legacy,
    /// Of requests that go to the version shifted to.
    Version,
}

/// The place of `prompt` among the prompts of a route, from 0 to 99: a share of P per cent takes the
/// places below P.
///
/// Whole blocks count only, so that prompts which share all their cached work stay together. Fewer
/// blocks would keep together prompts that share a prefix, but a route whose prompts all
/// begin alike could then not be split at all.
pub fn share_of(share: Share, route: &str, prompt: &[u8]) -> u8 {
    let whole_blocks = prompt.len() - prompt.len() % BLOCK_BYTES;
    let counted = if whole_blocks == 0 {
        prompt
    } else {
        &prompt[..whole_blocks]
    };
    let seed = xxh3_64_with_seed(route.as_bytes(), share as u64);
    let places = xxh3_64_with_seed(counted, seed) % 100;
    places as u8
}
