//! Daemons, a store and a network under a schedule that decides every step: which message arrives
//! or is lost, who restarts, who stays frozen (is simply not scheduled), when time passes.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_claims::{
    Attempt, ClaimHolder, ClaimKey, ClaimMessage, ClaimReply, ClaimRequest, Claimant, Decision,
    HolderRules, HolderStatus, RecoveryRound, SealProgress, SealRound, UnixMillis,
};
use driftspring_types::{ClaimGroup, ClaimGroupMember, DaemonId, FencingToken, Incarnation};
use quickcheck::{Arbitrary, Gen};

pub const SKEW_MILLIS: u64 = 100;
const MAXIMUM_AGE_MILLIS: u64 = 5 * 60_000;
const START_MILLIS: u64 = 10_000_000;
const DAEMONS: usize = 4;

/// Mechanisms that a test may take away from the daemons.
#[derive(Clone, Copy)]
pub struct Mechanisms {
    pub abstain: bool,
    /// Whether each life has its own incarnation.
    pub distinct_lives: bool,
    /// Whether the sealer asks a second time.
    pub confirm_seal: bool,
}

pub const ALL_MECHANISMS: Mechanisms = Mechanisms {
    abstain: true,
    distinct_lives: true,
    confirm_seal: true,
};

/// One step of a schedule. Numbers choose among what there is, modulo its count.
#[derive(Debug, Clone)]
pub enum Action {
    Advance {
        millis: u16,
    },
    IssueKey {
        ahead: u8,
    },
    Submit {
        daemon: u8,
        key: u8,
    },
    Deliver {
        message: u16,
    },
    DeliverAll,
    Lose {
        message: u16,
    },
    Restart {
        daemon: u8,
        offset: u8,
    },
    /// A restart with everything that follows it when nothing goes wrong.
    RestartAndReturn {
        daemon: u8,
        offset: u8,
    },
    HearFromStore {
        daemon: u8,
    },
    HearFromPeer {
        daemon: u8,
        peer: u8,
    },
    AskToRecover {
        daemon: u8,
    },
    Dispatch {
        claimant: u8,
    },
    EndWithoutRun {
        claimant: u8,
    },
    BeginSeal,
    ConfirmSeal {
        sealer: u8,
    },
    WriteGroup {
        sealer: u8,
        members: u8,
    },
    Forget {
        daemon: u8,
    },
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b, wide) = (u8::arbitrary(g), u8::arbitrary(g), u16::arbitrary(g));
        match u8::arbitrary(g) % 64 {
            0..=7 => Self::Advance { millis: wide % 400 },
            8 => Self::Advance { millis: wide },
            9..=13 => Self::IssueKey { ahead: a },
            14..=24 => Self::Submit { daemon: a, key: b },
            25..=33 => Self::Deliver { message: wide },
            34..=41 => Self::DeliverAll,
            42 => Self::Lose { message: wide },
            43 => Self::Restart {
                daemon: a,
                offset: b,
            },
            44 => Self::RestartAndReturn {
                daemon: a,
                offset: b,
            },
            45..=46 => Self::HearFromStore { daemon: a },
            47..=48 => Self::HearFromPeer { daemon: a, peer: b },
            49..=51 => Self::AskToRecover { daemon: a },
            52..=56 => Self::Dispatch { claimant: a },
            57 => Self::EndWithoutRun { claimant: a },
            58 => Self::BeginSeal,
            59..=60 => Self::ConfirmSeal { sealer: a },
            61..=62 => Self::WriteGroup {
                sealer: a,
                members: b,
            },
            _ => Self::Forget { daemon: a },
        }
    }
}

struct Daemon {
    life: u64,
    clock_offset: u64,
    holder: ClaimHolder,
    group: Option<ClaimGroup>,
    recovery: Vec<HolderStatus>,
    recovery_round: u64,
}

enum ClaimantPhase {
    Asking,
    Granted,
    Over,
}

struct RunningClaimant {
    daemon: usize,
    life: u64,
    key: usize,
    claimant: Claimant,
    phase: ClaimantPhase,
}

struct Sealer {
    round: SealRound,
    answers: Vec<HolderStatus>,
    first_done: bool,
    sealed: bool,
}

#[derive(Clone)]
enum Asker {
    Nobody,
    Claimant(usize),
    Sealer {
        sealer: usize,
        second: bool,
    },
    Recovery {
        daemon: usize,
        life: u64,
        round: u64,
    },
}

