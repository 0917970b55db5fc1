//! The `run` command: open-loop load on daemons over HTTP.

mod history;
mod output;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context, anyhow};
use driftspring_engine_model::EngineOptions;

use crate::embedded::{EmbeddedOptions, EmbeddedSystem};
use crate::flags::Run;
use crate::load::{Destinations, LoadObserver, RunningLoad};
use crate::report::LoadSummary;
use crate::workload::{Trace, Workload};

use history::HistoryObserver;

const DEFAULT_WORKLOAD: &str = "directorate";
const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 30;
const LOAD_THREADS: usize = 3;
const DAEMON_WORKERS: usize = 2;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Everything that determines a run.
#[derive(Debug, Clone)]
struct RunPlan {
    workload: Workload,
    seed: u64,
    length: Duration,
    /// Daemons to be called; without any, a system is embedded.
    daemons: Vec<SocketAddr>,
    history: Option<PathBuf>,
}

/// Runs the load and reports.
///
/// # Errors
/// A flag is wrong, the system does not start, or a file can't be written.
pub fn run(options: &Run) -> anyhow::Result<()> {
    let plan = RunPlan::of(options)?;
    let trace = Trace::draw(&plan.workload, plan.length, plan.seed);
    let system = plan.start_system()?;
    let destinations = plan.destinations(system.as_ref());
    let observer = plan.history.as_deref().map(HistoryObserver::to_file);
    let observer = observer.transpose()?.map(Arc::new);
    let shared = observer
        .clone()
        .map(|observer| observer as Arc<dyn LoadObserver>);
    println!(
        "{}: {} requests in {:.0} s, seed {}",
        plan.workload.name,
        trace.requests.len(),
        plan.length.as_secs_f64(),
        plan.seed
    );
    let load = RunningLoad::start(&trace, &destinations, LOAD_THREADS, shared)?;
    show_progress(&load);
    let records = load.finish()?;
    if let (Some(observer), Some(system)) = (&observer, &system) {
        observer.add_run_logs(system)?;
    }
    let summary = LoadSummary::of(&records)?;
    output::print(&summary);
    if let Some(path) = &options.json {
        output::write_json(path, &plan, &summary)?;
    }
    if let Some(path) = &options.html {
        output::write_html(path, &plan, &summary, &records)?;
    }
    Ok(())
}

impl RunPlan {
    fn of(options: &Run) -> anyhow::Result<Self> {
        let name = options.workload.as_deref().unwrap_or(DEFAULT_WORKLOAD);
        let mut workload = Workload::by_name(name)
            .ok_or_else(|| anyhow!("unknown workload {name:?}: expected directorate or moreton"))?;
        if let Some(rate) = options.rate {
            scale_rate(&mut workload, rate);
        }
        let daemons = options.daemon.iter().map(|text| {
            let parsed = text.parse();
            parsed.with_context(|| format!("--daemon {text:?}: expected IP:port"))
        });
        Ok(Self {
            workload,
            seed: options.seed.unwrap_or(DEFAULT_SEED),
            length: Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS)),
            daemons: daemons.collect::<anyhow::Result<_>>()?,
            history: options.history.clone(),
        })
    }

    fn start_system(&self) -> anyhow::Result<Option<EmbeddedSystem>> {
        if !self.daemons.is_empty() {
            return Ok(None);
        }
        let system = EmbeddedSystem::start(&EmbeddedOptions {
            workload: self.workload.clone(),
            daemons_per_zone: 1,
            daemon_workers: DAEMON_WORKERS,
            engine: EngineOptions::default(),
            history: self.history.clone(),
        })?;
        Ok(Some(system))
    }

    /// The embedded daemons by zone, or the given ones in turn.
    fn destinations(&self, system: Option<&EmbeddedSystem>) -> Destinations {
        let zones = 0..self.workload.zones;
        let by_zone = match system {
            Some(system) => zones.map(|zone| system.daemons_in(zone)).collect(),
            None => self.daemons.iter().map(|daemon| vec![*daemon]).collect(),
        };
        Destinations {
            by_zone,
            are_engines: false,
        }
    }
}

/// Scales the services' rates so that they add up to `rate` requests per second.
fn scale_rate(workload: &mut Workload, rate: f64) {
    let services = workload.services.iter();
    let sum: f64 = services.map(|service| service.requests_per_second).sum();
    for service in &mut workload.services {
        service.requests_per_second *= rate / sum;
    }
}

fn show_progress(load: &RunningLoad) {
    while !load.is_finished() {
        std::thread::sleep(PROGRESS_INTERVAL);
        println!(
            "  {:>3} s: sent {}, whole {}, failed {}",
            load.began_at.elapsed().as_secs(),
            load.progress.sent.load(Ordering::Relaxed),
            load.progress.whole.load(Ordering::Relaxed),
            load.progress.failed.load(Ordering::Relaxed),
        );
    }
}
