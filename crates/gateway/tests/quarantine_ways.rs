//! Compares by simulation three policies for requests that were open together with one that crashes replicas.
//!
//! Replicas restart a second after each crash. Poison requests arrive every 0.1 to 0.4 s and crash a replica
//! after 40 ms; harmless ones arrive all the time and run for 0.4 s. What one gateway knows, all gateways know
//! at once.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_gateway::quarantine::ledger::Ledger;
use driftspring_gateway::quarantine::{Fingerprint, Role, Strike, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const START: Duration = Duration::from_secs(1_000_000);
const STEP_MS: u64 = 5;
const DURATION_MS: u64 = 40_000;
const RESTART_MS: u64 = 1000;
const POISON_RUN_MS: u64 = 40;
const HARMLESS_RUN_MS: u64 = 400;
/// The time after the last crash from which harmless requests are counted.
const RECOVERY_MS: u64 = 12_000;

/// The crashes that a request may cause if no other one crashes replicas.
const CRASHES_ALONE: usize = 3;

/// The same if other requests crash replicas within 100 ms each time: such crashes, except for the last,
/// count half, since they may be one event that hits many replicas.
const CRASHES_WITH_CONCURRENT_POISON: usize = 5;

/// The crashes that its isolated trial may cause.
const TRIAL_CRASHES: usize = 1;

/// The number of replicas from which two requests keep crashing replicas at the same time; if there are
/// fewer, all of them are down most of the time.
const MANY_REPLICAS: usize = 16;

/// How requests are judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Three crashes without a completed answer in between quarantine a request; it is not tried within an
    /// hour.
    CompletionsClear,
    /// At least three crashes, and fewer completed answers than crashes since the first one, quarantine a
    /// request.
    CompletionRatio,
    /// As with `CompletionsClear`, but requests with the same crashes are tried in isolation.
    IsolatedTrials,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    replicas: usize,
    harmless: u64,
    poison: u64,
}

struct InFlight {
    request: u64,
    replica: usize,
    started_at: u64,
    finishes_at: u64,
    /// Whether it is the second run of its attempt.
    is_repeat: bool,
}

struct Replica {
    incarnation: u64,
    up_at: u64,
}

/// The results of one simulation.
struct Outcome {
    crashes: usize,
    sent: usize,
    served: usize,
}

struct Simulation {
    policy: Policy,
    scenario: Scenario,
    random: SmallRng,
    ledger: Ledger,
    /// Crashes, and completed answers since the first crash, by request.
    counts: HashMap<u64, (u32, u32)>,
    replicas: Vec<Replica>,
    runs: Vec<InFlight>,
    crashes: Vec<u64>,
    /// When harmless requests were sent, and whether they were served.
    answers: Vec<(u64, bool)>,
}

fn at(now: u64) -> Duration {
    START + Duration::from_millis(now)
}

fn fingerprint(request: u64) -> Fingerprint {
    Fingerprint::from_number(u128::from(request) * 0x9E37_79B9_7F4A_7C15)
}

