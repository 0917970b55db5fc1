//! A simulated daemon: the real directory and the real schedulers, with its own delayed knowledge.

use std::time::Duration;

use driftspring_directory::{
    CacheEvent, Directory, DirectorySettings, EventCursor, EventStep, Overlap,
};
use driftspring_engine_model::ModelTime;
use driftspring_routing::{
    BaselineScheduler, Candidate, CostModel, Decision, LoadEstimate, LoadModel, LoadReport,
    Scheduler, ZoneDistance,
};
use driftspring_types::{EngineLoad, Incarnation};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::engine::SimulatedEngine;
use super::policy::{Parts, Policy, scheduler_settings};
use super::request::SimulatedRequest;
use crate::workload::Workload;

/// What the daemon knows of one engine.
#[derive(Debug, Clone, Copy)]
struct KnownEngine {
    incarnation: Incarnation,
    is_serving: bool,
    load: EngineLoad,
    reported_at: ModelTime,
    dispatched_since_tokens: u32,
    dispatched_since_requests: u32,
    pending_tokens: u32,
    open_requests: u32,
    cursor: Option<EventCursor>,
}

/// A report or answer header as it reaches a daemon.
#[derive(Debug, Clone, Copy)]
pub struct EngineReport {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// Its load, some time ago.
    pub load: EngineLoad,
}

/// Which of a daemon's schedulers decides.
enum Chooser {
    Baseline(BaselineScheduler),
    Scheme(Scheduler),
    AllKnowing(CostModel),
}

/// One daemon of the simulated system.
pub struct SimulatedDaemon {
    zone: usize,
    zone_distance: Duration,
    parts: Parts,
    directory: Directory,
    /// One per service.
    choosers: Vec<Chooser>,
    engines: Vec<KnownEngine>,
    random: SmallRng,
}

/// Everything off: for policies that use no directory.
const NO_PARTS: Parts = Parts {
    events: false,
    answers: false,
    widening: false,
    kept_cache: false,
};

impl SimulatedDaemon {
    /// Daemon `number` in `zone`, which knows of `engines` but not what they have cached.
    pub fn new(
        number: usize,
        zone: usize,
        workload: &Workload,
        policy: Policy,
        engine_count: usize,
        prefill_microseconds_per_token: f64,
    ) -> Self {
        let parts = match policy {
            Policy::Scheme(parts) => parts,
            _ => NO_PARTS,
        };
        let chooser = || match policy {
            Policy::Baseline(baseline) => {
                Chooser::Baseline(BaselineScheduler::new(baseline, number * 5))
            }
            Policy::Scheme(parts) => Chooser::Scheme(Scheduler::new(scheduler_settings(
                parts,
                prefill_microseconds_per_token,
            ))),
            Policy::AllKnowing => {
                Chooser::AllKnowing(CostModel::new(prefill_microseconds_per_token))
            }
        };
        let known = KnownEngine {
            incarnation: Incarnation(1),
            is_serving: true,
            load: EngineLoad::default(),
            reported_at: ModelTime(0),
            dispatched_since_tokens: 0,
            dispatched_since_requests: 0,
            pending_tokens: 0,
            open_requests: 0,
            cursor: None,
        };
        Self {
            zone,
            zone_distance: workload.zone_distance,
            parts,
            directory: Directory::new(DirectorySettings::default()),
            choosers: workload.services.iter().map(|_| chooser()).collect(),
            engines: vec![known; engine_count],
            random: SmallRng::seed_from_u64(number as u64),
        }
    }

    /// One way to an engine in `zone`.
    pub fn distance_to(&self, zone: usize) -> Duration {
        if zone == self.zone {
            Duration::ZERO
        } else {
            self.zone_distance
        }
    }

    /// The life of an engine that dispatches rely on.
    pub fn known_incarnation(&self, engine: usize) -> Incarnation {
        self.engines[engine].incarnation
    }

    /// Chooses an engine for `request`; its position and what it probably has cached.
    pub fn choose(
        &mut self,
        request: &SimulatedRequest,
        engines: &[SimulatedEngine],
        now: ModelTime,
    ) -> Option<(usize, Overlap)> {
        let eligible: Vec<usize> = (0..engines.len())
            .filter(|index| engines[*index].service == request.service)
            .filter(|index| self.engines[*index].is_serving)
            .collect();
        let candidates: Vec<Candidate> = eligible
            .iter()
            .map(|index| self.candidate(*index, &engines[*index], now))
            .collect();
        let decision = self.decide(request, engines, &eligible, &candidates, now)?;
        Some((eligible[decision.index], decision.overlap))
    }

    fn decide(
        &mut self,
        request: &SimulatedRequest,
        engines: &[SimulatedEngine],
        eligible: &[usize],
        candidates: &[Candidate],
        now: ModelTime,
    ) -> Option<Decision> {
        let fingerprint = &request.fingerprint;
        match &self.choosers[request.service] {
            Chooser::Baseline(scheduler) => {
                scheduler.choose(fingerprint, candidates, &mut self.random)
            }
            Chooser::Scheme(scheduler) => {
                let overlap_of = |candidate: usize| {
                    let index = eligible[candidate];
                    let incarnation = self.engines[index].incarnation;
                    let residency = self
                        .directory
                        .of_incarnation(&engines[index].id, incarnation);
                    residency.map_or(Overlap::default(), |residency| {
                        residency.overlap(fingerprint, duration(now))
                    })
                };
                scheduler.choose("pool", fingerprint, candidates, overlap_of, duration(now))
            }
            Chooser::AllKnowing(cost) => {
                decide_with_truth(cost, request, engines, eligible, candidates)
            }
        }
    }

