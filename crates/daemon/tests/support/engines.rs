//! Stand-in engines.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_engine_model::token_text;
use driftspring_standin::FaultUpdate;
use driftspring_standin::engine::{EngineStandinOptions, RunLogEntry, RunningEngine, start};

use super::daemon::MODEL;

/// Some engines of one model.
pub struct Engines(pub Vec<RunningEngine>);

impl Engines {
    /// `count` engines that make a token in a few milliseconds.
    pub fn start(count: usize) -> Self {
        Self::start_with(count, |_| ())
    }

    /// `count` engines that make a token in 20 ms, so that a fault finds an answer midway.
    pub fn start_slow(count: usize) -> Self {
        Self::start_with(count, |options| {
            options.engine.step_base_microseconds = 20_000.0;
        })
    }

    /// `count` engines with options changed by `change`.
    pub fn start_with(count: usize, change: impl Fn(&mut EngineStandinOptions)) -> Self {
        let engines = (0..count).map(|index| {
            let id = format!("engine-{index}");
            let mut options = EngineStandinOptions::loopback(&id, "zone-1", MODEL);
            // A request whose caller hung up ends only by a cancel call.
            options.hang_up_grace = Duration::from_secs(60);
            change(&mut options);
            start(options).expect("the engine starts")
        });
        Self(engines.collect())
    }

    /// Where they listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.iter().map(|engine| engine.server.address).collect()
    }

    /// Turns fault switches of the engine `index`.
    pub fn fault(&self, index: usize, update: &FaultUpdate) {
        self.0[index].server.faults.update(update);
    }

    /// Turns fault switches of every engine.
    pub fn fault_all(&self, update: &FaultUpdate) {
        for engine in &self.0 {
            engine.server.faults.update(update);
        }
    }

    /// The engine that runs, or ran last, the only request so far.
    pub fn index_of_run(&self) -> usize {
        let found = self
            .0
            .iter()
            .position(|engine| !engine.state.run_log().is_empty());
        found.expect("an engine ran the request")
    }

    /// Every request that began to run, over all engines.
    pub fn runs(&self) -> Vec<RunLogEntry> {
        self.0
            .iter()
            .flat_map(|engine| engine.state.run_log())
            .collect()
    }
}

/// The right tokens of the answer to `prompt`.
pub fn expected_tokens(prompt: &str, count: u32) -> Vec<String> {
    (0..u64::from(count))
        .map(|sequence| token_text(prompt.as_bytes(), sequence))
        .collect()
}
