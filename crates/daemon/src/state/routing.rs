//! What the engine choice knows: residency, heat and the policy of the settings.

use std::sync::Arc;
use std::time::Duration;

use driftspring_directory::{Directory, DirectorySettings, EngineResidency, Overlap};
use driftspring_prefix::Fingerprint;
use driftspring_routing::{
    Baseline, BaselineScheduler, Candidate, Decision, EngineKey, LoadModel, LoadReport, Scheduler,
    SchedulerSettings, ZoneDistance,
};
use driftspring_settings::{RoutingPolicy, RoutingSettings};
use driftspring_types::{EngineRecord, ModelName, ZoneName};

use super::engines::EngineEntry;

/// Leading blocks hashed by the rendezvous baseline: 4 KiB of prompt.
const RENDEZVOUS_DEPTH_BLOCKS: usize = 16;

/// How many times the mean load an engine of the rendezvous baseline may have.
const RENDEZVOUS_LOAD_BOUND: f64 = 1.25;

/// The scheduler of the settings' policy.
#[derive(Debug)]
enum PolicyScheduler {
    Baseline(BaselineScheduler),
    Full(Scheduler),
}

/// The state of the engine choice, shared by all threads without a lock.
#[derive(Debug)]
pub struct RoutingState {
    /// What is cached where.
    pub directory: Directory,
    scheduler: PolicyScheduler,
    load: LoadModel,
    zone: ZoneName,
    zone_distance: Duration,
}

impl RoutingState {
    /// The state of a daemon in `zone` that has seen no traffic.
    pub fn new(settings: &RoutingSettings, zone: &ZoneName) -> Self {
        let baseline = |policy| PolicyScheduler::Baseline(BaselineScheduler::new(policy, 0));
        let scheduler = match settings.policy {
            RoutingPolicy::RoundRobin => baseline(Baseline::RoundRobin),
            RoutingPolicy::LeastLoaded => baseline(Baseline::LeastLoaded),
            RoutingPolicy::Rendezvous => baseline(Baseline::Rendezvous {
                depth_blocks: RENDEZVOUS_DEPTH_BLOCKS,
                load_bound: RENDEZVOUS_LOAD_BOUND,
            }),
            RoutingPolicy::Full => PolicyScheduler::Full(full_scheduler(settings)),
        };
        Self {
            directory: Directory::new(DirectorySettings::default()),
            scheduler,
            load: LoadModel::default(),
            zone: zone.clone(),
            zone_distance: settings.zone_distance,
        }
    }

    /// Chooses one of `engines` for a prompt for `model`, which may start from cached work if it
    /// `uses_cache`; `now` is the time since the daemon's start.
    pub fn choose(
        &self,
        model: &ModelName,
        fingerprint: &Fingerprint,
        uses_cache: bool,
        engines: &[&Arc<EngineEntry>],
        now: Duration,
    ) -> Option<Decision> {
        let candidates: Vec<Candidate> = engines
            .iter()
            .map(|engine| self.candidate(engine, now))
            .collect();
        match &self.scheduler {
            PolicyScheduler::Baseline(scheduler) => {
                scheduler.choose(fingerprint, &candidates, &mut rand::rng())
            }
            PolicyScheduler::Full(scheduler) => {
                let overlap_of = |index: usize| {
                    let record = &engines[index].record;
                    let residency = uses_cache.then(|| self.residency_of(record)).flatten();
                    residency.map_or(Overlap::default(), |known| known.overlap(fingerprint, now))
                };
                scheduler.choose(model.as_str(), fingerprint, &candidates, overlap_of, now)
            }
        }
    }

    /// The residency of the engine's present life; nothing before its first report.
    pub fn residency_of(&self, record: &EngineRecord) -> Option<Arc<EngineResidency>> {
        let has_reported = record.incarnation.0 > 0;
        has_reported
            .then(|| {
                self.directory
                    .of_incarnation(&record.id, record.incarnation)
            })
            .flatten()
    }

    fn candidate(&self, engine: &EngineEntry, now: Duration) -> Candidate {
        let own = engine.counters.own_load();
        let report = LoadReport {
            load: engine.record.load,
            age: now.saturating_sub(own.reported_at),
            dispatched_since_tokens: own.dispatched_since_tokens,
            dispatched_since_requests: own.dispatched_since_requests,
            own_pending_tokens: own.pending_prefill_tokens,
            own_open_requests: own.open_requests,
        };
        let is_near = engine.record.zone == self.zone;
        let distance = if is_near {
            Duration::ZERO
        } else {
            self.zone_distance
        };
        Candidate {
            key: EngineKey::of(&engine.record.id),
            distance: ZoneDistance(distance),
            load: self.load.estimate(&report),
        }
    }
}

fn full_scheduler(settings: &RoutingSettings) -> Scheduler {
    let mut scheduler = SchedulerSettings::new(settings.prefill_microseconds_per_token);
    scheduler.placement.widen = settings.widen_hot_prefixes;
    Scheduler::new(scheduler)
}