impl Simulation {
    fn new(policy: Policy, scenario: Scenario, seed: u64) -> Self {
        let replicas = 0..scenario.replicas;
        Self {
            policy,
            scenario,
            random: SmallRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            counts: HashMap::new(),
            replicas: replicas
                .map(|_| Replica {
                    incarnation: 0,
                    up_at: 0,
                })
                .collect(),
            runs: Vec::new(),
            crashes: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn is_poison(&self, request: u64) -> bool {
        request < self.scenario.poison
    }

    fn may_send(&mut self, request: u64, now: u64, is_repeat: bool) -> bool {
        if self.policy == Policy::CompletionRatio {
            let (crashes, completed) = self.counts.get(&request).copied().unwrap_or_default();
            return crashes < 3 || completed >= crashes;
        }
        match self.ledger.verdict(fingerprint(request), at(now)) {
            Verdict::Clear => true,
            Verdict::Suspicious => !is_repeat,
            Verdict::IsolatedTrialDue(_) if self.policy == Policy::IsolatedTrials => {
                self.ledger
                    .begin_isolated_trial(fingerprint(request), at(now));
                true
            }
            Verdict::IsolatedTrialDue(_) | Verdict::TrialDue | Verdict::Quarantined => false,
        }
    }

    /// Sends a request to a replica that is up; returns whether it was sent.
    fn send(&mut self, request: u64, now: u64, is_repeat: bool) -> bool {
        let up = self.replicas.iter().enumerate();
        let up = up.filter(|(_, replica)| replica.up_at <= now);
        let up: Vec<usize> = up.map(|(number, _)| number).collect();
        if up.is_empty() || !self.may_send(request, now, is_repeat) {
            return false;
        }
        let replica = up[self.random.random_range(0..up.len())];
        let work = if self.is_poison(request) {
            POISON_RUN_MS
        } else {
            HARMLESS_RUN_MS
        };
        self.runs.push(InFlight {
            request,
            replica,
            started_at: now,
            finishes_at: now + work,
            is_repeat,
        });
        true
    }

    fn crash_replica(&mut self, number: usize, now: u64) {
        self.crashes.push(now);
        let replica = &mut self.replicas[number];
        let digest = (number as u64) << 32 | replica.incarnation;
        replica.incarnation += 1;
        replica.up_at = now + RESTART_MS;
        let (lost, kept): (Vec<InFlight>, Vec<InFlight>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.replica == number);
        self.runs = kept;
        for run in &lost {
            let strike = Strike {
                replica: digest,
                at: at(now),
                is_coincident: false,
                began_at: Some(at(run.started_at)),
            };
            let request = fingerprint(run.request);
            self.ledger.strike(request, strike, Role::Home, at(now));
        }
        let mut struck: Vec<u64> = lost.iter().map(|run| run.request).collect();
        struck.sort_unstable();
        struck.dedup();
        for request in struck {
            self.counts.entry(request).or_default().0 += 1;
        }
        for run in lost {
            let may_send = !run.is_repeat && self.send(run.request, now, true);
            if !may_send && !self.is_poison(run.request) {
                self.answers.push((run.started_at, false));
            }
        }
    }

    fn finish_runs(&mut self, now: u64) {
        while let Some(place) = self.runs.iter().position(|run| run.finishes_at <= now) {
            let run = self.runs.swap_remove(place);
            if self.is_poison(run.request) {
                let number = run.replica;
                self.runs.push(run);
                self.crash_replica(number, now);
                continue;
            }
            self.ledger.clear(fingerprint(run.request), at(now));
            if let Some((_, completed)) = self.counts.get_mut(&run.request) {
                *completed += 1;
            }
            self.answers.push((run.started_at, true));
        }
    }

    fn run(mut self) -> Outcome {
        let mut next_poison = vec![2000; self.scenario.poison as usize];
        let every = if self.scenario.harmless > 1 { 100 } else { 40 };
        for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
            self.finish_runs(now);
            for request in 0..self.scenario.poison {
                if next_poison[request as usize] <= now {
                    self.send(request, now, false);
                    next_poison[request as usize] = now + self.random.random_range(100..=400);
                }
            }
            for request in self.scenario.poison..self.scenario.poison + self.scenario.harmless {
                let is_time = (now + request * STEP_MS).is_multiple_of(every);
                if is_time && !self.send(request, now, false) {
                    self.answers.push((now, false));
                }
            }
        }
        let last = self.crashes.last().copied().unwrap_or(0);
        let counted = self.answers.iter();
        let counted = counted.filter(|(sent_at, _)| *sent_at >= last + RECOVERY_MS);
        let counted: Vec<bool> = counted.map(|(_, is_served)| *is_served).collect();
        Outcome {
            crashes: self.crashes.len(),
            sent: counted.len(),
            served: counted.iter().filter(|is_served| **is_served).count(),
        }
    }
}

/// Results of one scenario under one policy: the maximum and mean number of crashes, and the minimum and mean
/// share of requests served.
#[derive(Debug)]
struct Summary {
    max_crashes: usize,
    mean_crashes: f64,
    min_served: f64,
    mean_served: f64,
}

fn summary(policy: Policy, scenario: Scenario) -> Summary {
    const RUNS: u64 = 50;
    let outcomes: Vec<Outcome> = (0..RUNS)
        .map(|seed| Simulation::new(policy, scenario, seed).run())
        .collect();
    let shares: Vec<f64> = outcomes
        .iter()
        .filter(|outcome| outcome.sent > 0)
        .map(|outcome| outcome.served as f64 / outcome.sent as f64)
        .collect();
    let crashes = outcomes.iter().map(|outcome| outcome.crashes);
    Summary {
        max_crashes: crashes.clone().max().unwrap_or(0),
        mean_crashes: crashes.sum::<usize>() as f64 / RUNS as f64,
        min_served: shares.iter().copied().fold(1.0, f64::min),
        mean_served: shares.iter().sum::<f64>() / shares.len().max(1) as f64,
    }
}

#[test]
fn requests_tried_in_isolation_are_served_again_and_cost_one_more_crash() {
    let scenarios = [
        (3, 0, 1),
        (3, 1, 1),
        (3, 4, 1),
        (3, 9, 1),
        (3, 1, 2),
        (3, 4, 2),
        (16, 4, 1),
        (16, 4, 2),
    ];
    let mut failures = Vec::new();
    for (replicas, harmless, poison) in scenarios {
        let scenario = Scenario {
            replicas,
            harmless,
            poison,
        };
        for policy in [
            Policy::CompletionsClear,
            Policy::CompletionRatio,
            Policy::IsolatedTrials,
        ] {
            let summary = summary(policy, scenario);
            println!(
                "seeds 0 to 49, {scenario:?}, {policy:?}: {} crashes at the most, {:.2} in the mean; served {:.3} at the least, {:.3} in the mean",
                summary.max_crashes, summary.mean_crashes, summary.min_served, summary.mean_served
            );
            let allowed_crashes = match (harmless, poison) {
                (0, _) => CRASHES_ALONE,
                (_, 1) => CRASHES_ALONE + TRIAL_CRASHES,
                (_, poison) if replicas < MANY_REPLICAS => {
                    (CRASHES_ALONE + TRIAL_CRASHES) * poison as usize
                }
                (_, poison) => (CRASHES_WITH_CONCURRENT_POISON + TRIAL_CRASHES) * poison as usize,
            };
            let holds = summary.max_crashes <= allowed_crashes && summary.min_served >= 0.98;
            if policy == Policy::IsolatedTrials && !holds {
                failures.push(format!("{scenario:?}: {summary:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
