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

const SPAN: Duration = Duration::from_secs(4);

/// All replicas of the service report a limit.
const REPLICAS: usize = 6;

/// The ratio of the arriving requests to the limits.
const DEMAND: f64 = 3.0;

/// Time without any requests.
const IDLE: Duration = Duration::from_secs(30);

/// Time with requests, after the idle time.
const BUSY: Duration = Duration::from_secs(60);

/// Time after the first request before the use of the limits is measured.
const WARM_UP: Duration = Duration::from_secs(10);

/// Minimum share of the allowed requests that must be sent under load.
const LEAST_USED: f64 = 0.7;

/// Maximum number of replicas that are tried for a request.
const MOST_ASKED: usize = 6;

const SIZES: [usize; 4] = [4, 20, 90, 985];
const LIMITS: [f64; 2] = [1.0, 2.5];

/// Decides whether a gateway may send.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Each gateway has an equal share of each limit.
    EqualShares,
    /// Three gateways have a third of a limit each; the others send nothing.
    FewSenders,
    /// The gateways ask the issuer of the replica.
    Permits,
}

/// Which gateways are unreachable.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// The first issuer of each replica is gone for good.
    FirstIssuersGone,
    /// Gateways with even and with odd numbers can't reach each other.
    Halved,
}

#[derive(Default)]
struct Daemon {
    issuer: PermitIssuer,
    silent: SilentIssuers,
    shares: HashMap<usize, TokenBucket>,
    paused_until: HashMap<usize, Instant>,
}

struct Scene {
    way: Way,
    trouble: Trouble,
    rate: RequestRate,
    random: StdRng,
    began: Instant,
    daemons: Vec<Daemon>,
    by_digest: HashMap<u64, usize>,
    /// The hashes of the issuers of each replica.
    issuers: Vec<Vec<u64>>,
    gone: HashSet<usize>,
    sends: Vec<Vec<Instant>>,
}

impl Scene {
    fn new(way: Way, trouble: Trouble, count: usize, limit: f64) -> Self {
        let listed = in_zones(count, &["a", "b", "c", "d", "e"]);
        let directory = Directory::new(&listed, &listed[0]);
        let by_digest: HashMap<u64, usize> = (listed.iter().enumerate())
            .map(|(number, daemon)| (name_digest(&daemon.name), number))
            .collect();
        let of_replica = |replica| name_digests(&issuers(&directory, life(replica)));
        let issuers: Vec<Vec<u64>> = (0..REPLICAS).map(of_replica).collect();
        let gone = match trouble {
            Trouble::FirstIssuersGone => {
                issuers.iter().map(|ranked| by_digest[&ranked[0]]).collect()
            }
            _ => HashSet::new(),
        };
        Self {
            way,
            trouble,
            rate: RequestRate::from_per_second(limit).expect("a rate"),
            random: StdRng::seed_from_u64(51),
            began: Instant::now(),
            daemons: (0..count).map(|_| Daemon::default()).collect(),
            by_digest,
            issuers,
            gone,
            sends: vec![Vec::new(); REPLICAS],
        }
    }

    fn play(mut self) -> Outcome {
        let per_second = self.rate.per_second() * REPLICAS as f64 * DEMAND;
        let mut at = IDLE;
        while at < IDLE + BUSY {
            let gap: f64 = -(1.0 - self.random.random::<f64>()).ln() / per_second;
            at += Duration::from_secs_f64(gap);
            let daemon = self.draw_daemon();
            self.request(daemon, self.began + at);
        }
        Outcome::of(&self)
    }

    fn draw_daemon(&mut self) -> usize {
        loop {
            let count = self.daemons.len();
            let busy = count.div_ceil(10);
            let among = if self.random.random::<bool>() {
                busy
            } else {
                count
            };
            let daemon = self.random.random_range(0..among);
            if !self.gone.contains(&daemon) {
                return daemon;
            }
        }
    }

    fn request(&mut self, daemon: usize, now: Instant) {
        let mut replicas: Vec<usize> = (0..REPLICAS).collect();
        replicas.shuffle(&mut self.random);
        let is_paused = |replica: &usize| {
            let until = self.daemons[daemon].paused_until.get(replica);
            until.is_some_and(|until| now < *until)
        };
        replicas.retain(|replica| !is_paused(replica));
        for replica in replicas.into_iter().take(MOST_ASKED) {
            match self.admit(daemon, replica, now) {
                Ok(()) => {
                    self.sends[replica].push(now);
                    return;
                }
                Err(wait) => {
                    let wait = wait.max(Duration::from_millis(20));
                    let paused_until = &mut self.daemons[daemon].paused_until;
                    paused_until.insert(replica, now + wait);
                }
            }
        }
    }

    fn admit(&mut self, daemon: usize, replica: usize, now: Instant) -> Result<(), Duration> {
        let of_all = self.daemons.len() as f64;
        match self.way {
            Way::EqualShares => self.take_share(daemon, replica, 1.0 / of_all, now),
            Way::FewSenders => {
                let senders = &self.issuers[replica];
                match senders
                    .iter()
                    .any(|sender| self.by_digest[sender] == daemon)
                {
                    true => self.take_share(daemon, replica, 1.0 / senders.len() as f64, now),
                    false => Err(Duration::from_secs(1)),
                }
            }
            Way::Permits => self.ask(daemon, replica, now),
        }
    }