    fn candidate(&self, index: usize, engine: &SimulatedEngine, now: ModelTime) -> Candidate {
        let known = &self.engines[index];
        let report = LoadReport {
            load: known.load,
            age: now.since(known.reported_at),
            dispatched_since_tokens: known.dispatched_since_tokens,
            dispatched_since_requests: known.dispatched_since_requests,
            own_pending_tokens: known.pending_tokens,
            own_open_requests: known.open_requests,
        };
        Candidate {
            key: engine.key,
            distance: ZoneDistance(self.distance_to(engine.zone)),
            load: LoadModel::default().estimate(&report),
        }
    }

    /// Notes a dispatch; returns the prompt tokens that the engine will probably compute.
    pub fn dispatched(
        &mut self,
        request: &SimulatedRequest,
        index: usize,
        engine: &SimulatedEngine,
        expected: Overlap,
        now: ModelTime,
    ) -> u32 {
        let prompt_tokens = request.fingerprint.prompt_tokens;
        let missing = prompt_tokens.saturating_sub(expected.tokens());
        let known = &mut self.engines[index];
        known.dispatched_since_tokens += missing;
        known.pending_tokens += missing;
        known.dispatched_since_requests += 1;
        known.open_requests += 1;
        let residency = self.directory.of_incarnation(&engine.id, known.incarnation);
        if let Some(residency) = residency {
            residency.dispatched(&request.fingerprint, duration(now));
        }
        missing
    }

    /// Notes the first token of an answer.
    pub fn answered(
        &mut self,
        request: &SimulatedRequest,
        index: usize,
        engine: &SimulatedEngine,
        answer: Answer,
        now: ModelTime,
    ) {
        self.settle(index, answer.missing_tokens);
        self.reported(index, answer.report, now);
        if !self.parts.answers {
            return;
        }
        let incarnation = answer.report.incarnation;
        if let Some(residency) = self.directory.of_incarnation(&engine.id, incarnation) {
            residency.answered(
                &request.fingerprint,
                answer.expected,
                answer.cached_tokens,
                duration(now),
            );
        }
    }

    /// Notes that a dispatched request was refused or lost before its first token.
    pub fn failed(&mut self, index: usize, missing_tokens: u32) {
        self.settle(index, missing_tokens);
        self.ended(index);
        self.engines[index].is_serving = false;
    }

    /// Notes that the engine's queue was full.
    pub fn refused(&mut self, index: usize, missing_tokens: u32) {
        self.settle(index, missing_tokens);
        self.ended(index);
    }

    /// Notes the end of a request at the engine.
    pub fn ended(&mut self, index: usize) {
        let known = &mut self.engines[index];
        known.open_requests = known.open_requests.saturating_sub(1);
    }

    /// Notes an engine's report.
    pub fn reported(&mut self, index: usize, report: EngineReport, now: ModelTime) {
        let known = &mut self.engines[index];
        if report.incarnation < known.incarnation {
            return;
        }
        known.incarnation = report.incarnation;
        known.is_serving = true;
        known.load = report.load;
        known.reported_at = now;
        known.dispatched_since_tokens = 0;
        known.dispatched_since_requests = 0;
    }

    /// Applies a cache event.
    pub fn heard_event(
        &mut self,
        index: usize,
        engine: &SimulatedEngine,
        event: &CacheEvent,
        now: ModelTime,
    ) {
        let Some(residency) = self.directory.of_incarnation(&engine.id, event.incarnation) else {
            return;
        };
        let known = &mut self.engines[index];
        let fresh = EventCursor::new(event.incarnation, event.sequence);
        let cursor = known.cursor.get_or_insert(fresh);
        match cursor.step(event.incarnation, event.sequence) {
            EventStep::Apply => {}
            EventStep::ApplyAfterGap => residency.events_resumed(duration(now)),
            EventStep::OtherIncarnation => {
                known.cursor = Some(EventCursor::new(event.incarnation, event.sequence + 1));
                residency.events_resumed(duration(now));
            }
            EventStep::Skip => return,
        }
        residency.apply_event(event, duration(now));
    }

    fn settle(&mut self, index: usize, missing_tokens: u32) {
        let known = &mut self.engines[index];
        known.pending_tokens = known.pending_tokens.saturating_sub(missing_tokens);
    }
}

/// The first token of an answer as it reaches a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// The headers.
    pub report: EngineReport,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u32,
    /// What the daemon had expected.
    pub expected: Overlap,
    /// The prompt tokens booked at dispatch.
    pub missing_tokens: u32,
}

fn decide_with_truth(
    cost: &CostModel,
    request: &SimulatedRequest,
    engines: &[SimulatedEngine],
    eligible: &[usize],
    candidates: &[Candidate],
) -> Option<Decision> {
    let fingerprint = &request.fingerprint;
    let decisions = eligible.iter().enumerate().map(|(index, engine)| {
        let model = &engines[*engine].model;
        let load = LoadEstimate {
            pending_prefill_tokens: f64::from(model.load().pending_prefill_tokens),
            open_requests: f64::from(model.load().running + model.load().queued),
        };
        let overlap = Overlap {
            blocks: model.cached_prefix_blocks(&fingerprint.blocks) as u32,
            next_is_expired: false,
        };
        let distance = candidates[index].distance;
        Decision {
            index,
            overlap,
            cost: cost.cost(fingerprint.prompt_tokens, overlap, &load, distance),
            reason: driftspring_routing::DecisionReason::Baseline,
            compared: eligible.len(),
        }
    });
    decisions.min_by(|one, other| one.cost.0.total_cmp(&other.cost.0))
}

fn duration(time: ModelTime) -> Duration {
    Duration::from_micros(time.0)
}
