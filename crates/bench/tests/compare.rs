//! The comparison's simulation and its bound.

use std::time::Duration;

use driftspring_bench::compare::bound::ideal_hits;
use driftspring_bench::compare::measure::RunResult;
use driftspring_bench::compare::policy::all_policies;
use driftspring_bench::compare::request::{SimulatedRequest, prepare};
use driftspring_bench::compare::scenario::Scenario;
use driftspring_bench::compare::setup::Setup;
use driftspring_bench::compare::simulation::Simulation;
use driftspring_bench::workload::{Trace, Workload};
use driftspring_engine_model::EngineOptions;

const LENGTH: Duration = Duration::from_secs(13);
const SEED: u64 = 5;

/// A workload of one service, small enough for a debug build.
fn workload() -> Workload {
    let mut workload = Workload::directorate();
    workload.services.truncate(1);
    workload.services[0].replicas = 6;
    workload.services[0].requests_per_second = 60.0;
    workload
}

fn requests(workload: &Workload) -> Vec<SimulatedRequest> {
    prepare(workload, &Trace::draw(workload, LENGTH, SEED))
}

fn run_all(scenario: Scenario) -> Vec<(&'static str, RunResult)> {
    let workload = scenario.applied_to(workload());
    let requests = requests(&workload);
    let engine_options = EngineOptions::default();
    let capacity = 6 * engine_options.cache_capacity_blocks;
    let ideal_tokens = ideal_hits(requests.iter(), capacity);
    let setup = Setup {
        workload: &workload,
        scenario,
        engine_options,
        requests: &requests,
        ideal_tokens: &ideal_tokens,
        length: LENGTH,
        seed: SEED,
    };
    all_policies()
        .into_iter()
        .map(|policy| (policy.name, Simulation::new(&setup, policy.policy).run()))
        .collect()
}

#[test]
fn no_policy_exceeds_the_bound_and_every_request_is_answered() {
    for scenario in [Scenario::Calm, Scenario::Crashes] {
        for (policy, result) in run_all(scenario) {
            assert!(result.requests > 0, "{policy}");
            assert!(
                result.hit_rate <= result.hit_rate_bound,
                "{policy} under {scenario:?}: {result:?}"
            );
            assert!(result.first_token_p50_ms > 0.0, "{policy}");
            assert_eq!(result.shed, 0, "{policy} under {scenario:?}");
        }
    }
}

#[test]
fn the_full_scheme_recomputes_less_than_the_baselines() {
    let results = run_all(Scenario::HotShift);
    let recomputed = |name: &str| {
        let found = results.iter().find(|(policy, _)| *policy == name);
        found.expect("the policy ran").1.recomputed_per_needed
    };
    for baseline in ["round robin", "least loaded", "bounded rendezvous"] {
        assert!(recomputed("full") < recomputed(baseline), "{baseline}");
    }
}

#[test]
fn a_boundless_ideal_pool_misses_only_what_is_new() {
    let requests = requests(&workload());
    let hits = ideal_hits(requests.iter(), usize::MAX);
    for (request, hit) in requests.iter().zip(hits) {
        assert_eq!(hit, request.fingerprint.prompt_tokens - request.new_tokens);
    }
}

#[test]
fn a_smaller_ideal_pool_never_has_more() {
    let requests = requests(&workload());
    let total = |capacity| -> u64 {
        let hits = ideal_hits(requests.iter(), capacity);
        hits.into_iter().map(u64::from).sum()
    };
    let totals = [0, 64, 512, 4096, 32_768].map(total);
    assert!(totals.is_sorted(), "{totals:?}");
    assert_eq!(totals[0], 0);
}
