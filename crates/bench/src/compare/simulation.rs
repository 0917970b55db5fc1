//! One run: a trace through simulated daemons and engines in virtual time.

use std::rc::Rc;
use std::time::Duration;

use driftspring_directory::{CacheEvent, CacheEventKind};
use driftspring_engine_model::{
    CacheChange, EndReason, EngineRequest, ModelTime, OutputKind, SequenceId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::agenda::{Agenda, Happening};
use super::daemon::{Answer, EngineReport, SimulatedDaemon};
use super::engine::SimulatedEngine;
use super::kept::KeptCache;
use super::measure::{Measures, RunResult};
use super::policy::{Parts, Policy};
use super::request::RequestState;
use super::setup::{DAEMONS_PER_ZONE, Setup, daemons_of, engines_of};

/// How often engines report to every daemon.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How often engines note their load for later reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// How long a crashed engine is away.
const CRASH_DOWNTIME: Duration = Duration::from_secs(1);

/// Attempts until a request is given up on.
const MAX_ATTEMPTS: u8 = 4;

/// The part of a run that is not measured.
pub const WARM_UP: Duration = Duration::from_secs(10);

/// One run.
pub struct Simulation<'a> {
    setup: &'a Setup<'a>,
    parts: Option<Parts>,
    daemons: Vec<SimulatedDaemon>,
    engines: Vec<SimulatedEngine>,
    states: Vec<RequestState>,
    agenda: Agenda,
    kept: KeptCache,
    measures: Measures,
    random: SmallRng,
    next_crash: usize,
}

impl<'a> Simulation<'a> {
    /// A run of `setup` under `policy`.
    pub fn new(setup: &'a Setup<'a>, policy: Policy) -> Self {
        let engines = engines_of(setup.workload, setup.engine_options);
        let daemons = daemons_of(setup, policy, engines.len());
        let parts = match policy {
            Policy::Scheme(parts) => Some(parts),
            _ => None,
        };
        Self {
            setup,
            parts,
            daemons,
            engines,
            states: vec![RequestState::default(); setup.requests.len()],
            agenda: Agenda::default(),
            kept: KeptCache::default(),
            measures: Measures::default(),
            random: SmallRng::seed_from_u64(setup.seed),
            next_crash: 0,
        }
    }

    /// Runs to the end of the trace and until all answers are there.
    pub fn run(mut self) -> RunResult {
        for (index, request) in self.setup.requests.iter().enumerate() {
            self.agenda.add(request.at, Happening::Arrival(index));
        }
        self.agenda.add(ModelTime(0), Happening::Sample);
        self.agenda.add(ModelTime(0), Happening::Report);
        if let Some(interval) = self.setup.scenario.crash_interval() {
            self.agenda.add(ModelTime(0) + interval, Happening::Crash);
        }
        while let Some((now, happening)) = self.agenda.take_next() {
            self.handle(now, happening);
        }
        self.result()
    }

    fn handle(&mut self, now: ModelTime, happening: Happening) {
        match happening {
            Happening::Arrival(index) => self.dispatch(now, index),
            Happening::Submit(index) => self.submit(now, index),
            Happening::Wake(engine) => {
                self.engines[engine].wakes_at = None;
                self.collect(now, engine);
            }
            Happening::FirstToken(index, report) => self.first_token(now, index, report),
            Happening::Ended(index) => {
                let daemon = self.daemon_of(index);
                self.daemons[daemon].ended(self.states[index].engine);
            }
            Happening::Refused(index) => self.refused(now, index),
            Happening::Failed(index) => self.failed(now, index),
            Happening::Events(daemon, engine, event) => {
                let known = &self.engines[engine];
                self.daemons[daemon].heard_event(engine, known, &event, now);
            }
            Happening::Sample => self.sample(now),
            Happening::Report => self.report(now),
            Happening::Crash => self.crash(now),
            Happening::Return(engine) => self.return_engine(now, engine),
        }
    }

    /// A daemon chooses an engine and sends the request on.
    fn dispatch(&mut self, now: ModelTime, index: usize) {
        let request = &self.setup.requests[index];
        let daemon = self.daemon_of(index);
        let state = &mut self.states[index];
        state.attempts += 1;
        if state.attempts == 1 && self.is_measured(index) {
            self.measures.requests += 1;
        }
        if self.states[index].attempts > MAX_ATTEMPTS {
            return self.shed(index);
        }
        let chosen = self.daemons[daemon].choose(request, &self.engines, now);
        let Some((engine, expected)) = chosen else {
            return self.shed(index);
        };
        let daemon = &mut self.daemons[daemon];
        let known = &self.engines[engine];
        let missing_tokens = daemon.dispatched(request, engine, known, expected, now);
        let distance = daemon.distance_to(known.zone);
        let state = &mut self.states[index];
        state.engine = engine;
        state.expected = expected;
        state.missing_tokens = missing_tokens;
        self.agenda.add(now + distance, Happening::Submit(index));
    }

