//! The caller's checks and the open-loop load, against stand-in engines and an embedded system.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use driftspring_bench::caller::{Call, CallEnding, Caller, Destination};
use driftspring_bench::embedded::{EmbeddedOptions, EmbeddedSystem, tenant_name};
use driftspring_bench::load::{Destinations, RunningLoad};
use driftspring_bench::report::LoadSummary;
use driftspring_bench::workload::{Trace, Workload};
use driftspring_engine_model::EngineOptions;
use driftspring_standin::FaultUpdate;
use driftspring_standin::engine::{self, EngineStandinOptions, RunningEngine};
use driftspring_types::{ModelName, RequestId};

const SEED: u64 = 5;

fn start_engine() -> RunningEngine {
    engine::start(EngineStandinOptions::loopback(
        "engine-1", "zone-1", "model",
    ))
    .unwrap()
}

fn call(model: &str) -> Call {
    Call {
        request_id: RequestId::generate(),
        tenant: tenant_name(0),
        model: ModelName::new(model),
        prompt: "a prompt".repeat(100),
        max_tokens: 5,
        intended_at: Instant::now(),
    }
}

/// The ending of one call to an engine with `faults`.
async fn ending(faults: FaultUpdate, model: &str) -> CallEnding {
    let engine = start_engine();
    engine.server.faults.update(&faults);
    let caller = Caller::new().await.unwrap();
    let destination = Destination::Engine(engine.server.address);
    let record = caller.call(destination, &call(model), &|_, _| {}).await;
    record.ending
}

#[ntex::test]
async fn only_a_whole_stream_counts_as_whole() {
    assert_eq!(
        ending(FaultUpdate::default(), "model").await,
        CallEnding::Whole
    );
    let broken = [
        FaultUpdate {
            duplicate_tokens: Some(1),
            ..FaultUpdate::default()
        },
        FaultUpdate {
            cross_answers: Some(1),
            ..FaultUpdate::default()
        },
        FaultUpdate {
            cut_after_tokens: Some(2),
            ..FaultUpdate::default()
        },
        FaultUpdate {
            cut: Some(true),
            ..FaultUpdate::default()
        },
    ];
    for faults in broken {
        let ending = ending(faults.clone(), "model").await;
        assert!(
            matches!(ending, CallEnding::Broken(_)),
            "{faults:?}: {ending:?}"
        );
    }
    let refused = ending(FaultUpdate::default(), "another model").await;
    assert!(matches!(refused, CallEnding::Refused { status: 400, .. }));
}

#[test]
fn every_request_of_a_trace_is_sent_and_summed_up() {
    let mut workload = Workload::directorate();
    workload.services.truncate(1);
    workload.services[0].requests_per_second = 20.0;
    workload.services[0].model = "model";
    let trace = Trace::draw(&workload, Duration::from_secs(1), SEED);
    let engine = start_engine();
    let destinations = Destinations {
        by_zone: vec![vec![engine.server.address]],
        are_engines: true,
    };
    let load = RunningLoad::start(&trace, &destinations, 2, None).unwrap();
    let progress = load.progress.clone();
    let records = load.finish().unwrap();
    let summary = LoadSummary::of(&records).unwrap();
    assert_eq!(records.len(), trace.requests.len());
    assert!(records.is_sorted_by_key(|record| record.intended_at));
    assert_eq!(summary.whole, summary.requests);
    assert_eq!(progress.whole.load(Ordering::Relaxed), summary.whole);
    let runs = engine.state.run_log();
    let computed: u32 = runs
        .iter()
        .map(|run| run.prompt_tokens - run.cached_tokens)
        .sum();
    assert_eq!(summary.computed_prompt_tokens, u64::from(computed));
    assert!(summary.prefix_hit_rate > 0.0);
}

#[test]
fn an_embedded_system_answers_every_tenant() {
    let mut workload = Workload::directorate();
    workload.zones = 2;
    workload.services.truncate(1);
    workload.services[0].replicas = 2;
    workload.services[0].requests_per_second = 10.0;
    let mut trace = Trace::draw(&workload, Duration::from_secs(2), SEED);
    trace.requests.truncate(10);
    let system = EmbeddedSystem::start(&EmbeddedOptions {
        workload,
        daemons_per_zone: 1,
        daemon_workers: 1,
        engine: EngineOptions::default(),
        history: None,
    })
    .unwrap();
    let destinations = Destinations {
        by_zone: (0..2).map(|zone| system.daemons_in(zone)).collect(),
        are_engines: false,
    };
    let load = RunningLoad::start(&trace, &destinations, 1, None).unwrap();
    let records = load.finish().unwrap();
    let endings: Vec<_> = records.iter().map(|record| &record.ending).collect();
    assert!(
        records.iter().all(|record| record.is_whole()),
        "{endings:?}"
    );
    let summary = LoadSummary::of(&records).unwrap();
    assert_eq!(
        summary
            .engines
            .values()
            .map(|share| share.requests)
            .sum::<u64>(),
        10
    );
}
