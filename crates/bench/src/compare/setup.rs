//! What a run consists of: trace, engines and daemons.

use std::time::Duration;

use driftspring_engine_model::EngineOptions;

use super::daemon::SimulatedDaemon;
use super::engine::SimulatedEngine;
use super::policy::Policy;
use super::request::SimulatedRequest;
use super::scenario::Scenario;
use crate::workload::Workload;

/// Daemons per zone.
pub const DAEMONS_PER_ZONE: usize = 2;

/// What the runs of one scenario have in common.
pub struct Setup<'a> {
    /// The workload.
    pub workload: &'a Workload,
    /// What goes wrong.
    pub scenario: Scenario,
    /// The engines' limits and speeds.
    pub engine_options: EngineOptions,
    /// The requests.
    pub requests: &'a [SimulatedRequest],
    /// What the ideal pool has of each.
    pub ideal_tokens: &'a [u32],
    /// The length of the trace.
    pub length: Duration,
    /// For lost events and crashes.
    pub seed: u64,
}

/// The engines of `workload`, each service's spread evenly over the zones.
pub fn engines_of(workload: &Workload, options: EngineOptions) -> Vec<SimulatedEngine> {
    let services = workload.services.iter().enumerate();
    let numbered = services
        .flat_map(|(service, shape)| (0..shape.replicas).map(move |number| (service, number)));
    numbered
        .map(|(service, number)| {
            SimulatedEngine::new(number, service, number % workload.zones, options)
        })
        .collect()
}

/// The daemons of `setup`, which choose by `policy`.
pub fn daemons_of(setup: &Setup, policy: Policy, engine_count: usize) -> Vec<SimulatedDaemon> {
    let workload = setup.workload;
    let prefill = setup.engine_options.prefill_microseconds_per_token;
    (0..workload.zones * DAEMONS_PER_ZONE)
        .map(|number| {
            let zone = number / DAEMONS_PER_ZONE;
            SimulatedDaemon::new(number, zone, workload, policy, engine_count, prefill)
        })
        .collect()
}
