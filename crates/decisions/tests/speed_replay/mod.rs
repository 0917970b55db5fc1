//! Replays calls without a prompt against the decisions: gateways that know nothing of each other, and replicas with
//! slots and a queue, in steps of a millisecond.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::load::ReplicaLoad;
use driftspring_decisions::placement::{Candidate, place};
use driftspring_decisions::replica_speed::{
    AnswerTimes, HedgeShare, OpenCall, ReplicaSpeed, SecondChance,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::support::candidate;

/// Share of the calls that may be hedged.
const SAFE_SHARE: f64 = 0.33;

/// Weight of an outcome in the moving average of failures, as in the gateway.
const OUTCOME_WEIGHT: f64 = 0.08;

/// What is replayed.
pub struct Replay {
    pub gateways: usize,
    pub replicas: usize,
    pub slots: usize,
    /// Calls per second at all gateways.
    pub rate: f64,
    pub work_ms: f64,
    pub time_ms: u64,
    /// Whether the speed of replicas is used.
    pub is_enabled: bool,
    /// How many times as long as usual a replica takes at a time; 0: it fails at once.
    pub slowness: fn(replica: usize, at_ms: u64) -> f64,
    pub seed: u64,
}

/// A call that has ended.
pub struct Ended {
    pub arrived_ms: u64,
    pub took_ms: u64,
    pub replica: usize,
    pub has_failed: bool,
}

/// What came of a replay.
#[derive(Default)]
pub struct Outcome {
    pub calls: Vec<Ended>,
    pub hedged: usize,
}

#[derive(Default, Clone)]
struct Gateway {
    times: AnswerTimes,
    share: HedgeShare,
    speeds: Vec<ReplicaSpeed>,
    failure_rates: Vec<f64>,
}

#[derive(Clone)]
struct Job {
    id: usize,
    gateway: usize,
    arrived_ms: u64,
    call: OpenCall,
    left_ms: f64,
    is_safe: bool,
    is_second: bool,
}

struct World<'a> {
    replay: &'a Replay,
    gateways: Vec<Gateway>,
    /// The requests at each replica, in the order of their arrival; the first ones run.
    jobs: Vec<Vec<Job>>,
    outcome: Outcome,
    arrivals: usize,
    draws: u64,
    now: Instant,
    at_ms: u64,
}

impl Replay {
    /// Plays all calls.
    pub fn play(&self) -> Outcome {
        let gateway = Gateway {
            speeds: vec![ReplicaSpeed::default(); self.replicas],
            failure_rates: vec![0.0; self.replicas],
            ..Gateway::default()
        };
        let began = Instant::now();
        let mut world = World {
            replay: self,
            gateways: vec![gateway; self.gateways],
            jobs: vec![Vec::new(); self.replicas],
            outcome: Outcome::default(),
            arrivals: 0,
            draws: 0,
            now: began,
            at_ms: 0,
        };
        let mut next_ms = 0.0;
        for at_ms in 0..self.time_ms {
            world.at_ms = at_ms;
            world.now = began + Duration::from_millis(at_ms);
            while next_ms <= at_ms as f64 {
                next_ms += -world.draw().max(1e-12).ln() * 1000.0 / self.rate;
                world.arrive();
            }
            world.hedge_due();
            for replica in 0..self.replicas {
                world.work(replica);
            }
        }
        world.outcome
    }
}

