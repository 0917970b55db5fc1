//! Three ways to treat requests that were open together with one that ends replicas, compared by simulation.
//!
//! Replicas are back a second after each end. Deadly requests come each 0.1 to 0.4 s and end a replica after 40 ms; harmless
//! ones come all the time and run for 0.4 s. All daemons know at once what one knows.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_gateway::quarantine::ledger::Ledger;
use driftspring_gateway::quarantine::{Fingerprint, Role, Strike, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const START: Duration = Duration::from_secs(1_000_000);
const STEP_MS: u64 = 5;
const END_MS: u64 = 40_000;
const AWAY_MS: u64 = 1000;
const LIFE_MS: u64 = 40;
const WORK_MS: u64 = 400;
/// From when on after the last end harmless requests are looked at.
const SETTLED_MS: u64 = 12_000;

/// Replicas that a request may end where no other one ends some.
const ENDS_ALONE: usize = 3;

/// The same where others end replicas each time within 100 ms: such ends count half but the last, since they may be one crash
/// of many.
const ENDS_AT_ONE_TIME_WITH_OTHERS: usize = 5;

/// What its trial may cost.
const TRIALS: usize = 1;

/// The least replicas of a service that are so many that two requests which end some do so at one time again and again: a few
/// are all away for most of the time.
const MANY_REPLICAS: usize = 16;

/// How a request is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Three ends without a whole answer between hold it; nothing tries it within the hour.
    WholeAnswers,
    /// At least three ends, and fewer whole answers than ends since the first of them, hold it.
    Likelihood,
    /// As the first; those that were open at the same ends are tried apart.
    TriedApart,
}

#[derive(Debug, Clone, Copy)]
struct Scene {
    replicas: usize,
    harmless: u64,
    deadly: u64,
}

struct Run {
    request: u64,
    replica: usize,
    began: u64,
    ends: u64,
    /// Whether it is the second one of its try.
    is_repeat: bool,
}

struct Replica {
    life: u64,
    back_at: u64,
}

/// What happened in one play.
struct Outcome {
    ends: usize,
    sent: usize,
    served: usize,
}

struct Play {
    way: Way,
    scene: Scene,
    random: SmallRng,
    ledger: Ledger,
    /// Ends and whole answers since the first end.
    counts: HashMap<u64, (u32, u32)>,
    replicas: Vec<Replica>,
    runs: Vec<Run>,
    ends: Vec<u64>,
    /// When harmless requests were sent, and whether they were served.
    answers: Vec<(u64, bool)>,
}

fn at(now: u64) -> Duration {
    START + Duration::from_millis(now)
}

fn fingerprint(request: u64) -> Fingerprint {
    Fingerprint::from_number(u128::from(request) * 0x9E37_79B9_7F4A_7C15)
}