    fn shed(&mut self, index: usize) {
        if self.is_measured(index) {
            self.measures.shed += 1;
        }
    }

    /// A request reaches its engine.
    fn submit(&mut self, now: ModelTime, index: usize) {
        let request = &self.setup.requests[index];
        let engine = self.states[index].engine;
        let daemon = self.daemon_of(index);
        let distance = self.daemons[daemon].distance_to(self.engines[engine].zone);
        let expected_life = self.daemons[daemon].known_incarnation(engine);
        let target = &mut self.engines[engine];
        if !target.is_up || target.incarnation != expected_life {
            return self.agenda.add(now + distance, Happening::Failed(index));
        }
        let submitted = target.model.submit(
            now,
            EngineRequest {
                id: SequenceId(index as u64),
                priority: 4,
                blocks: request.fingerprint.blocks.clone(),
                prompt_tokens: request.fingerprint.prompt_tokens,
                max_tokens: request.answer_tokens,
                use_cache: true,
            },
        );
        if submitted.is_err() {
            self.agenda.add(now + distance, Happening::Refused(index));
        }
        self.collect(now, engine);
    }

    /// Takes what happened in an engine and asks when to look at it again.
    fn collect(&mut self, now: ModelTime, engine: usize) {
        let outputs = self.engines[engine].model.advance(now);
        for output in outputs {
            match output.kind {
                OutputKind::Started { id, cached_tokens } => {
                    self.started(id.0 as usize, cached_tokens);
                }
                OutputKind::Token { id, index: 0 } => {
                    self.send_first_token(output.at, engine, id.0 as usize);
                }
                OutputKind::Ended {
                    id,
                    reason: EndReason::Reset,
                } => self.lost(output.at, engine, id.0 as usize),
                OutputKind::Cache(change) => self.publish(output.at, engine, change),
                OutputKind::Ended { id, .. } => self.send_end(output.at, engine, id.0 as usize),
                OutputKind::Token { .. } => {}
            }
        }
        self.schedule_wake(engine);
    }

    fn schedule_wake(&mut self, engine: usize) {
        let target = &mut self.engines[engine];
        let Some(next) = target.model.next_event_at() else {
            return;
        };
        if target.wakes_at.is_none_or(|planned| next < planned) {
            target.wakes_at = Some(next);
            self.agenda.add(next, Happening::Wake(engine));
        }
    }

    fn started(&mut self, index: usize, cached_tokens: u32) {
        self.states[index].cached_tokens = cached_tokens;
        if !self.is_measured(index) {
            return;
        }
        let request = &self.setup.requests[index];
        let ideal_tokens = self.setup.ideal_tokens[index];
        let measures = &mut self.measures;
        measures.prompt_tokens += u64::from(request.fingerprint.prompt_tokens);
        measures.cached_tokens += u64::from(cached_tokens);
        measures.new_tokens += u64::from(request.new_tokens);
        measures.ideal_tokens += u64::from(ideal_tokens);
        measures.wasted_tokens += u64::from(ideal_tokens.saturating_sub(cached_tokens));
    }

    fn send_first_token(&mut self, at: ModelTime, engine: usize, index: usize) {
        let daemon = self.daemon_of(index);
        let sender = &self.engines[engine];
        let distance = self.daemons[daemon].distance_to(sender.zone);
        let report = sender.report();
        let happening = Happening::FirstToken(index, report);
        self.agenda.add(at + distance, happening);
    }

    fn send_end(&mut self, at: ModelTime, engine: usize, index: usize) {
        let daemon = self.daemon_of(index);
        let distance = self.daemons[daemon].distance_to(self.engines[engine].zone);
        self.agenda.add(at + distance, Happening::Ended(index));
    }

    /// A first token reaches the daemon.
    fn first_token(&mut self, now: ModelTime, index: usize, report: EngineReport) {
        let request = &self.setup.requests[index];
        if self.is_measured(index) {
            let elapsed = now.since(request.at);
            self.measures.record_first_token(elapsed);
        }
        let state = &mut self.states[index];
        state.has_first_token = true;
        let answer = Answer {
            report,
            cached_tokens: state.cached_tokens,
            expected: state.expected,
            missing_tokens: state.missing_tokens,
        };
        let engine = state.engine;
        let daemon = self.daemon_of(index);
        self.kept.note(request, engine);
        let sender = &self.engines[engine];
        self.daemons[daemon].answered(request, engine, sender, answer, now);
    }

