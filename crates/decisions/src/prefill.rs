//! How long a replica takes to prefill a prompt.

use std::time::Duration;

/// Estimated time in which a replica prefills this many tokens of a prompt: that of the slowest engine on the
/// operator's sheets.
pub fn estimated_prefill_time(tokens: u64) -> Duration {
    const TOKENS_PER_MS: u64 = 36;
    Duration::from_millis(tokens / TOKENS_PER_MS)
}
