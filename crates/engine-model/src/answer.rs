//! The text that the modelled engine answers with, so that any answer can be checked.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hexadecimal digits in one token.
const TOKEN_DIGITS: usize = 6;

/// The token at position `sequence` of the answer to `prompt`: a space and the first six digits of the
/// lower-case hexadecimal form of `xxh3_64(prompt, seed = sequence)`.
pub fn token_text(prompt: &[u8], sequence: u64) -> String {
    let digits = format!("{:016x}", xxh3_64_with_seed(prompt, sequence));
    format!(" {}", &digits[..TOKEN_DIGITS])
}

/// The first `tokens` tokens of the answer to `prompt`, joined.
pub fn answer_text(prompt: &[u8], tokens: u64) -> String {
    (0..tokens)
        .map(|sequence| token_text(prompt, sequence))
        .collect()
}
