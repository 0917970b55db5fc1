//! What an engine can hold and how fast it is.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits and speeds of a modelled engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineOptions {
    /// Requests in the running batch at the most.
    pub max_batch: usize,
    /// Requests waiting at the most; further ones are refused.
    pub max_queue: usize,
    /// Prompt tokens computed in one step at the most, over all requests.
    pub prefill_chunk_tokens: u32,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_microseconds_per_token: f64,
    /// Time of a step apart from its requests, in microseconds.
    pub step_base_microseconds: f64,
    /// Time that each request that decodes adds to a step, in microseconds.
    pub decode_microseconds_per_request: f64,
    /// Blocks that the prefix cache holds at the most.
    pub cache_capacity_blocks: usize,
    /// How long an unused block stays cached.
    pub cache_max_age: Duration,
}

impl EngineOptions {
    /// The duration of a step that decodes `decoding` requests and computes `prefill_tokens`.
    pub fn step_duration(&self, decoding: usize, prefill_tokens: u32) -> Duration {
        let decode = self.decode_microseconds_per_request * decoding as f64;
        let prefill = self.prefill_microseconds_per_token * f64::from(prefill_tokens);
        let microseconds = (self.step_base_microseconds + decode + prefill).max(1.0);
        Duration::from_micros(microseconds as u64)
    }
}

impl Default for EngineOptions {
    /// An engine that computes 20,000 prompt tokens per second and keeps 1 MiB of prompt text for 5 s.
    fn default() -> Self {
        Self {
            max_batch: 16,
            max_queue: 256,
            prefill_chunk_tokens: 512,
            prefill_microseconds_per_token: 50.0,
            step_base_microseconds: 2_000.0,
            decode_microseconds_per_request: 100.0,
            cache_capacity_blocks: 4_096,
            cache_max_age: Duration::from_secs(5),
        }
    }
}