enum Packet {
    Request {
        to: usize,
        message: ClaimMessage,
        asker: Asker,
    },
    Reply {
        from: usize,
        reply: ClaimReply,
        asker: Asker,
    },
}

pub struct World {
    mechanisms: Mechanisms,
    now: u64,
    daemons: Vec<Daemon>,
    stored_group: ClaimGroup,
    keys: Vec<u64>,
    claimants: Vec<RunningClaimant>,
    sealers: Vec<Sealer>,
    packets: Vec<Packet>,
    pub dispatches: HashMap<usize, usize>,
}

fn name(daemon: usize) -> DaemonId {
    DaemonId::new(format!("daemon-{daemon}"))
}

fn index(id: &DaemonId) -> usize {
    let number = id.as_str().rsplit('-').next().expect("a number");
    number.parse().expect("a number")
}

fn new_daemon(daemon: usize, life: u64, offset: u8, mechanisms: Mechanisms) -> Daemon {
    let incarnation = Incarnation(if mechanisms.distinct_lives { life } else { 0 });
    let rules = HolderRules {
        clock_skew_bound: Duration::from_millis(SKEW_MILLIS),
        key_maximum_age: Duration::from_millis(MAXIMUM_AGE_MILLIS),
        abstain: mechanisms.abstain,
    };
    Daemon {
        life,
        clock_offset: u64::from(offset) % (SKEW_MILLIS + 1),
        holder: ClaimHolder::new(name(daemon), incarnation, rules),
        group: None,
        recovery: Vec::new(),
        recovery_round: 0,
    }
}

impl World {
    pub fn new(mechanisms: Mechanisms) -> Self {
        let daemons = (0..DAEMONS).map(|daemon| new_daemon(daemon, 0, 0, mechanisms));
        let mut world = Self {
            mechanisms,
            now: START_MILLIS,
            daemons: daemons.collect(),
            stored_group: group(1, (0..3).map(|daemon| (daemon, 0))),
            keys: Vec::new(),
            claimants: Vec::new(),
            sealers: Vec::new(),
            packets: Vec::new(),
            dispatches: HashMap::new(),
        };
        for daemon in 0..DAEMONS {
            world.hear(daemon, world.stored_group.clone());
        }
        world.now += 10 * SKEW_MILLIS;
        world
    }

    pub fn step(&mut self, action: &Action) {
        match *action {
            Action::Advance { millis } => self.now += u64::from(millis),
            Action::IssueKey { ahead } => {
                let issued_at = self.now + u64::from(ahead) - 50;
                self.keys.push(issued_at);
            }
            Action::Submit { daemon, key } => self.submit(daemon, key),
            Action::Deliver { message } => self.deliver(message),
            Action::DeliverAll => self.deliver_all(),
            Action::Lose { message } => {
                if !self.packets.is_empty() {
                    let chosen = usize::from(message) % self.packets.len();
                    self.packets.swap_remove(chosen);
                }
            }
            Action::Restart { daemon, offset } => self.restart(daemon, offset),
            Action::RestartAndReturn { daemon, offset } => {
                self.restart(daemon, offset);
                self.hear(usize::from(daemon) % DAEMONS, self.stored_group.clone());
                self.ask_to_recover(daemon);
                self.deliver_all();
            }
            Action::HearFromStore { daemon } => {
                self.hear(usize::from(daemon) % DAEMONS, self.stored_group.clone());
            }
            Action::HearFromPeer { daemon, peer } => {
                let heard = self.daemons[usize::from(peer) % DAEMONS].group.clone();
                if let Some(heard) = heard {
                    self.hear(usize::from(daemon) % DAEMONS, heard);
                }
            }
            Action::AskToRecover { daemon } => self.ask_to_recover(daemon),
            Action::Dispatch { claimant } => self.dispatch(claimant),
            Action::EndWithoutRun { claimant } => self.end_without_run(claimant),
            Action::BeginSeal => self.begin_seal(),
            Action::ConfirmSeal { sealer } => self.confirm_seal(sealer),
            Action::WriteGroup { sealer, members } => self.write_group(sealer, members),
            Action::Forget { daemon } => {
                let daemon = usize::from(daemon) % DAEMONS;
                let clock = self.clock(daemon);
                self.daemons[daemon].holder.forget_old_claims(clock);
            }
        }
    }

    pub fn most_dispatches_of_one_key(&self) -> usize {
        self.dispatches.values().copied().max().unwrap_or(0)
    }

