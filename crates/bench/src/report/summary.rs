//! What a load run showed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::latency::{LatencyHistogram, LatencySummary};
use crate::caller::{CallEnding, CallRecord};

/// One engine's part of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EngineShare {
    /// Requests whose answer it began.
    pub requests: u64,
    /// Prompt tokens of those.
    pub prompt_tokens: u64,
    /// Prompt tokens that it had cached.
    pub cached_tokens: u64,
}

/// A load run in figures.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Requests sent.
    pub requests: u64,
    /// Requests whose whole answer came.
    pub whole: u64,
    /// Requests refused, by status and reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests that ended in another way, by what was seen.
    pub broken: BTreeMap<String, u64>,
    /// From the intended sending to the first token.
    pub time_to_first_token: LatencySummary,
    /// Between two tokens.
    pub between_tokens: LatencySummary,
    /// Cached prompt tokens over all prompt tokens of answered requests.
    pub prefix_hit_rate: f64,
    /// Prompt tokens of answered requests that the engine had to compute.
    pub computed_prompt_tokens: u64,
    /// Per engine, its part.
    pub engines: BTreeMap<String, EngineShare>,
}

impl LoadSummary {
    /// The figures of `records`.
    ///
    /// # Errors
    /// A histogram can't be made.
    pub fn of(records: &[CallRecord]) -> anyhow::Result<Self> {
        let first_tokens = records.iter().filter_map(|record| record.first_token);
        let gaps = records.iter().flat_map(|record| record.token_gaps.iter());
        let gaps = gaps.copied();
        let engines = engine_shares(records);
        let prompt_tokens: u64 = engines.values().map(|share| share.prompt_tokens).sum();
        let cached_tokens: u64 = engines.values().map(|share| share.cached_tokens).sum();
        Ok(Self {
            requests: records.len() as u64,
            whole: records.iter().filter(|record| record.is_whole()).count() as u64,
            refused: refusals(records),
            broken: breaks(records),
            time_to_first_token: LatencyHistogram::of(first_tokens)?.summary(),
            between_tokens: LatencyHistogram::of(gaps)?.summary(),
            prefix_hit_rate: cached_tokens as f64 / prompt_tokens.max(1) as f64,
            computed_prompt_tokens: prompt_tokens - cached_tokens.min(prompt_tokens),
            engines,
        })
    }
}

fn engine_shares(records: &[CallRecord]) -> BTreeMap<String, EngineShare> {
    let mut shares = BTreeMap::<String, EngineShare>::new();
    for record in records {
        let Some(cached_tokens) = record.cached_tokens else {
            continue;
        };
        let engine = record.engine.clone().unwrap_or_else(|| "direct".to_owned());
        let share = shares.entry(engine).or_default();
        share.requests += 1;
        share.prompt_tokens += u64::from(record.prompt_tokens);
        share.cached_tokens += u64::from(cached_tokens);
    }
    shares
}

fn refusals(records: &[CallRecord]) -> BTreeMap<String, u64> {
    let reasons = records.iter().filter_map(|record| match &record.ending {
        CallEnding::Refused {
            status,
            not_run,
            code,
        } => {
            let code = code.as_deref().unwrap_or("no reason");
            let run = if *not_run { "not run" } else { "may have run" };
            Some(format!("{status} {code} ({run})"))
        }
        _ => None,
    });
    counts(reasons)
}

fn breaks(records: &[CallRecord]) -> BTreeMap<String, u64> {
    let reasons = records.iter().filter_map(|record| match &record.ending {
        CallEnding::Broken(reason) => Some(reason.clone()),
        _ => None,
    });
    counts(reasons)
}

fn counts(reasons: impl Iterator<Item = String>) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for reason in reasons {
        *counts.entry(reason).or_insert(0) += 1;
    }
    counts
}

/// The times to first token of the requests of one second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SecondSummary {
    /// The second, counted from the first request.
    pub at_seconds: f64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
}

/// The times to first token, second by second of the intended sending.
///
/// # Errors
/// A histogram can't be made.
pub fn first_token_over_time(records: &[CallRecord]) -> anyhow::Result<Vec<SecondSummary>> {
    let Some(began_at) = records.first().map(|record| record.intended_at) else {
        return Ok(Vec::new());
    };
    let mut seconds = BTreeMap::<u64, Vec<Duration>>::new();
    for record in records {
        if let Some(first_token) = record.first_token {
            let second = (record.intended_at - began_at).as_secs();
            seconds.entry(second).or_default().push(first_token);
        }
    }
    seconds
        .into_iter()
        .map(|(second, durations)| {
            let histogram = LatencyHistogram::of(durations.into_iter())?;
            Ok(SecondSummary {
                at_seconds: second as f64,
                p50_ms: histogram.percentile_ms(50.0),
                p95_ms: histogram.percentile_ms(95.0),
            })
        })
        .collect()
}