impl Play {
    fn new(way: Way, scene: Scene, seed: u64) -> Self {
        let replicas = 0..scene.replicas;
        Self {
            way,
            scene,
            random: SmallRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            counts: HashMap::new(),
            replicas: replicas
                .map(|_| Replica {
                    life: 0,
                    back_at: 0,
                })
                .collect(),
            runs: Vec::new(),
            ends: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn is_deadly(&self, request: u64) -> bool {
        request < self.scene.deadly
    }

    fn is_sent(&mut self, request: u64, now: u64, is_repeat: bool) -> bool {
        if self.way == Way::Likelihood {
            let (ends, good) = self.counts.get(&request).copied().unwrap_or_default();
            return ends < 3 || good >= ends;
        }
        match self.ledger.verdict(fingerprint(request), at(now)) {
            Verdict::Clear => true,
            Verdict::Suspicious => !is_repeat,
            Verdict::Apart(_) if self.way == Way::TriedApart => {
                self.ledger.begin_apart(fingerprint(request), at(now));
                true
            }
            Verdict::Apart(_) | Verdict::Due | Verdict::Quarantined => false,
        }
    }

    /// Sends a request to a replica that is there; false where none gets it.
    fn send(&mut self, request: u64, now: u64, is_repeat: bool) -> bool {
        let up = self.replicas.iter().enumerate();
        let up = up.filter(|(_, replica)| replica.back_at <= now);
        let up: Vec<usize> = up.map(|(number, _)| number).collect();
        if up.is_empty() || !self.is_sent(request, now, is_repeat) {
            return false;
        }
        let replica = up[self.random.random_range(0..up.len())];
        let work = if self.is_deadly(request) {
            LIFE_MS
        } else {
            WORK_MS
        };
        self.runs.push(Run {
            request,
            replica,
            began: now,
            ends: now + work,
            is_repeat,
        });
        true
    }

    fn end_replica(&mut self, number: usize, now: u64) {
        self.ends.push(now);
        let replica = &mut self.replicas[number];
        let digest = (number as u64) << 32 | replica.life;
        replica.life += 1;
        replica.back_at = now + AWAY_MS;
        let (lost, kept): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.replica == number);
        self.runs = kept;
        for run in &lost {
            let strike = Strike {
                replica: digest,
                at: at(now),
                is_coincident: false,
                began_at: Some(at(run.began)),
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
            let is_sent = !run.is_repeat && self.send(run.request, now, true);
            if !is_sent && !self.is_deadly(run.request) {
                self.answers.push((run.began, false));
            }
        }
    }

    fn finish_runs(&mut self, now: u64) {
        while let Some(place) = self.runs.iter().position(|run| run.ends <= now) {
            let run = self.runs.swap_remove(place);
            if self.is_deadly(run.request) {
                let number = run.replica;
                self.runs.push(run);
                self.end_replica(number, now);
                continue;
            }
            self.ledger.clear(fingerprint(run.request), at(now));
            if let Some((_, good)) = self.counts.get_mut(&run.request) {
                *good += 1;
            }
            self.answers.push((run.began, true));
        }
    }

    fn play(mut self) -> Outcome {
        let mut next_deadly = vec![2000; self.scene.deadly as usize];
        let every = if self.scene.harmless > 1 { 100 } else { 40 };
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.finish_runs(now);
            for request in 0..self.scene.deadly {
                if next_deadly[request as usize] <= now {
                    self.send(request, now, false);
                    next_deadly[request as usize] = now + self.random.random_range(100..=400);
                }
            }
            for request in self.scene.deadly..self.scene.deadly + self.scene.harmless {
                let is_time = (now + request * STEP_MS).is_multiple_of(every);
                if is_time && !self.send(request, now, false) {
                    self.answers.push((now, false));
                }
            }
        }
        let last = self.ends.last().copied().unwrap_or(0);
        let looked_at = self.answers.iter();
        let looked_at = looked_at.filter(|(sent_at, _)| *sent_at >= last + SETTLED_MS);
        let looked_at: Vec<bool> = looked_at.map(|(_, is_served)| *is_served).collect();
        Outcome {
            ends: self.ends.len(),
            sent: looked_at.len(),
            served: looked_at.iter().filter(|is_served| **is_served).count(),
        }
    }
}

/// Plays of one scene in one way: the most ends, the mean of them, the smallest share that was served, the mean share.
#[derive(Debug)]
struct Summary {
    most_ends: usize,
    mean_ends: f64,
    least_served: f64,
    mean_served: f64,
}

fn summary(way: Way, scene: Scene) -> Summary {
    const PLAYS: u64 = 50;
    let outcomes: Vec<Outcome> = (0..PLAYS)
        .map(|seed| Play::new(way, scene, seed).play())
        .collect();
    let shares: Vec<f64> = outcomes
        .iter()
        .filter(|outcome| outcome.sent > 0)
        .map(|outcome| outcome.served as f64 / outcome.sent as f64)
        .collect();
    let ends = outcomes.iter().map(|outcome| outcome.ends);
    Summary {
        most_ends: ends.clone().max().unwrap_or(0),
        mean_ends: ends.sum::<usize>() as f64 / PLAYS as f64,
        least_served: shares.iter().copied().fold(1.0, f64::min),
        mean_served: shares.iter().sum::<f64>() / shares.len().max(1) as f64,
    }
}

#[test]
fn those_tried_apart_are_served_again_and_cost_one_end_more() {
    let scenes = [
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
    for (replicas, harmless, deadly) in scenes {
        let scene = Scene {
            replicas,
            harmless,
            deadly,
        };
        for way in [Way::WholeAnswers, Way::Likelihood, Way::TriedApart] {
            let summary = summary(way, scene);
            println!(
                "seeds 0 to 49, {scene:?}, {way:?}: {} ends at the most, {:.2} in the mean; served {:.3} at the least, {:.3} in the mean",
                summary.most_ends, summary.mean_ends, summary.least_served, summary.mean_served
            );
            let ends_allowed = match (harmless, deadly) {
                (0, _) => ENDS_ALONE,
                (_, 1) => ENDS_ALONE + TRIALS,
                (_, deadly) if replicas < MANY_REPLICAS => (ENDS_ALONE + TRIALS) * deadly as usize,
                (_, deadly) => (ENDS_AT_ONE_TIME_WITH_OTHERS + TRIALS) * deadly as usize,
            };
            let holds = summary.most_ends <= ends_allowed && summary.least_served >= 0.98;
            if way == Way::TriedApart && !holds {
                failures.push(format!("{scene:?}: {summary:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