    /// A daemon's clock; any two differ by one skew at the most.
    fn clock(&self, daemon: usize) -> UnixMillis {
        UnixMillis(self.now + self.daemons[daemon].clock_offset)
    }

    fn hear(&mut self, daemon: usize, heard: ClaimGroup) {
        let clock = self.clock(daemon);
        let known = &mut self.daemons[daemon];
        if known
            .group
            .as_ref()
            .is_none_or(|known| heard.epoch > known.epoch)
        {
            known.holder.apply_group(&heard, clock);
            known.group = Some(heard);
        }
    }

    fn restart(&mut self, daemon: u8, offset: u8) {
        let daemon = usize::from(daemon) % DAEMONS;
        let life = self.daemons[daemon].life + 1;
        self.daemons[daemon] = new_daemon(daemon, life, offset, self.mechanisms);
    }

    fn submit(&mut self, daemon: u8, key: u8) {
        let daemon = usize::from(daemon) % DAEMONS;
        let Some(group) = self.daemons[daemon].group.clone() else {
            return;
        };
        if self.keys.is_empty() {
            return;
        }
        let newest = self.keys.len().saturating_sub(3);
        let key = newest + usize::from(key) % (self.keys.len() - newest);
        let number = self.claimants.len();
        let request = ClaimRequest {
            epoch: group.epoch,
            key: ClaimKey::from_hash(key as u64 + 1),
            issued_at: UnixMillis(self.keys[key]),
            attempt: Attempt::from_number(number as u64 + 1),
        };
        for member in &group.holders {
            let asker = Asker::Claimant(number);
            self.send(&member.daemon, ClaimMessage::Claim(request), asker);
        }
        self.claimants.push(RunningClaimant {
            daemon,
            life: self.daemons[daemon].life,
            key,
            claimant: Claimant::new(&group, request),
            phase: ClaimantPhase::Asking,
        });
    }

    fn send(&mut self, to: &DaemonId, message: ClaimMessage, asker: Asker) {
        let to = index(to);
        self.packets.push(Packet::Request { to, message, asker });
    }

    fn deliver_all(&mut self) {
        while !self.packets.is_empty() {
            self.deliver(0);
        }
    }

    fn deliver(&mut self, message: u16) {
        if self.packets.is_empty() {
            return;
        }
        let chosen = usize::from(message) % self.packets.len();
        match self.packets.remove(chosen) {
            Packet::Request { to, message, asker } => {
                let clock = self.clock(to);
                let reply = self.daemons[to].holder.handle(&message, clock);
                let from = to;
                self.packets.push(Packet::Reply { from, reply, asker });
            }
            Packet::Reply { from, reply, asker } => self.receive(from, reply, asker),
        }
    }

    fn receive(&mut self, from: usize, reply: ClaimReply, asker: Asker) {
        match (asker, reply) {
            (Asker::Claimant(claimant), ClaimReply::Claim(answer)) => {
                self.receive_answer(from, claimant, answer);
            }
            (Asker::Sealer { sealer, second }, ClaimReply::Status(status)) => {
                let sealer = &mut self.sealers[sealer];
                if sealer.first_done == second {
                    sealer.answers.push(status);
                }
            }
            (
                Asker::Recovery {
                    daemon,
                    life,
                    round,
                },
                ClaimReply::Status(status),
            ) => {
                self.receive_recovery(daemon, life, round, status);
            }
            _ => {}
        }
    }

    fn receive_answer(
        &mut self,
        from: usize,
        number: usize,
        answer: driftspring_claims::ClaimAnswer,
    ) {
        let running = &mut self.claimants[number];
        if !matches!(running.phase, ClaimantPhase::Asking) {
            return;
        }
        match running.claimant.record(&name(from), answer) {
            None => {}
            Some(Decision::Granted) => running.phase = ClaimantPhase::Granted,
            Some(Decision::Refused(_)) => self.release(number),
        }
    }

    /// Ends a claimant and gives its claims back, unless its daemon has restarted.
    fn release(&mut self, number: usize) {
        let running = &mut self.claimants[number];
        running.phase = ClaimantPhase::Over;
        if running.life != self.daemons[running.daemon].life {
            return;
        }
        let release = running.claimant.release();
        for daemon in 0..DAEMONS {
            self.send(&name(daemon), ClaimMessage::Release(release), Asker::Nobody);
        }
    }

