//! A trace's requests as the simulation needs them.

use driftspring_directory::Overlap;
use driftspring_engine_model::ModelTime;
use driftspring_prefix::{CacheScope, Fingerprint};
use driftspring_types::WeightsVersion;

use crate::workload::{Trace, Workload};

/// One request of the trace with what is the same under every policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SimulatedRequest {
    /// When it is sent.
    pub at: ModelTime,
    /// The zone whose daemons it reaches.
    pub zone: usize,
    /// The service, by its position in the workload.
    pub service: usize,
    /// The prompt's hashes.
    pub fingerprint: Fingerprint,
    /// Tokens of its answer.
    pub answer_tokens: u32,
    /// Prompt tokens that no earlier request of the trace had.
    pub new_tokens: u32,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestState {
    /// How often it was sent to an engine.
    pub attempts: u8,
    /// The engine it was sent to last.
    pub engine: usize,
    /// What that engine was expected to have cached.
    pub expected: Overlap,
    /// Prompt tokens booked as pending there.
    pub missing_tokens: u32,
    /// What it had cached.
    pub cached_tokens: u32,
    /// Whether the first token has come.
    pub has_first_token: bool,
}

/// Hashes the prompts of `trace`.
pub fn prepare(workload: &Workload, trace: &Trace) -> Vec<SimulatedRequest> {
    let mut seen = std::collections::HashSet::new();
    let requests = trace.requests.iter();
    requests
        .map(|request| {
            let scope = CacheScope {
                tenant: request.tenant.clone(),
                model: request.model.clone(),
                weights_version: WeightsVersion(1),
            };
            let text = request.prompt.text();
            let fingerprint = Fingerprint::of_prompt(&scope.salt(), text.as_bytes());
            let known_blocks = fingerprint
                .blocks
                .iter()
                .filter(|block| !seen.insert(**block))
                .count();
            let known_tokens = Fingerprint::tokens_of_blocks(known_blocks);
            let model = request.model.as_str();
            let services = &workload.services;
            let service = services.iter().position(|service| service.model == model);
            SimulatedRequest {
                at: ModelTime(request.at.as_micros() as u64),
                zone: request.zone,
                service: service.unwrap_or(0),
                new_tokens: fingerprint.prompt_tokens - known_tokens,
                fingerprint,
                answer_tokens: request.answer_tokens,
            }
        })
        .collect()
}
