//! Replays the generated load of two customers against `place`. A gateway knows what the gateways report of their
//! prompts, [`REPORT_DELAY_MS`] late for those of others.

pub mod engine;

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::interference::{PromptProfile, Separation, interference_cost_ms};
use driftspring_decisions::load::ReplicaLoad;
use driftspring_decisions::placement::{Candidate, PlacementKey, place};
use engine::{Engine, Speed, Work};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const REPLICAS: u64 = 60;

/// Time until other gateways know of a prompt.
const REPORT_DELAY_MS: f64 = 40.0;

/// Prefill speed that gateways assume, that of `prefill::estimated_prefill_time`.
const ASSUMED_TOKENS_PER_MS: f64 = 36.0;

/// Time over which the prefill share and the demand are measured.
const RECENT_MS: f64 = 1000.0;

/// Cost and time of a fetch of the shared part of a long prompt.
const FETCH_COST_MS: f64 = 60.0;
const FETCH_MS: f64 = 20.0;

/// Shared parts of long prompts that a replica can keep: 0.6 of its memory.
const CACHED_PARTS: usize = 9;

/// Different shared parts of each kind that a tenant uses.
const PARTS_PER_TENANT: u64 = 4;

/// Requests from this moment on are counted. In an overload the load changes then.
const CHANGE_MS: f64 = 1500.0;

/// Requests arrive until this moment.
const END_MS: f64 = 5000.0;

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub per_second: f64,
    pub shared_tokens: f64,
    pub own_tokens: f64,
    pub output_tokens: u32,
    pub objective_ms: f64,
}

/// A customer's load and replicas.
#[derive(Debug, Clone, Copy)]
pub struct Customer {
    pub gateways: usize,
    pub tenants: usize,
    pub speed: Speed,
    pub pause_target_ms: u64,
    pub long: Kind,
    pub short: Kind,
}

/// Which costs of interference are added to the candidates'.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Off,
    Stall,
    Separate,
    Both,
}

/// Shares of requests that were late.
#[derive(Debug, Clone, Copy, Default)]
pub struct Late {
    pub short_by_first_event: f64,
    pub short_by_pause: f64,
    pub long_by_first_event: f64,
    pub long_by_pause: f64,
}

struct Request {
    arrived_ms: f64,
    is_long: bool,
    gateway: usize,
    key: u64,
    own_tokens: f64,
    output_tokens: u32,
}

/// What a gateway reports of a prompt.
struct Report {
    sent_ms: f64,
    gateway: usize,
    is_long: bool,
    prefill_ms: f64,
    stream_ms: f64,
}

impl Report {
    fn is_known(&self, gateway: usize, now_ms: f64) -> bool {
        self.gateway == gateway || self.sent_ms + REPORT_DELAY_MS <= now_ms
    }
}

struct Replica {
    id_hash: u64,
    engine: Engine,
    reports: Vec<Report>,
    cached: Vec<u64>,
}

impl Replica {
    /// The load as the gateway estimates it.
    fn load(&self, gateway: usize, now_ms: f64) -> ReplicaLoad {
        let (mut busy_until, mut streams, mut recent_ms) = (0.0, 0.0, 0.0);
        let known = |report: &&Report| report.is_known(gateway, now_ms);
        for report in self.reports.iter().filter(known) {
            busy_until = f64::max(busy_until, report.sent_ms) + report.prefill_ms;
            recent_ms += report.prefill_ms;
            let can_have_begun = report.sent_ms + report.prefill_ms < now_ms;
            if can_have_begun && busy_until + report.stream_ms > now_ms {
                streams += 1.0;
            }
        }
        let is_own = |work: &&Work| work.gateway == gateway;
        ReplicaLoad {
            open_requests: self.engine.requests.iter().filter(is_own).count() as u32,
            remaining_prefill: milliseconds((busy_until - now_ms).max(0.0)),
            running_streams: streams,
            prefill_share: recent_ms / RECENT_MS,
            ..ReplicaLoad::default()
        }
    }

    fn has_cached(&self, request: &Request) -> bool {
        !request.is_long || self.cached.contains(&request.key)
    }

