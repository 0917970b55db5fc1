//! What is measured in a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest time to first token that is told apart.
const LONGEST_MICROSECONDS: u64 = 120_000_000;

/// Counts and times of the requests of a run after its warm-up.
#[derive(Debug)]
pub struct Measures {
    /// Time from the intended sending to the first token at the daemon, in microseconds.
    first_token: Histogram<u64>,
    /// Requests counted.
    pub requests: u64,
    /// Requests given up on.
    pub shed: u64,
    /// Prompt tokens of requests that began to run, over all attempts.
    pub prompt_tokens: u64,
    /// Of these, found in an engine's cache.
    pub cached_tokens: u64,
    /// Of these, seen by no engine before: they had to be computed.
    pub new_tokens: u64,
    /// Of these, held by the ideal pool.
    pub ideal_tokens: u64,
    /// Computed although the ideal pool held them.
    pub wasted_tokens: u64,
}

/// The results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// Prompt tokens found cached, per prompt token.
    pub hit_rate: f64,
    /// The hit rate of the ideal pool on the same requests.
    pub hit_rate_bound: f64,
    /// Median time to first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 95th percentile.
    pub first_token_p95_ms: f64,
    /// 99th percentile.
    pub first_token_p99_ms: f64,
    /// Tokens computed again, per token that had to be computed.
    pub recomputed_per_needed: f64,
    /// Tokens computed although the ideal pool held them, per prompt token.
    pub wasted: f64,
    /// Requests given up on.
    pub shed: u64,
    /// Requests counted.
    pub requests: u64,
    /// Time that engines spent on computing prompts, as a share of all their time.
    pub prefill_utilisation: f64,
    /// The same for the engine that computed most.
    pub busiest_utilisation: f64,
}

impl RunResult {
    /// The means over several runs; requests are summed. Nothing where there are none.
    pub fn mean_of(runs: &[Self]) -> Option<Self> {
        let mean = |value: fn(&Self) -> f64| {
            runs.iter().map(value).sum::<f64>() / runs.len().max(1) as f64
        };
        (!runs.is_empty()).then(|| Self {
            hit_rate: mean(|run| run.hit_rate),
            hit_rate_bound: mean(|run| run.hit_rate_bound),
            first_token_p50_ms: mean(|run| run.first_token_p50_ms),
            first_token_p95_ms: mean(|run| run.first_token_p95_ms),
            first_token_p99_ms: mean(|run| run.first_token_p99_ms),
            recomputed_per_needed: mean(|run| run.recomputed_per_needed),
            wasted: mean(|run| run.wasted),
            shed: runs.iter().map(|run| run.shed).sum(),
            requests: runs.iter().map(|run| run.requests).sum(),
            prefill_utilisation: mean(|run| run.prefill_utilisation),
            busiest_utilisation: mean(|run| run.busiest_utilisation),
        })
    }
}

impl Default for Measures {
    fn default() -> Self {
        const SIGNIFICANT_DIGITS: u8 = 3;
        let first_token = Histogram::new_with_max(LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS);
        Self {
            first_token: first_token.expect("the bounds are constant and valid"),
            requests: 0,
            shed: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            new_tokens: 0,
            ideal_tokens: 0,
            wasted_tokens: 0,
        }
    }
}

impl Measures {
    /// Counts a first token.
    pub fn record_first_token(&mut self, elapsed: Duration) {
        self.first_token
            .saturating_record(elapsed.as_micros() as u64);
    }

    /// The results, given the shares of time spent on computing prompts, on average and at most.
    pub fn result(&self, prefill_utilisation: f64, busiest_utilisation: f64) -> RunResult {
        let milliseconds = |quantile| self.first_token.value_at_quantile(quantile) as f64 / 1000.0;
        let computed = self.prompt_tokens - self.cached_tokens;
        let recomputed = computed.saturating_sub(self.new_tokens);
        RunResult {
            hit_rate: ratio(self.cached_tokens, self.prompt_tokens),
            hit_rate_bound: ratio(self.ideal_tokens, self.prompt_tokens),
            first_token_p50_ms: milliseconds(0.5),
            first_token_p95_ms: milliseconds(0.95),
            first_token_p99_ms: milliseconds(0.99),
            recomputed_per_needed: ratio(recomputed, self.new_tokens),
            wasted: ratio(self.wasted_tokens, self.prompt_tokens),
            shed: self.shed,
            requests: self.requests,
            prefill_utilisation,
            busiest_utilisation,
        }
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