impl World<'_> {
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.replay.seed) as f64 / u64::MAX as f64
    }

    fn arrive(&mut self) {
        let gateway = (self.draw() * self.replay.gateways as f64) as usize;
        let gateway = gateway.min(self.replay.gateways - 1);
        self.arrivals += 1;
        let job = Job {
            id: self.arrivals,
            gateway,
            arrived_ms: self.at_ms,
            call: OpenCall {
                sent_at: self.now,
                usual: self.gateways[gateway].times.usual(),
            },
            left_ms: self.replay.work_ms * (0.8 + 0.4 * self.draw()),
            is_safe: self.draw() < SAFE_SHARE,
            is_second: false,
        };
        self.gateways[gateway].share.earn();
        self.send(job, None);
    }

    fn send(&mut self, job: Job, except: Option<usize>) {
        let seed = self.draw().to_bits();
        let chosen = self.choose(&job, except, seed);
        self.jobs[chosen].push(job);
    }

    fn choose(&self, job: &Job, except: Option<usize>, seed: u64) -> usize {
        let gateway = &self.gateways[job.gateway];
        let open = |replica: usize| {
            let jobs = self.jobs[replica].iter();
            jobs.filter(|other| other.gateway == job.gateway)
                .map(|job| &job.call)
        };
        let is_enabled = self.replay.is_enabled;
        let chance = match job.is_safe {
            true => SecondChance::Hedged,
            false => SecondChance::Without,
        };
        let all = 0..self.replay.replicas;
        let mut listed: Vec<usize> = all.filter(|replica| Some(*replica) != except).collect();
        let has_room =
            |replica: &usize| open(*replica).count() < gateway.speeds[*replica].limit() as usize;
        if is_enabled && listed.iter().any(has_room) {
            listed.retain(has_room);
        }
        let usual = gateway.times.usual();
        let to_candidate = |replica: &usize| {
            let mut load: ReplicaLoad = candidate(0, open(*replica).count() as u32).load;
            if is_enabled {
                load.slowdown = gateway.speeds[*replica].slowdown(open(*replica), chance, self.now);
            }
            Candidate {
                load,
                failure_rate: gateway.failure_rates[*replica],
                service_time: usual.map_or(Duration::ZERO, |usual| usual.typical),
                ..candidate(*replica as u64, 0)
            }
        };
        let candidates: Vec<Candidate> = listed.iter().map(to_candidate).collect();
        listed[place(&candidates, None, seed).expect("some").0]
    }

    /// Sends the calls a second time whose delay has passed in this millisecond.
    fn hedge_due(&mut self) {
        if !self.replay.is_enabled {
            return;
        }
        let is_due = |job: &Job| {
            let usual = self.gateways[job.gateway].times.usual();
            let age = self.now.saturating_duration_since(job.call.sent_at);
            let past = usual.and_then(|usual| age.checked_sub(usual.hedge_delay()));
            past.is_some_and(|past| past < Duration::from_millis(1))
        };
        let mut due = Vec::new();
        for (replica, jobs) in self.jobs.iter().enumerate() {
            let open = jobs.iter().filter(|job| job.is_safe && !job.is_second);
            due.extend(
                open.filter(|job| is_due(job))
                    .map(|job| (replica, job.clone())),
            );
        }
        for (first, mut job) in due {
            let share = &mut self.gateways[job.gateway].share;
            if share.is_left(self.now) {
                share.spend();
                self.outcome.hedged += 1;
                job.call.sent_at = self.now;
                job.left_ms = self.replay.work_ms;
                job.is_second = true;
                self.send(job, Some(first));
            }
        }
    }

    /// One millisecond of a replica.
    fn work(&mut self, replica: usize) {
        let slowness = (self.replay.slowness)(replica, self.at_ms);
        let progress = match slowness > 0.0 {
            true => 1.0 / slowness,
            false => f64::MAX,
        };
        for job in self.jobs[replica].iter_mut().take(self.replay.slots) {
            job.left_ms -= progress;
        }
        let has_ended = |job: &&Job| job.left_ms <= 0.0;
        let ended: Vec<Job> = self.jobs[replica]
            .iter()
            .filter(has_ended)
            .cloned()
            .collect();
        for job in ended {
            self.end(replica, &job, slowness == 0.0);
        }
    }

    /// Ends a call that this replica has answered, wherever else it is open.
    fn end(&mut self, winner: usize, job: &Job, has_failed: bool) {
        let gateway = &mut self.gateways[job.gateway];
        let rate = &mut gateway.failure_rates[winner];
        *rate += OUTCOME_WEIGHT * (f64::from(u8::from(has_failed)) - *rate);
        for (replica, jobs) in self.jobs.iter_mut().enumerate() {
            let own = jobs.iter().filter(|other| other.gateway == job.gateway);
            let open = own.count() as u32;
            let Some(position) = jobs.iter().position(|other| other.id == job.id) else {
                continue;
            };
            let call = jobs.remove(position).call;
            let speed = &mut gateway.speeds[replica];
            if replica != winner {
                speed.record_at_least(&call, open, self.now);
            } else if !has_failed {
                let time = self.now.saturating_duration_since(call.sent_at);
                let slowdown = speed.slowdown([], SecondChance::Hedged, self.now);
                let id = replica as u64;
                gateway.times.add(id, time, slowdown, self.now);
                speed.record_answer(&call, open, self.now);
            }
        }
        self.outcome.calls.push(Ended {
            arrived_ms: job.arrived_ms,
            took_ms: self.at_ms - job.arrived_ms,
            replica: winner,
            has_failed,
        });
    }
}