    fn cache(&mut self, key: u64) {
        self.cached.retain(|cached| *cached != key);
        self.cached.push(key);
        let excess = self.cached.len().saturating_sub(CACHED_PARTS);
        self.cached.drain(..excess);
    }
}

/// Replays the load and returns what was late.
pub fn replay(customer: &Customer, mode: Mode, is_overload: bool, seed: u64) -> Late {
    let mut replicas: Vec<Replica> = (0..REPLICAS)
        .map(|id| Replica {
            id_hash: xxh3_64_with_seed(&id.to_le_bytes(), seed),
            engine: Engine::new(id, customer.speed),
            reports: Vec::new(),
            cached: Vec::new(),
        })
        .collect();
    let start = Instant::now();
    let mut separation = Separation::default();
    for request in arrivals(customer, is_overload, seed) {
        let now_ms = request.arrived_ms;
        if is_overload && now_ms >= CHANGE_MS && replicas.len() as u64 == REPLICAS {
            // A quarter is lost, and new weights leave the caches empty.
            let mut number = 0;
            replicas.retain(|_| {
                number += 1;
                number % 4 != 0
            });
            replicas
                .iter_mut()
                .for_each(|replica| replica.cached.clear());
        }
        for replica in &mut replicas {
            replica.engine.run_until(now_ms);
            replica
                .reports
                .retain(|report| report.sent_ms > now_ms - RECENT_MS);
        }
        let demand = long_demand(&replicas, request.gateway, now_ms);
        separation.update(demand, replicas.len(), start + milliseconds(now_ms));
        send(&mut replicas, customer, mode, &separation, &request, seed);
    }
    let finished = replicas.iter_mut().flat_map(|replica| {
        replica.engine.run_until(f64::INFINITY);
        std::mem::take(&mut replica.engine.finished)
    });
    let counted = finished
        .filter(|work| work.arrived_ms >= CHANGE_MS)
        .collect();
    late(counted, customer)
}

/// The time that long prompts of all gateways take, as a share of one replica's time.
fn long_demand(replicas: &[Replica], gateway: usize, now_ms: f64) -> f64 {
    let reports = replicas.iter().flat_map(|replica| &replica.reports);
    let known = reports.filter(|report| report.is_long && report.is_known(gateway, now_ms));
    known.map(|report| report.prefill_ms).sum::<f64>() / RECENT_MS.min(now_ms.max(100.0))
}

/// Places the request and sends it to its replica.
fn send(
    replicas: &mut [Replica],
    customer: &Customer,
    mode: Mode,
    separation: &Separation,
    request: &Request,
    seed: u64,
) {
    let now_ms = request.arrived_ms;
    let kind = if request.is_long {
        &customer.long
    } else {
        &customer.short
    };
    let target = Some(Duration::from_millis(customer.pause_target_ms));
    let own_ms = request.own_tokens / ASSUMED_TOKENS_PER_MS;
    let shared_ms = kind.shared_tokens / ASSUMED_TOKENS_PER_MS;
    let profile = PromptProfile {
        prefill_time: milliseconds(own_ms),
        whole_prefill_time: milliseconds(own_ms + shared_ms),
        pause_target: target,
        service_pause_target: target,
    };
    let is_held = replicas.iter().any(|replica| replica.has_cached(request));
    let to_candidate = |replica: &Replica| {
        let load = replica.load(request.gateway, now_ms);
        let (fetch_ms, recompute_ms) = match (replica.has_cached(request), is_held) {
            (true, _) => (0.0, 0.0),
            (false, true) => (FETCH_COST_MS, 0.0),
            (false, false) => (0.0, 2.0 * shared_ms),
        };
        let stall = interference_cost_ms(&load, &profile);
        let side = separation.cost_ms(replica.id_hash, &profile);
        Candidate {
            id_hash: replica.id_hash,
            load,
            failure_rate: 0.0,
            has_outdated_weights: false,
            is_in_own_zone: true,
            fetch_time: milliseconds(fetch_ms),
            recompute_time: milliseconds(recompute_ms),
            service_time: Duration::ZERO,
            interference_cost_ms: match mode {
                Mode::Off => 0.0,
                Mode::Stall => stall,
                Mode::Separate => side,
                Mode::Both => stall + side,
            },
        }
    };
    let candidates: Vec<Candidate> = replicas.iter().map(to_candidate).collect();
    let placed = place(&candidates, Some(PlacementKey(request.key)), seed);
    let (chosen, _) = placed.expect("every request gets a replica");
    let replica = &mut replicas[chosen];
    let has_cached = replica.has_cached(request);
    let recomputed = if has_cached || is_held {
        0.0
    } else {
        kind.shared_tokens
    };
    if request.is_long {
        replica.cache(request.key);
    }
    replica.reports.push(Report {
        sent_ms: now_ms,
        gateway: request.gateway,
        is_long: request.is_long,
        prefill_ms: own_ms + recomputed / ASSUMED_TOKENS_PER_MS,
        // Tokens take about twice the time of an undisturbed step.
        stream_ms: f64::from(kind.output_tokens) * customer.speed.step_ms * 2.0,
    });
    replica.engine.requests.push(Work {
        arrived_ms: now_ms,
        ready_ms: if has_cached || !is_held {
            now_ms
        } else {
            now_ms + FETCH_MS
        },
        is_long: request.is_long,
        gateway: request.gateway,
        tokens_to_prefill: request.own_tokens + recomputed,
        output_tokens: request.output_tokens,
        generated: 0,
        first_event_ms: None,
        last_event_ms: None,
        longest_pause_ms: 0.0,
    });
}

