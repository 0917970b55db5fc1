//! Draws the requests of a run.
//!
//! Requests come in sessions (a truck under inspection, a sheet under revision): the sessions arrive as a
//! Poisson process, each draws a path through the shared levels and a unique text on the last
//! level, and its requests follow one another at random gaps. A share of the requests goes instead to
//! the few prefixes that are hot at the time.

use std::time::Duration;

use driftspring_types::{ModelName, TenantId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::prompt::{Prompt, Segment};
use super::shape::{HotPrefixes, Service, Workload};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceRequest {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Who sends it.
    pub tenant: TenantId,
    /// For which model.
    pub model: ModelName,
    /// The zone whose daemons it reaches.
    pub zone: usize,
    /// Its prompt.
    pub prompt: Prompt,
    /// Tokens of its answer.
    pub answer_tokens: u32,
}

/// The requests of a run in the order of their times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<TraceRequest>,
}

/// What a session's requests share.
#[derive(Debug, Clone)]
struct Session {
    tenant: usize,
    /// The zone that its requests reach; any where they come from everywhere.
    zone: Option<usize>,
    shared: Vec<Segment>,
}

struct ServiceTrace<'a> {
    workload: &'a Workload,
    service: &'a Service,
    service_seed: u64,
    length: Duration,
    random: SmallRng,
    requests: Vec<TraceRequest>,
}

impl Trace {
    /// Draws the trace of `workload` over `length`.
    pub fn draw(workload: &Workload, length: Duration, seed: u64) -> Self {
        let mut requests = Vec::new();
        for (number, service) in workload.services.iter().enumerate() {
            let service_seed = mix(seed, number as u64);
            let drawing = ServiceTrace {
                workload,
                service,
                service_seed,
                length,
                random: SmallRng::seed_from_u64(service_seed),
                requests: Vec::new(),
            };
            requests.extend(drawing.draw());
        }
        requests.sort_by_key(|request| request.at);
        Self { requests }
    }
}

impl ServiceTrace<'_> {
    fn draw(mut self) -> Vec<TraceRequest> {
        let hot = self.workload.hot;
        let session_rate =
            self.service.requests_per_second * (1.0 - hot.share) / self.service.session_requests;
        let end = self.length + self.run_up();
        let mut start = self.exponential(1.0 / session_rate);
        while start < end {
            self.draw_session(start);
            start += self.exponential(1.0 / session_rate);
        }
        self.draw_hot(hot);
        self.requests
    }

    /// How long before the run the first sessions begin, so that the run starts at its full rate.
    fn run_up(&self) -> Duration {
        const SESSION_LENGTHS: f64 = 5.0;
        let session_length = self
            .service
            .session_gap
            .mul_f64(self.service.session_requests);
        session_length.mul_f64(SESSION_LENGTHS)
    }

    /// Draws the session that begins at `start`, counted from the beginning of the run-up.
    fn draw_session(&mut self, start: Duration) {
        let tenant = self.draw_tenant();
        let session = self.session(tenant, None);
        let continues = 1.0 - 1.0 / self.service.session_requests;
        let run_up = self.run_up();
        let mut at = start;
        while at < self.length + run_up {
            if let Some(at) = at.checked_sub(run_up) {
                self.push(at, &session);
            }
            if !self.random.random_bool(continues) {
                return;
            }
            at += self.exponential(self.service.session_gap.as_secs_f64());
        }
    }

    fn draw_hot(&mut self, hot: HotPrefixes) {
        let rate = self.service.requests_per_second * hot.share;
        let mut at = self.exponential(1.0 / rate);
        while at < self.length {
            let period = at.as_nanos() / hot.period.as_nanos();
            let which = self.random.random_range(0..hot.count) as u64;
            let hot_seed = mix(mix(self.service_seed, period as u64), which);
            let tenant = mix(hot_seed, 1) as usize % self.workload.tenant_shares.len();
            let session = self.session(tenant, Some(hot_seed));
            self.push(at, &session);
            at += self.exponential(1.0 / rate);
        }
    }

    /// A path through the levels: drawn at random, or the one that `fixed` determines.
    fn session(&mut self, tenant: usize, fixed: Option<u64>) -> Session {
        let mut parent = mix(self.service_seed, tenant as u64);
        let mut shared = Vec::new();
        let last = self.service.levels.len() - 1;
        for (depth, level) in self.service.levels.iter().enumerate() {
            let drawn = fixed.map_or_else(|| self.random.random(), |seed| mix(seed, depth as u64));
            let is_own = depth == last;
            let choice = if is_own {
                drawn
            } else {
                drawn % level.choices as u64
            };
            parent = mix(parent, choice);
            shared.push(Segment {
                seed: parent,
                bytes: level.bytes,
            });
        }
        let zone = self.random.random_range(0..self.workload.zones);
        let zone = fixed.is_none().then_some(zone);
        Session {
            tenant,
            zone,
            shared,
        }
    }

    fn push(&mut self, at: Duration, session: &Session) {
        let mut segments = session.shared.clone();
        segments.push(Segment {
            seed: self.random.random(),
            bytes: self.service.note_bytes,
        });
        let any_zone = self.random.random_range(0..self.workload.zones);
        let zone = session.zone.unwrap_or(any_zone);
        let request = TraceRequest {
            at,
            tenant: TenantId::new(format!("tenant-{}", session.tenant)),
            model: self.service.model.into(),
            zone,
            prompt: Prompt { segments },
            answer_tokens: self.service.answer_tokens,
        };
        self.requests.push(request);
    }

    fn draw_tenant(&mut self) -> usize {
        let mut rest: f64 = self.random.random();
        for (tenant, share) in self.workload.tenant_shares.iter().enumerate() {
            rest -= share;
            if rest < 0.0 {
                return tenant;
            }
        }
        0
    }

    fn exponential(&mut self, mean_seconds: f64) -> Duration {
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() * mean_seconds)
    }
}

/// A number that depends on both arguments and looks random.
fn mix(seed: u64, number: u64) -> u64 {
    let mut mixed = seed ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
