//! Routing policies against each other in virtual time.
//!
//! Every policy gets the same trace. Engines are those of `driftspring-engine-model`, the choice and
//! the picture of what is cached are those of the daemon; only time, network and reports are
//! simulated. Each daemon has its own, delayed knowledge.
//!
//! - [`policy`], [`scenario`]: what is compared, and under what.
//! - [`request`], [`bound`]: the trace, and the hit rate that no router can exceed on it.
//! - [`simulation`], [`setup`], [`agenda`], [`daemon`], [`engine`], [`kept`]: one run.
//! - [`measure`], [`table`]: results.

pub mod agenda;
pub mod bound;
pub mod daemon;
pub mod engine;
pub mod kept;
pub mod measure;
pub mod policy;
pub mod request;
pub mod scenario;
pub mod setup;
pub mod simulation;
pub mod table;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context;
use driftspring_engine_model::EngineOptions;
use serde::Serialize;

use self::measure::RunResult;
use self::policy::{NamedPolicy, all_policies};
use self::request::SimulatedRequest;
use self::scenario::Scenario;
use self::setup::Setup;
use self::simulation::Simulation;
use crate::flags::Compare;
use crate::workload::{Trace, Workload};

/// The length of each trace.
const LENGTH: Duration = Duration::from_secs(130);

/// Runs at the same time.
const THREADS: usize = 4;

/// The seed without a flag.
const DEFAULT_SEED: u64 = 1;

/// The number of traces without a flag.
const DEFAULT_TRACES: u64 = 3;

/// One policy's result, averaged over the traces.
#[derive(Debug, Clone, Serialize)]
pub struct ComparedRun {
    /// `directorate` or `moreton`.
    pub workload: &'static str,
    /// What went wrong.
    pub scenario: Scenario,
    /// What chose the engines.
    pub policy: NamedPolicy,
    /// The result.
    pub result: RunResult,
    /// Each trace's own 99th percentile of the time to first token, in milliseconds.
    pub first_token_p99_ms_by_trace: Vec<f64>,
}

/// The requests of one workload under one scenario, and their bound.
struct Prepared {
    workload: Workload,
    scenario: Scenario,
    seed: u64,
    requests: Vec<SimulatedRequest>,
    ideal_tokens: Vec<u32>,
}

/// Runs the experiment.
///
/// # Errors
/// Where the workload is unknown or the result can't be written.
pub fn run(options: &Compare) -> anyhow::Result<()> {
    let first_seed = options.seed.unwrap_or(DEFAULT_SEED);
    let traces = options.traces.unwrap_or(DEFAULT_TRACES).max(1);
    let workloads = chosen_workloads(options.workload.as_deref())?;
    let mut prepared = Vec::new();
    for workload in &workloads {
        for scenario in Scenario::ALL {
            let seeds = first_seed..first_seed + traces;
            prepared.extend(seeds.map(|seed| prepare(workload, scenario, seed)));
        }
    }
    let runs = average(run_all(&prepared));
    table::print(&runs);
    if let Some(path) = &options.html {
        table::write_html(&runs, path)?;
    }
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&runs)?;
        std::fs::write(path, json).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}

fn chosen_workloads(name: Option<&str>) -> anyhow::Result<Vec<Workload>> {
    let Some(name) = name else {
        return Ok(Workload::all().into());
    };
    let workload = Workload::by_name(name).with_context(|| format!("no workload {name:?}"))?;
    Ok(vec![workload])
}

/// Engines whose cache holds about two dozen prompts, so that an unused block is evicted within
/// seconds.
fn engine_options() -> EngineOptions {
    EngineOptions {
        max_queue: 64,
        cache_capacity_blocks: 1536,
        cache_max_age: Duration::from_secs(60),
        ..EngineOptions::default()
    }
}

fn prepare(workload: &Workload, scenario: Scenario, seed: u64) -> Prepared {
    let workload = scenario.applied_to(workload.clone());
    let trace = Trace::draw(&workload, LENGTH, seed);
    let requests = request::prepare(&workload, &trace);
    let ideal_tokens = ideal_tokens(&workload, &requests);
    Prepared {
        workload,
        scenario,
        seed,
        requests,
        ideal_tokens,
    }
}

/// The ideal pool's hits, service by service.
fn ideal_tokens(workload: &Workload, requests: &[SimulatedRequest]) -> Vec<u32> {
    let mut ideal = vec![0; requests.len()];
    for (service, shape) in workload.services.iter().enumerate() {
        let capacity = shape.replicas * engine_options().cache_capacity_blocks;
        let own = || {
            let numbered = requests.iter().enumerate();
            numbered.filter(move |(_, request)| request.service == service)
        };
        let hits = bound::ideal_hits(own().map(|(_, request)| request), capacity);
        for ((index, _), tokens) in own().zip(hits) {
            ideal[index] = tokens;
        }
    }
    ideal
}

fn run_all(prepared: &[Prepared]) -> Vec<ComparedRun> {
    let policies = all_policies();
    let count = prepared.len() * policies.len();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![None; count]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(number) = take(&next, count) {
                    let case = &prepared[number / policies.len()];
                    let policy = policies[number % policies.len()];
                    let run = run_one(case, policy);
                    eprintln!("{}/{count} done", number + 1);
                    results.lock().expect("no run panicked")[number] = Some(run);
                }
            });
        }
    });
    let results = results.into_inner().expect("no run panicked");
    results.into_iter().flatten().collect()
}

fn take(next: &AtomicUsize, count: usize) -> Option<usize> {
    let number = next.fetch_add(1, Ordering::Relaxed);
    (number < count).then_some(number)
}

fn run_one(case: &Prepared, policy: NamedPolicy) -> ComparedRun {
    let setup = Setup {
        workload: &case.workload,
        scenario: case.scenario,
        engine_options: engine_options(),
        requests: &case.requests,
        ideal_tokens: &case.ideal_tokens,
        length: LENGTH,
        seed: case.seed,
    };
    let result = Simulation::new(&setup, policy.policy).run();
    ComparedRun {
        workload: case.workload.name,
        scenario: case.scenario,
        policy,
        first_token_p99_ms_by_trace: vec![result.first_token_p99_ms],
        result,
    }
}

/// Averages the runs that differ in their trace only; the order stays.
fn average(runs: Vec<ComparedRun>) -> Vec<ComparedRun> {
    let mut groups: Vec<Vec<ComparedRun>> = Vec::new();
    for run in runs {
        let key = |run: &ComparedRun| (run.workload, run.scenario, run.policy.name);
        match groups.iter_mut().find(|group| key(&group[0]) == key(&run)) {
            Some(group) => group.push(run),
            None => groups.push(vec![run]),
        }
    }
    groups.iter().filter_map(|group| mean_of(group)).collect()
}

fn mean_of(group: &[ComparedRun]) -> Option<ComparedRun> {
    let results: Vec<RunResult> = group.iter().map(|run| run.result.clone()).collect();
    let p99 = results.iter().map(|result| result.first_token_p99_ms);
    Some(ComparedRun {
        first_token_p99_ms_by_trace: p99.collect(),
        result: RunResult::mean_of(&results)?,
        ..group.first()?.clone()
    })
}