fn late(finished: Vec<Work>, customer: &Customer) -> Late {
    let (long, short): (Vec<Work>, Vec<Work>) = finished.into_iter().partition(|work| work.is_long);
    let by_first_event = |works: &[Work], kind: &Kind| {
        share(works, |work| {
            work.first_event_ms
                .is_none_or(|first| first - work.arrived_ms > kind.objective_ms)
        })
    };
    let by_pause = |works: &[Work]| {
        share(works, |work| {
            work.longest_pause_ms > customer.pause_target_ms as f64
        })
    };
    Late {
        short_by_first_event: by_first_event(&short, &customer.short),
        short_by_pause: by_pause(&short),
        long_by_first_event: by_first_event(&long, &customer.long),
        long_by_pause: by_pause(&long),
    }
}

fn share(works: &[Work], is_late: impl Fn(&Work) -> bool) -> f64 {
    works.iter().filter(|work| is_late(work)).count() as f64 / works.len() as f64
}

/// Arrivals of both kinds in order. In an overload 2.6 times the long and 1.8 times the short prompts come.
fn arrivals(customer: &Customer, is_overload: bool, seed: u64) -> Vec<Request> {
    let mut sequence = 0_u64;
    let mut draw = || {
        sequence += 1;
        (xxh3_64_with_seed(&sequence.to_le_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut all = Vec::new();
    for (is_long, kind, growth) in [(true, customer.long, 2.6), (false, customer.short, 1.8)] {
        let mut now_ms = 0.0;
        loop {
            let factor = if is_overload && now_ms >= CHANGE_MS {
                growth
            } else {
                1.0
            };
            now_ms -= (1.0 - draw()).ln() * 1000.0 / (kind.per_second * factor);
            if now_ms >= END_MS {
                break;
            }
            let radius = (-2.0 * (1.0 - draw()).ln()).sqrt();
            let normal = radius * (std::f64::consts::TAU * draw()).cos();
            let own_tokens = (kind.own_tokens.ln() - 0.5 + normal).exp();
            // The share of a tenant is about inversely proportional to its number: a few are large.
            let tenant = (customer.tenants as f64).powf(draw()) as u64;
            let part = (draw() * PARTS_PER_TENANT as f64) as u64;
            all.push(Request {
                arrived_ms: now_ms,
                is_long,
                gateway: (draw() * customer.gateways as f64) as usize,
                key: (tenant * PARTS_PER_TENANT + part) * 2 + u64::from(is_long),
                own_tokens: own_tokens.clamp(1.0, 39_600.0),
                output_tokens: 1 + (f64::from(kind.output_tokens) * (0.5 + draw())) as u32,
            });
        }
    }
    all.sort_by(|left, right| left.arrived_ms.total_cmp(&right.arrived_ms));
    all
}

fn milliseconds(time: f64) -> Duration {
    Duration::from_secs_f64(time / 1000.0)
}
