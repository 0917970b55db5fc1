//! The time and memory of one routing decision, without a network.

use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::Context;
use driftspring_directory::{Directory, DirectorySettings, Overlap};
use driftspring_prefix::{BLOCK_BYTES, Fingerprint};
use driftspring_routing::{
    Candidate, EngineKey, LoadEstimate, Scheduler, SchedulerSettings, ZoneDistance,
};
use driftspring_types::{EngineId, Incarnation};
use serde::Serialize;

/// Engines that may serve the request.
const CANDIDATES: usize = 100;

/// Zones over which they are spread evenly.
const ZONES: usize = 4;

/// The length of a prompt.
const PROMPT_BYTES: usize = 16 * 1024;

/// Different prompts, so that the measurement is not that of one warm cache line.
const PROMPTS: usize = 512;

/// Blocks of each prompt that all prompts of its group share; there are 16 groups.
const SHARED_BLOCKS: usize = 40;

/// Decisions of one measured round.
const DECISIONS: u32 = 200_000;

/// Measured rounds, of which the median counts.
const ROUNDS: usize = 5;

/// The cost of decisions.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct DecisionCost {
    /// Time of hashing one prompt.
    pub fingerprint_nanoseconds: f64,
    /// Time of one choice, residency and heat included.
    pub choice_nanoseconds: f64,
    /// Time of noting one answer.
    pub answer_nanoseconds: f64,
    /// Bytes held per engine.
    pub bytes_per_engine: f64,
    /// Bytes held per block that can be known.
    pub bytes_per_block: f64,
    /// Bytes of the heat tracker.
    pub heat_bytes: usize,
}

/// Measures and prints.
///
/// # Errors
/// Where the result can't be written.
pub fn run(options: &crate::flags::Decision) -> anyhow::Result<()> {
    let cost = measure();
    print(&cost);
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&cost)?;
        std::fs::write(path, json).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}

/// Measures on one thread.
pub fn measure() -> DecisionCost {
    let bench = DecisionBench::new();
    let choice = median(|| bench.time_choices());
    DecisionCost {
        fingerprint_nanoseconds: median(|| bench.time_fingerprints()),
        choice_nanoseconds: choice,
        answer_nanoseconds: median(|| bench.time_answers()),
        bytes_per_engine: bench.directory.memory_bytes() as f64 / CANDIDATES as f64,
        bytes_per_block: bench.bytes_per_block(),
        heat_bytes: bench.scheduler.memory_bytes(),
    }
}

/// Prints the cost.
pub fn print(cost: &DecisionCost) {
    println!(
        "one decision: {CANDIDATES} candidates in {ZONES} zones, {PROMPT_BYTES} bytes of prompt"
    );
    println!(
        "  hashing the prompt    {:>8.0} ns",
        cost.fingerprint_nanoseconds
    );
    println!(
        "  choosing the engine   {:>8.0} ns",
        cost.choice_nanoseconds
    );
    println!(
        "  noting the answer     {:>8.0} ns",
        cost.answer_nanoseconds
    );
    println!(
        "  memory per engine     {:>8.0} bytes",
        cost.bytes_per_engine
    );
    println!(
        "  per block knowable    {:>8.1} bytes",
        cost.bytes_per_block
    );
    println!("  heat tracker          {:>8} bytes", cost.heat_bytes);
}

struct DecisionBench {
    prompts: Vec<Vec<u8>>,
    fingerprints: Vec<Fingerprint>,
    engines: Vec<EngineId>,
    candidates: Vec<Candidate>,
    directory: Directory,
    scheduler: Scheduler,
}

impl DecisionBench {
    fn new() -> Self {
        let prompts: Vec<Vec<u8>> = (0..PROMPTS).map(prompt).collect();
        let of_prompt = |prompt: &Vec<u8>| Fingerprint::of_prompt("tenant/model/1", prompt);
        let engines: Vec<EngineId> = (0..CANDIDATES)
            .map(|number| EngineId::new(format!("engine-{number}")))
            .collect();
        let bench = Self {
            fingerprints: prompts.iter().map(of_prompt).collect(),
            prompts,
            candidates: engines.iter().enumerate().map(candidate).collect(),
            engines,
            directory: Directory::new(DirectorySettings::default()),
            scheduler: Scheduler::new(SchedulerSettings::new(50.0)),
        };
        bench.warm_up();
        bench
    }

    /// Sends each prompt once, so that engines have something cached.
    fn warm_up(&self) {
        for fingerprint in &self.fingerprints {
            if let Some(index) = self.choose(fingerprint) {
                self.note_answer(index, fingerprint);
            }
        }
    }

    fn choose(&self, fingerprint: &Fingerprint) -> Option<usize> {
        let overlap_of = |index: usize| {
            let residency = self.directory.of_incarnation(&self.engines[index], LIFE);
            residency.map_or(Overlap::default(), |known| known.overlap(fingerprint, NOW))
        };
        let candidates = &self.candidates;
        let decision = self
            .scheduler
            .choose("model", fingerprint, candidates, overlap_of, NOW);
        decision.map(|decision| decision.index)
    }

    fn note_answer(&self, index: usize, fingerprint: &Fingerprint) {
        let residency = self.directory.of_incarnation(&self.engines[index], LIFE);
        if let Some(residency) = residency {
            residency.answered(fingerprint, Overlap::default(), 0, NOW);
        }
    }

    fn time_choices(&self) -> f64 {
        let mut prompts = self.fingerprints.iter().cycle();
        nanoseconds_each(|| {
            let chosen = prompts.next().and_then(|prompt| self.choose(prompt));
            black_box(chosen);
        })
    }

    fn time_answers(&self) -> f64 {
        let mut prompts = self.fingerprints.iter().cycle();
        let mut engine = 0;
        nanoseconds_each(|| {
            engine = (engine + 1) % CANDIDATES;
            if let Some(prompt) = prompts.next() {
                self.note_answer(engine, prompt);
            }
        })
    }

    fn time_fingerprints(&self) -> f64 {
        let mut prompts = self.prompts.iter().cycle();
        nanoseconds_each(|| {
            let prompt = prompts.next().map(Vec::as_slice).unwrap_or_default();
            black_box(Fingerprint::of_prompt("tenant/model/1", prompt));
        })
    }

    fn bytes_per_block(&self) -> f64 {
        let blocks = DirectorySettings::default().blocks_per_engine * CANDIDATES;
        self.directory.memory_bytes() as f64 / blocks as f64
    }
}

const LIFE: Incarnation = Incarnation(1);

const NOW: Duration = Duration::from_secs(1);

fn prompt(number: usize) -> Vec<u8> {
    const GROUPS: usize = 16;
    let byte_at = |at: usize| {
        let is_shared = at < SHARED_BLOCKS * BLOCK_BYTES;
        let text = if is_shared { number % GROUPS } else { number };
        (at.wrapping_mul(31) ^ text.wrapping_mul(7919)) as u8
    };
    (0..PROMPT_BYTES).map(byte_at).collect()
}

fn candidate((number, id): (usize, &EngineId)) -> Candidate {
    let is_near = number % ZONES == 0;
    Candidate {
        key: EngineKey::of(id),
        distance: ZoneDistance(Duration::from_micros(if is_near { 0 } else { 1500 })),
        load: LoadEstimate::default(),
    }
}

fn nanoseconds_each(mut step: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..DECISIONS {
        step();
    }
    start.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn median(measure: impl Fn() -> f64) -> f64 {
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| measure()).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}
