//! Permits to send to replicas that limit their request rate, compared with equal shares and with few gateways
//! that may send at all.
//!
//! Simulates gateways in virtual time, with the real buckets, ranking and tracking of silent issuers. Half of
//! the requests arrive at a tenth of the gateways, since the load of gateways is uneven. A replica tolerates
//! what the platform specifies: one and a half times its limit in 4 s, plus 5.

#[path = "support/daemons.rs"]
mod daemons;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use daemons::in_zones;
use driftspring_clock::Instant;
use driftspring_gateway::peers::directory::{Directory, name_digest};
use driftspring_gateway::permits::bucket::TokenBucket;
use driftspring_gateway::permits::ranking::{
    first_responding, higher_ranked, issuers, name_digests, rate_share,
};
use driftspring_gateway::permits::silence::PERMIT_ANSWER_TIMEOUT;
use driftspring_gateway::permits::{PermitIssuer, SilentIssuers};
use driftspring_gateway::protocol::RequestRate;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// All replicas of the service report a limit.
const REPLICAS: usize = 6;

/// The ratio of the arriving requests to the limits.
const OVERLOAD_FACTOR: f64 = 3.0;

/// Time without any requests.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time with requests, after the idle time.
const LOAD_TIME: Duration = Duration::from_secs(60);

/// Time after the first request before the use of the limits is measured.
const WARM_UP: Duration = Duration::from_secs(10);

/// Minimum share of the allowed requests that must be sent under load.
const MIN_USED: f64 = 0.7;

/// Maximum number of replicas that are tried for a request.
const MAX_REPLICAS_TRIED: usize = 6;

const GATEWAY_COUNTS: [usize; 4] = [4, 20, 90, 985];
const LIMITS: [f64; 2] = [1.0, 2.5];

/// Decides whether a gateway may send.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// Each gateway has an equal share of each limit.
    EqualShares,
    /// Three gateways have a third of a limit each; the others send nothing.
    FewSenders,
    /// The gateways ask the issuer of the replica.
    Permits,
}

/// Which gateways are unreachable.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    None,
    /// The first issuer of each replica is gone for good.
    FirstIssuersGone,
    /// Gateways with even and with odd numbers can't reach each other.
    Partitioned,
}

#[derive(Default)]
struct Gateway {
    issuer: PermitIssuer,
    silent: SilentIssuers,
    shares: HashMap<usize, TokenBucket>,
    paused_until: HashMap<usize, Instant>,
}

struct Simulation {
    policy: Policy,
    failure: Failure,
    rate: RequestRate,
    random: StdRng,
    started_at: Instant,
    gateways: Vec<Gateway>,
    by_digest: HashMap<u64, usize>,
    /// The hashes of the issuers of each replica.
    issuers: Vec<Vec<u64>>,
    gone: HashSet<usize>,
    sends: Vec<Vec<Instant>>,
}

impl Simulation {
    fn new(policy: Policy, failure: Failure, count: usize, limit: f64) -> Self {
        let listed = in_zones(count, &["a", "b", "c", "d", "e"]);
        let directory = Directory::new(&listed, &listed[0]);
        let by_digest: HashMap<u64, usize> = (listed.iter().enumerate())
            .map(|(number, gateway)| (name_digest(&gateway.name), number))
            .collect();
        let of_replica = |replica| name_digests(&issuers(&directory, incarnation(replica)));
        let issuers: Vec<Vec<u64>> = (0..REPLICAS).map(of_replica).collect();
        let gone = match failure {
            Failure::FirstIssuersGone => {
                issuers.iter().map(|ranked| by_digest[&ranked[0]]).collect()
            }
            _ => HashSet::new(),
        };
        Self {
            policy,
            failure,
            rate: RequestRate::from_per_second(limit).expect("a rate"),
            random: StdRng::seed_from_u64(51),
            started_at: Instant::now(),
            gateways: (0..count).map(|_| Gateway::default()).collect(),
            by_digest,
            issuers,
            gone,
            sends: vec![Vec::new(); REPLICAS],
        }
    }