    fn take_share(
        &mut self,
        daemon: usize,
        replica: usize,
        share: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let began = self.began;
        let shares = &mut self.daemons[daemon].shares;
        let bucket = shares
            .entry(replica)
            .or_insert_with(|| TokenBucket::empty(began));
        bucket.try_take(self.rate.per_second() * share, now)
    }

    /// Asks the issuers that are not known to be silent, until one answers.
    fn ask(&mut self, daemon: usize, replica: usize, now: Instant) -> Result<(), Duration> {
        let own = self.digest_of(daemon);
        let silent = &self.daemons[daemon].silent;
        let Some(place) = first_responding(&self.issuers[replica], own, silent, now) else {
            return Err(Duration::from_millis(250));
        };
        let issuer = self.issuers[replica][place];
        if issuer == own {
            return self.issue(daemon, replica, now);
        }
        silent.record_query(issuer, now);
        let number = self.by_digest[&issuer];
        if !self.reaches(daemon, number) {
            return self.ask(daemon, replica, now + PERMIT_ANSWER_TIMEOUT);
        }
        silent.record_answer(issuer);
        self.issue(number, replica, now)
    }

    fn issue(&self, issuer: usize, replica: usize, now: Instant) -> Result<(), Duration> {
        let daemon = &self.daemons[issuer];
        let higher_ranked = higher_ranked(&self.issuers[replica], self.digest_of(issuer));
        for earlier in higher_ranked
            .iter()
            .filter(|earlier| daemon.silent.may_probe(**earlier, now))
        {
            daemon.silent.record_query(*earlier, now);
            if self.reaches(issuer, self.by_digest[earlier]) {
                daemon.silent.record_answer(*earlier);
            }
        }
        let share = rate_share(higher_ranked, &daemon.silent, now);
        daemon.issuer.issue(life(replica), self.rate, share, now)
    }

    fn digest_of(&self, daemon: usize) -> u64 {
        name_digest(&format!("d{daemon}"))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_apart = self.trouble == Trouble::Halved && from % 2 != to % 2;
        !is_apart && !self.gone.contains(&to)
    }
}

fn life(replica: usize) -> u64 {
    1_000 + replica as u64
}

#[derive(Debug)]
struct Outcome {
    /// The most requests that a replica got in 4 s, as a share of what it tolerates.
    most: f64,
    /// The requests that the replicas got, as a share of their limits.
    used: f64,
}

impl Outcome {
    fn of(scene: &Scene) -> Self {
        let limit = scene.rate.per_second();
        let borne = 1.5 * limit * SPAN.as_secs_f64() + 5.0;
        let most = scene.sends.iter().map(|sends| most_in_span(sends)).max();
        let begin = scene.began + IDLE + WARM_UP;
        let counted = scene
            .sends
            .iter()
            .flatten()
            .filter(|at| **at >= begin)
            .count();
        let allowed = limit * REPLICAS as f64 * (BUSY - WARM_UP).as_secs_f64();
        Self {
            most: most.unwrap_or(0) as f64 / borne,
            used: counted as f64 / allowed,
        }
    }
}

fn most_in_span(sends: &[Instant]) -> usize {
    let from = |first: usize| {
        let within = sends[first..].iter();
        within.take_while(|at| **at - sends[first] < SPAN).count()
    };
    (0..sends.len()).map(from).max().unwrap_or(0)
}

fn play(way: Way, trouble: Trouble, count: usize, limit: f64) -> Outcome {
    let outcome = Scene::new(way, trouble, count, limit).play();
    println!(
        "{way:?} {trouble:?} {count} daemons, limit {limit}: most {:.2} of what is borne, used {:.2}",
        outcome.most, outcome.used
    );
    outcome
}

#[test]
fn permits_keep_limits_and_use_them_at_every_size() {
    for count in SIZES {
        for limit in LIMITS {
            let outcome = play(Way::Permits, Trouble::None, count, limit);
            assert!(outcome.most <= 1.0, "{outcome:?}");
            assert!(outcome.used >= LEAST_USED, "{outcome:?}");
        }
    }
}

#[test]
fn equal_shares_and_few_senders_do_not_at_the_largest() {
    for way in [Way::EqualShares, Way::FewSenders] {
        for count in SIZES {
            for limit in LIMITS {
                let outcome = play(way, Trouble::None, count, limit);
                let is_well = outcome.most <= 1.0 && outcome.used >= LEAST_USED;
                assert!(count < 985 || !is_well, "{outcome:?}");
            }
        }
    }
}

#[test]
fn permits_are_issued_where_the_first_issuers_are_gone() {
    for count in [20, 90, 985] {
        for limit in LIMITS {
            let outcome = play(Way::Permits, Trouble::FirstIssuersGone, count, limit);
            assert!(outcome.most <= 1.0, "{outcome:?}");
            assert!(outcome.used >= LEAST_USED, "{outcome:?}");
        }
    }
}

#[test]
fn halves_that_cannot_reach_each_other_send_no_more_than_the_limit_each() {
    for count in SIZES {
        for limit in LIMITS {
            let outcome = play(Way::Permits, Trouble::Halved, count, limit);
            let both = 2.0 * (4.5 * limit + 1.0) / (6.0 * limit + 5.0);
            assert!(outcome.most <= both, "{outcome:?}");
        }
    }
}