    fn refused(&mut self, now: ModelTime, index: usize) {
        let RequestState {
            engine,
            missing_tokens,
            ..
        } = self.states[index];
        let daemon = self.daemon_of(index);
        self.daemons[daemon].refused(engine, missing_tokens);
        self.dispatch(now, index);
    }

    fn failed(&mut self, now: ModelTime, index: usize) {
        let RequestState {
            engine,
            missing_tokens,
            ..
        } = self.states[index];
        let daemon = self.daemon_of(index);
        self.daemons[daemon].failed(engine, missing_tokens);
        self.dispatch(now, index);
    }

    /// A crash took a request; without a first token it is sent to another engine. The rest of an
    /// answer that had begun is left out of the simulation.
    fn lost(&mut self, at: ModelTime, engine: usize, index: usize) {
        if self.states[index].has_first_token {
            return self.send_end(at, engine, index);
        }
        let daemon = self.daemon_of(index);
        let distance = self.daemons[daemon].distance_to(self.engines[engine].zone);
        self.agenda.add(at + distance, Happening::Failed(index));
    }

    /// Sends a change of a cache to the daemons that read events.
    fn publish(&mut self, at: ModelTime, engine: usize, change: CacheChange) {
        if !self.parts.is_some_and(|parts| parts.events) {
            return;
        }
        let sender = &mut self.engines[engine];
        let (kind, hashes) = match change {
            CacheChange::Stored(hashes) => (CacheEventKind::Stored, hashes),
            CacheChange::Removed(hashes) => (CacheEventKind::Removed, hashes),
            CacheChange::Cleared => (CacheEventKind::Cleared, Vec::new()),
        };
        let event = Rc::new(CacheEvent {
            sequence: sender.next_event_sequence,
            incarnation: sender.incarnation,
            kind,
            hashes,
        });
        sender.next_event_sequence += 1;
        let arrives_at = at + self.setup.scenario.event_delay();
        for daemon in 0..self.daemons.len() {
            let is_lost = self.random.random_bool(self.setup.scenario.event_loss());
            if !is_lost {
                let happening = Happening::Events(daemon, engine, Rc::clone(&event));
                self.agenda.add(arrives_at, happening);
            }
        }
    }

    fn sample(&mut self, now: ModelTime) {
        for engine in 0..self.engines.len() {
            self.collect(now, engine);
            self.engines[engine].sample_load(now);
        }
        self.repeat(now + SAMPLE_INTERVAL, Happening::Sample);
    }

    fn report(&mut self, now: ModelTime) {
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.is_up {
                continue;
            }
            for daemon in &mut self.daemons {
                daemon.reported(index, engine.report(), now);
            }
        }
        self.repeat(now + REPORT_INTERVAL, Happening::Report);
    }

    /// Engines crash in turn.
    fn crash(&mut self, now: ModelTime) {
        const STRIDE: usize = 7;
        let engine = self.next_crash * STRIDE % self.engines.len();
        self.next_crash += 1;
        self.engines[engine].crash(now);
        self.collect(now, engine);
        self.agenda
            .add(now + CRASH_DOWNTIME, Happening::Return(engine));
        if let Some(interval) = self.setup.scenario.crash_interval() {
            self.repeat(now + interval, Happening::Crash);
        }
    }

    fn return_engine(&mut self, now: ModelTime, engine: usize) {
        self.engines[engine].is_up = true;
        if self.parts.is_some_and(|parts| parts.kept_cache) {
            for chain in self.kept.chains_of(engine) {
                self.engines[engine].model.import_blocks(now, &chain);
            }
        }
        self.collect(now, engine);
        let report = self.engines[engine].report();
        for daemon in &mut self.daemons {
            daemon.reported(engine, report, now);
        }
    }

    fn repeat(&mut self, at: ModelTime, happening: Happening) {
        if at <= ModelTime(0) + self.setup.length {
            self.agenda.add(at, happening);
        }
    }

    fn daemon_of(&self, index: usize) -> usize {
        self.setup.requests[index].zone * DAEMONS_PER_ZONE + index % DAEMONS_PER_ZONE
    }

    fn is_measured(&self, index: usize) -> bool {
        self.setup.requests[index].at >= ModelTime(0) + WARM_UP
    }

    fn result(&self) -> RunResult {
        let per_token = self.setup.engine_options.prefill_microseconds_per_token;
        let length = self.setup.length.as_secs_f64();
        let busy = self.engines.iter().map(|engine| {
            let computed = engine.totals().prefill_tokens;
            computed as f64 * per_token / 1e6 / length
        });
        let mean = busy.clone().sum::<f64>() / self.engines.len() as f64;
        let busiest = busy.fold(0.0, f64::max);
        self.measures.result(mean, busiest)
    }
}
