//! However calls are delayed, lost or reordered and candidates paused: one holder at a time, rising tokens.

use std::time::Duration;

use driftspring_control::lease::{LeaseAnswer, LeaseRecord};
use driftspring_control::{LeaseHolder, LeaseMachine, LeaseSettings, LeaseStep, LeaseWrite};
use driftspring_types::{DaemonId, FencingToken, Incarnation, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const CANDIDATES: usize = 3;
const RUNS: u64 = 3_000;
/// How fast each candidate's clock runs, in thousandths; the margin of a lease covers this spread.
const CLOCK_RATES: [u64; CANDIDATES] = [1000, 960, 1040];
const CLOCK_OFFSETS_MS: [u64; CANDIDATES] = [0, 70_000, 9_000];

/// What happens to the next call of a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect, the answer is lost.
    AnswerLost,
    /// It never takes effect.
    Lost,
    /// It takes effect after some steps, and is not answered.
    Late,
}

/// One step of a run: time passes, then a candidate makes its next call.
#[derive(Debug, Clone)]
struct Event {
    candidate: usize,
    pause_ms: u64,
    call_ms: u64,
    fate: Fate,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let fates = [
            Fate::Answered,
            Fate::Answered,
            Fate::Answered,
            Fate::AnswerLost,
            Fate::Lost,
            Fate::Late,
        ];
        Self {
            candidate: usize::arbitrary(g) % CANDIDATES,
            pause_ms: u64::arbitrary(g) % 2_000,
            call_ms: u64::arbitrary(g) % 800,
            fate: *g.choose(&fates).unwrap_or(&Fate::Answered),
        }
    }
}

#[derive(Default)]
struct Store {
    revision: u64,
    object: Option<(Revision, LeaseRecord)>,
    late: Vec<LeaseWrite>,
}

impl Store {
    fn write(&mut self, write: &LeaseWrite) -> LeaseAnswer {
        let current = self
            .object
            .as_ref()
            .map_or(Revision(0), |(revision, _)| *revision);
        if current != write.expected {
            return LeaseAnswer::Refused(self.object.clone());
        }
        self.revision += 1;
        self.object = Some((Revision(self.revision), write.record.clone()));
        LeaseAnswer::Accepted(Revision(self.revision))
    }
}

struct Run {
    now_ms: u64,
    store: Store,
    candidates: Vec<LeaseMachine>,
    highest_token: FencingToken,
}

impl Run {
    fn new() -> Self {
        let candidate = |index: usize| {
            let holder = LeaseHolder {
                daemon: DaemonId::new(format!("d{index}")),
                incarnation: Incarnation(1),
            };
            LeaseMachine::new(holder, LeaseSettings::default())
        };
        Self {
            now_ms: 0,
            store: Store::default(),
            candidates: (0..CANDIDATES).map(candidate).collect(),
            highest_token: FencingToken(0),
        }
    }

    fn clock(&self, candidate: usize) -> Duration {
        let elapsed = self.now_ms * CLOCK_RATES[candidate] / 1000;
        Duration::from_millis(CLOCK_OFFSETS_MS[candidate] + elapsed)
    }