    fn ask_to_recover(&mut self, daemon: u8) {
        let daemon = usize::from(daemon) % DAEMONS;
        let Some(group) = self.daemons[daemon].group.clone() else {
            return;
        };
        let asking = &mut self.daemons[daemon];
        asking.recovery.clear();
        asking.recovery_round += 1;
        let asker = Asker::Recovery {
            daemon,
            life: asking.life,
            round: asking.recovery_round,
        };
        for member in &group.holders {
            self.send(&member.daemon, ClaimMessage::Status, asker.clone());
        }
    }

    fn receive_recovery(&mut self, daemon: usize, life: u64, round: u64, status: HolderStatus) {
        let clock = self.clock(daemon);
        let asking = &mut self.daemons[daemon];
        if asking.life != life || asking.recovery_round != round {
            return;
        }
        asking.recovery.push(status);
        let Some(group) = &asking.group else { return };
        if RecoveryRound::new(group).is_confirmed(&asking.recovery) {
            asking.holder.recover(group.epoch, clock);
        }
    }

    /// The claimant chosen among those granted whose daemon still lives.
    fn granted(&self, claimant: u8) -> Option<usize> {
        let is_ready = |number: &usize| {
            let running = &self.claimants[*number];
            let lives = running.life == self.daemons[running.daemon].life;
            lives && matches!(running.phase, ClaimantPhase::Granted)
        };
        let granted: Vec<_> = (0..self.claimants.len()).filter(is_ready).collect();
        (!granted.is_empty()).then(|| granted[usize::from(claimant) % granted.len()])
    }

    fn dispatch(&mut self, claimant: u8) {
        if let Some(number) = self.granted(claimant) {
            self.claimants[number].phase = ClaimantPhase::Over;
            let key = self.claimants[number].key;
            *self.dispatches.entry(key).or_default() += 1;
        }
    }

    fn end_without_run(&mut self, claimant: u8) {
        if let Some(number) = self.granted(claimant) {
            self.release(number);
        }
    }

    fn begin_seal(&mut self) {
        self.sealers.push(Sealer {
            round: SealRound::new(&self.stored_group),
            answers: Vec::new(),
            first_done: false,
            sealed: false,
        });
        self.ask_to_seal(self.sealers.len() - 1, false);
    }

    fn ask_to_seal(&mut self, sealer: usize, second: bool) {
        let epoch = self.sealers[sealer].round.epoch();
        for holder in self.sealers[sealer].round.holders().to_vec() {
            let asker = Asker::Sealer { sealer, second };
            self.send(&holder, ClaimMessage::Seal { epoch }, asker);
        }
    }

    fn confirm_seal(&mut self, sealer: u8) {
        if self.sealers.is_empty() {
            return;
        }
        let number = usize::from(sealer) % self.sealers.len();
        let confirm_seal = self.mechanisms.confirm_seal;
        let sealer = &mut self.sealers[number];
        let answers = std::mem::take(&mut sealer.answers);
        if sealer.first_done {
            sealer.sealed |= sealer.round.record_second(&answers) == SealProgress::Sealed;
        } else if sealer.round.record_first(&answers) {
            sealer.first_done = true;
            sealer.sealed = !confirm_seal;
            self.ask_to_seal(number, true);
        } else {
            sealer.answers = answers;
        }
    }

    fn write_group(&mut self, sealer: u8, members: u8) {
        if self.sealers.is_empty() {
            return;
        }
        let sealer = &self.sealers[usize::from(sealer) % self.sealers.len()];
        if !sealer.sealed || sealer.round.epoch() != self.stored_group.epoch {
            return;
        }
        let omitted = usize::from(members) % DAEMONS;
        let chosen = (0..DAEMONS).filter(|daemon| *daemon != omitted);
        let lives: Vec<_> = chosen
            .map(|daemon| (daemon, self.daemons[daemon].life))
            .collect();
        let mut written = group(self.stored_group.epoch + 1, lives);
        if !self.mechanisms.distinct_lives {
            for member in &mut written.holders {
                member.incarnation = Incarnation(0);
            }
        }
        self.stored_group = written;
    }
}

fn group(epoch: u64, members: impl IntoIterator<Item = (usize, u64)>) -> ClaimGroup {
    let holders = members.into_iter().map(|(daemon, life)| ClaimGroupMember {
        daemon: name(daemon),
        incarnation: Incarnation(life),
    });
    ClaimGroup {
        epoch,
        holders: holders.collect(),
        fencing_token: FencingToken(epoch),
    }
}