    fn run(mut self) -> Outcome {
        let per_second = self.rate.per_second() * REPLICAS as f64 * OVERLOAD_FACTOR;
        let mut at = IDLE_TIME;
        while at < IDLE_TIME + LOAD_TIME {
            let gap: f64 = -(1.0 - self.random.random::<f64>()).ln() / per_second;
            at += Duration::from_secs_f64(gap);
            let gateway = self.draw_gateway();
            self.request(gateway, self.started_at + at);
        }
        Outcome::of(&self)
    }

    fn draw_gateway(&mut self) -> usize {
        loop {
            let count = self.gateways.len();
            let busy = count.div_ceil(10);
            let range = if self.random.random::<bool>() {
                busy
            } else {
                count
            };
            let gateway = self.random.random_range(0..range);
            if !self.gone.contains(&gateway) {
                return gateway;
            }
        }
    }

    fn request(&mut self, gateway: usize, now: Instant) {
        let mut replicas: Vec<usize> = (0..REPLICAS).collect();
        replicas.shuffle(&mut self.random);
        let is_paused = |replica: &usize| {
            let until = self.gateways[gateway].paused_until.get(replica);
            until.is_some_and(|until| now < *until)
        };
        replicas.retain(|replica| !is_paused(replica));
        for replica in replicas.into_iter().take(MAX_REPLICAS_TRIED) {
            match self.admit(gateway, replica, now) {
                Ok(()) => {
                    self.sends[replica].push(now);
                    return;
                }
                Err(wait) => {
                    let wait = wait.max(Duration::from_millis(20));
                    let paused_until = &mut self.gateways[gateway].paused_until;
                    paused_until.insert(replica, now + wait);
                }
            }
        }
    }

    fn admit(&mut self, gateway: usize, replica: usize, now: Instant) -> Result<(), Duration> {
        let gateway_count = self.gateways.len() as f64;
        match self.policy {
            Policy::EqualShares => self.take_share(gateway, replica, 1.0 / gateway_count, now),
            Policy::FewSenders => {
                let senders = &self.issuers[replica];
                match senders
                    .iter()
                    .any(|sender| self.by_digest[sender] == gateway)
                {
                    true => self.take_share(gateway, replica, 1.0 / senders.len() as f64, now),
                    false => Err(Duration::from_secs(1)),
                }
            }
            Policy::Permits => self.ask(gateway, replica, now),
        }
    }

    fn take_share(
        &mut self,
        gateway: usize,
        replica: usize,
        share: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let started_at = self.started_at;
        let shares = &mut self.gateways[gateway].shares;
        let bucket = shares
            .entry(replica)
            .or_insert_with(|| TokenBucket::empty(started_at));
        bucket.try_take(self.rate.per_second() * share, now)
    }

    /// Asks the issuers that are not known to be silent, until one answers.
    fn ask(&mut self, gateway: usize, replica: usize, now: Instant) -> Result<(), Duration> {
        let own = self.digest_of(gateway);
        let silent = &self.gateways[gateway].silent;
        let Some(place) = first_responding(&self.issuers[replica], own, silent, now) else {
            return Err(Duration::from_millis(250));
        };
        let issuer = self.issuers[replica][place];
        if issuer == own {
            return self.issue(gateway, replica, now);
        }
        silent.record_query(issuer, now);
        let number = self.by_digest[&issuer];
        if !self.reaches(gateway, number) {
            return self.ask(gateway, replica, now + PERMIT_ANSWER_TIMEOUT);
        }
        silent.record_answer(issuer);
        self.issue(number, replica, now)
    }