    /// Time passes in small steps, so that every moment is looked at.
    fn pass(&mut self, milliseconds: u64) -> Result<(), String> {
        const STEP_MS: u64 = 50;
        for _ in 0..milliseconds.div_ceil(STEP_MS) {
            self.now_ms += STEP_MS;
            self.check()?;
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        let tokens: Vec<FencingToken> = (0..CANDIDATES)
            .filter_map(|index| self.candidates[index].token_at(self.clock(index)))
            .collect();
        if tokens.len() > 1 {
            return Err(format!("two holders at {} ms: {tokens:?}", self.now_ms));
        }
        for token in tokens {
            if token < self.highest_token {
                return Err(format!("token {token} after {}", self.highest_token));
            }
            self.highest_token = token;
        }
        Ok(())
    }

    fn take(&mut self, event: &Event) -> Result<(), String> {
        self.pass(event.pause_ms)?;
        let began = self.clock(event.candidate);
        match self.candidates[event.candidate].next(began) {
            LeaseStep::Wait(_) => {}
            LeaseStep::Read => {
                let object = self.store.object.clone();
                self.pass(event.call_ms)?;
                let ended = self.clock(event.candidate);
                let candidate = &mut self.candidates[event.candidate];
                match event.fate {
                    Fate::Answered => candidate.on_read(ended, object),
                    _ => candidate.on_read_failed(ended),
                }
            }
            LeaseStep::Write(write) => {
                let answer = self.write(event, &write)?;
                let ended = self.clock(event.candidate);
                self.candidates[event.candidate].on_write(&write, began, ended, answer);
            }
        }
        self.check()
    }

    fn write(&mut self, event: &Event, write: &LeaseWrite) -> Result<LeaseAnswer, String> {
        self.pass(event.call_ms / 2)?;
        let answer = match event.fate {
            Fate::Answered => self.store.write(write),
            Fate::AnswerLost => {
                self.store.write(write);
                LeaseAnswer::Unknown
            }
            Fate::Lost => LeaseAnswer::Unknown,
            Fate::Late => {
                self.store.late.push(write.clone());
                LeaseAnswer::Unknown
            }
        };
        self.pass(event.call_ms / 2)?;
        if event.fate == Fate::Answered && !self.store.late.is_empty() {
            let late = self.store.late.remove(0);
            self.store.write(&late);
        }
        Ok(answer)
    }
}

#[test]
fn at_most_one_candidate_holds_and_tokens_rise() {
    let property: fn(Vec<Event>) -> TestResult = |events| {
        let mut run = Run::new();
        for event in &events {
            if let Err(fault) = run.take(event) {
                return TestResult::error(fault);
            }
        }
        TestResult::passed()
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(RUNS)
        .quickcheck(property);
}

/// Answers every call at once until `candidate` holds the lease.
fn acquire(run: &mut Run, candidate: usize) -> FencingToken {
    for _ in 0..100 {
        let event = Event {
            candidate,
            pause_ms: 100,
            call_ms: 10,
            fate: Fate::Answered,
        };
        run.take(&event).expect("invariants hold");
        if let Some(token) = run.candidates[candidate].token_at(run.clock(candidate)) {
            return token;
        }
    }
    panic!("candidate {candidate} never holds");
}

#[test]
fn a_paused_holder_may_not_act_and_the_next_one_gets_a_higher_token() {
    let mut run = Run::new();
    let first = acquire(&mut run, 0);
    run.pass(5_000).expect("invariants hold");
    assert_eq!(run.candidates[0].token_at(run.clock(0)), None);
    let second = acquire(&mut run, 1);
    assert!(second > first);
    let third = acquire(&mut run, 1);
    assert_eq!(third, second, "a renewal keeps the token");
}

#[test]
fn a_lease_given_back_is_free_at_once() {
    let mut run = Run::new();
    acquire(&mut run, 0);
    run.candidates[0].give_back();
    let event = Event {
        candidate: 0,
        pause_ms: 0,
        call_ms: 10,
        fate: Fate::Answered,
    };
    run.take(&event).expect("invariants hold");
    let given_back_at = run.now_ms;
    acquire(&mut run, 1);
    assert!(run.now_ms - given_back_at < 1_000);
}

#[test]
fn an_acquisition_whose_answer_was_lost_is_found_again() {
    let mut run = Run::new();
    for fate in [Fate::Answered, Fate::AnswerLost] {
        let event = Event {
            candidate: 0,
            pause_ms: 0,
            call_ms: 10,
            fate,
        };
        run.take(&event).expect("invariants hold");
    }
    let acquired_at = run.store.object.as_ref().map(|(revision, _)| revision.0);
    assert_eq!(acquired_at, Some(1));
    assert_eq!(acquire(&mut run, 0), FencingToken(1));
}
