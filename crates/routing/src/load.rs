//! An engine's load, estimated from old reports and this daemon's own requests.

use std::time::Duration;

use driftspring_types::EngineLoad;

/// The newest load that an engine reported, in its status or in the headers of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The load.
    pub load: EngineLoad,
    /// How long ago it reached this daemon.
    pub age: Duration,
    /// Prompt tokens that this daemon dispatched to the engine after the report reached it.
    pub dispatched_since_tokens: u32,
    /// Requests that this daemon dispatched to the engine after the report reached it.
    pub dispatched_since_requests: u32,
    /// Prompt tokens that this daemon dispatched and that have no first token yet.
    pub own_pending_tokens: u32,
    /// Requests that this daemon has open at the engine.
    pub own_open_requests: u32,
}

/// An engine's load at the time of the choice.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadEstimate {
    /// Prompt tokens that the engine will probably compute before those of a new request.
    pub pending_prefill_tokens: f64,
    /// Requests open at the engine.
    pub open_requests: f64,
}

/// How reports age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadModel {
    /// After this time a reported backlog counts half. Short, because a backlog is worked off within
    /// tens of milliseconds, and all daemons that believe an old report avoid or seek the same engine.
    pub half_life: Duration,
}

impl Default for LoadModel {
    fn default() -> Self {
        Self {
            half_life: Duration::from_millis(100),
        }
    }
}

impl LoadModel {
    /// Estimates the load: the reported backlog, aged, and what this daemon added since; but never
    /// less than what this daemon itself waits for.
    pub fn estimate(&self, report: &LoadReport) -> LoadEstimate {
        let half_lives = report.age.as_secs_f64() / self.half_life.as_secs_f64();
        let weight = (-half_lives).exp2();
        let tokens = f64::from(report.load.pending_prefill_tokens) * weight
            + f64::from(report.dispatched_since_tokens);
        let requests = f64::from(report.load.running + report.load.queued) * weight
            + f64::from(report.dispatched_since_requests);
        LoadEstimate {
            pending_prefill_tokens: tokens.max(f64::from(report.own_pending_tokens)),
            open_requests: requests.max(f64::from(report.own_open_requests)),
        }
    }
}