    fn issue(&self, issuer: usize, replica: usize, now: Instant) -> Result<(), Duration> {
        let gateway = &self.gateways[issuer];
        let higher_ranked = higher_ranked(&self.issuers[replica], self.digest_of(issuer));
        for earlier in higher_ranked
            .iter()
            .filter(|earlier| gateway.silent.may_probe(**earlier, now))
        {
            gateway.silent.record_query(*earlier, now);
            if self.reaches(issuer, self.by_digest[earlier]) {
                gateway.silent.record_answer(*earlier);
            }
        }
        let share = rate_share(higher_ranked, &gateway.silent, now);
        gateway
            .issuer
            .issue(incarnation(replica), self.rate, share, now)
    }

    fn digest_of(&self, gateway: usize) -> u64 {
        name_digest(&format!("d{gateway}"))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_apart = self.failure == Failure::Partitioned && from % 2 != to % 2;
        !is_apart && !self.gone.contains(&to)
    }
}

fn incarnation(replica: usize) -> u64 {
    1_000 + replica as u64
}

#[derive(Debug)]
struct Outcome {
    /// The most requests that a replica got in 4 s, as a share of what it tolerates.
    peak: f64,
    /// The requests that the replicas got, as a share of their limits.
    used: f64,
}

impl Outcome {
    fn of(simulation: &Simulation) -> Self {
        let limit = simulation.rate.per_second();
        let tolerated = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0;
        let peak = simulation
            .sends
            .iter()
            .map(|sends| max_in_window(sends))
            .max();
        let measured_from = simulation.started_at + IDLE_TIME + WARM_UP;
        let counted = simulation
            .sends
            .iter()
            .flatten()
            .filter(|at| **at >= measured_from)
            .count();
        let allowed = limit * REPLICAS as f64 * (LOAD_TIME - WARM_UP).as_secs_f64();
        Self {
            peak: peak.unwrap_or(0) as f64 / tolerated,
            used: counted as f64 / allowed,
        }
    }
}

fn max_in_window(sends: &[Instant]) -> usize {
    let from = |first: usize| {
        let within = sends[first..].iter();
        within
            .take_while(|at| **at - sends[first] < LIMIT_WINDOW)
            .count()
    };
    (0..sends.len()).map(from).max().unwrap_or(0)
}

fn run(policy: Policy, failure: Failure, count: usize, limit: f64) -> Outcome {
    let outcome = Simulation::new(policy, failure, count, limit).run();
    println!(
        "{policy:?} {failure:?} {count} gateways, limit {limit}: peak {:.2} of what is tolerated, used {:.2}",
        outcome.peak, outcome.used
    );
    outcome
}

#[test]
fn permits_keep_and_use_limits_at_every_size() {
    for count in GATEWAY_COUNTS {
        for limit in LIMITS {
            let outcome = run(Policy::Permits, Failure::None, count, limit);
            assert!(outcome.peak <= 1.0, "{outcome:?}");
            assert!(outcome.used >= MIN_USED, "{outcome:?}");
        }
    }
}

#[test]
fn equal_shares_and_few_senders_fail_at_the_largest_size() {
    for policy in [Policy::EqualShares, Policy::FewSenders] {
        for count in GATEWAY_COUNTS {
            for limit in LIMITS {
                let outcome = run(policy, Failure::None, count, limit);
                let is_good = outcome.peak <= 1.0 && outcome.used >= MIN_USED;
                assert!(count < 985 || !is_good, "{outcome:?}");
            }
        }
    }
}

#[test]
fn permits_are_issued_where_the_first_issuers_are_gone() {
    for count in [20, 90, 985] {
        for limit in LIMITS {
            let outcome = run(Policy::Permits, Failure::FirstIssuersGone, count, limit);
            assert!(outcome.peak <= 1.0, "{outcome:?}");
            assert!(outcome.used >= MIN_USED, "{outcome:?}");
        }
    }
}

#[test]
fn partitioned_halves_send_at_most_the_limit_each() {
    for count in GATEWAY_COUNTS {
        for limit in LIMITS {
            let outcome = run(Policy::Permits, Failure::Partitioned, count, limit);
            let both = 2.0 * (4.5 * limit + 1.0) / (6.0 * limit + 5.0);
            assert!(outcome.peak <= both, "{outcome:?}");
        }
    }
}
