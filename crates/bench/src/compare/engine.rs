//! A simulated engine: the model, its life and what it reports with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use driftspring_engine_model::{EngineModel, EngineOptions, EngineTotals, ModelTime};
use driftspring_routing::EngineKey;
use driftspring_types::{EngineId, EngineLoad, Incarnation};

use super::daemon::EngineReport;

/// How old the load in reports and answers is.
pub const REPORT_LAG: Duration = Duration::from_millis(250);

/// One engine of the simulated system.
pub struct SimulatedEngine {
    /// Its name.
    pub id: EngineId,
    /// The hash of its name.
    pub key: EngineKey,
    /// Its zone.
    pub zone: usize,
    /// The service that it belongs to.
    pub service: usize,
    /// Batching, cache and timing.
    pub model: EngineModel,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Whether it answers.
    pub is_up: bool,
    /// The number of the next cache event of this life.
    pub next_event_sequence: u64,
    /// When the simulation will look at it next.
    pub wakes_at: Option<ModelTime>,
    /// Loads of the last moments, oldest first.
    samples: VecDeque<(ModelTime, EngineLoad)>,
}

impl SimulatedEngine {
    /// An idle engine.
    pub fn new(number: usize, service: usize, zone: usize, options: EngineOptions) -> Self {
        let id = EngineId::new(format!("engine-{service}-{number}"));
        Self {
            key: EngineKey::of(&id),
            id,
            zone,
            service,
            model: EngineModel::new(options),
            incarnation: Incarnation(1),
            is_up: true,
            next_event_sequence: 0,
            wakes_at: None,
            samples: VecDeque::new(),
        }
    }

    /// Loses everything and stops answering.
    pub fn crash(&mut self, now: ModelTime) {
        self.model.reset(now);
        self.is_up = false;
        self.incarnation.0 += 1;
        self.next_event_sequence = 0;
        self.samples.clear();
    }

    /// Remembers the present load for later reports.
    pub fn sample_load(&mut self, now: ModelTime) {
        let is_old = |(at, _): &(ModelTime, EngineLoad)| *at + REPORT_LAG < now;
        while self.samples.len() > 1 && self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, self.model.load()));
    }

    fn reported_load(&self) -> EngineLoad {
        self.samples
            .front()
            .map(|(_, load)| *load)
            .unwrap_or_default()
    }

    /// The report as it leaves the engine.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            load: self.reported_load(),
        }
    }

    /// Sums over the run.
    pub fn totals(&self) -> EngineTotals {
        self.model.totals()
    }
}
