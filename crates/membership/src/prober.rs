//! Which member is probed when, and which probes wait for an answer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{DaemonId, MemberState};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::config::GossipConfig;
use crate::member_table::{MemberEntry, MemberTable};
use crate::tag::{MemberTag, ZoneTag};

/// Probes of a silent zone in one probe interval, by all daemons of the own zone together.
const SILENT_ZONE_PROBES: f64 = 2.0;

/// The largest share of one daemon's probes that go to a silent zone.
const MAX_SILENT_ZONE_SHARE: f64 = 0.5;

/// A probe of this daemon that waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingProbe {
    /// The member probed.
    pub subject: DaemonId,
    /// Its life when it was probed.
    pub tag: MemberTag,
    /// When the direct probe was sent.
    pub sent_at: Duration,
    /// Whether helpers were asked.
    pub helpers_asked: bool,
}

/// A probe on behalf of another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedProbe {
    /// Who asked.
    pub requester: SocketAddr,
    /// The asker's sequence number.
    pub sequence: u32,
    /// When this daemon passed the probe on.
    pub sent_at: Duration,
}

/// The schedule of probes and those under way.
#[derive(Debug, Clone, Default)]
pub struct Prober {
    /// Members of the own zone still to be probed in this round, in random order.
    round: Vec<DaemonId>,
    next_sequence: u32,
    pending: BTreeMap<u32, PendingProbe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

/// Whether `entry` is another member that may answer.
fn may_answer(entry: &MemberEntry, own: &DaemonId) -> bool {
    entry.record.id != *own && entry.record.state != MemberState::Dead && entry.peer.is_some()
}

impl Prober {
    /// The member to probe next: mostly of the own zone, in rounds; at times of another zone; a
    /// `silent_zone` first, which this daemon shares with the others of its zone.
    pub fn next_target(
        &mut self,
        table: &MemberTable,
        own: (&DaemonId, ZoneTag),
        silent_zone: Option<ZoneTag>,
        config: &GossipConfig,
        rng: &mut StdRng,
    ) -> Option<DaemonId> {
        if let Some(zone) = silent_zone {
            let near = table.iter().filter(|entry| entry.zone == own.1).count();
            let share = SILENT_ZONE_PROBES / near.max(1) as f64;
            if rng.random_bool(share.min(MAX_SILENT_ZONE_SHARE)) {
                return target_in_zone(table, own.0, zone, rng);
            }
        }
        // By chance and not in turn, since daemons that start together would all turn together.
        if rng.random_ratio(1, config.cross_zone_period) {
            let far = far_target(table, own, rng);
            return far.or_else(|| self.near_target(table, own, rng));
        }
        self.near_target(table, own, rng)
            .or_else(|| far_target(table, own, rng))
    }

    fn near_target(
        &mut self,
        table: &MemberTable,
        own: (&DaemonId, ZoneTag),
        rng: &mut StdRng,
    ) -> Option<DaemonId> {
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                if table.get(&id).is_some_and(|entry| may_answer(entry, own.0)) {
                    return Some(id);
                }
            }
            self.round = table
                .iter()
                .filter(|entry| entry.zone == own.1 && may_answer(entry, own.0))
                .map(|entry| entry.record.id.clone())
                .collect();
            self.round.shuffle(rng);
        }
        None
    }

    /// Notes a probe of `entry`; returns its sequence number.
    pub fn start(&mut self, now: Duration, entry: &MemberEntry) -> u32 {
        let sequence = self.next_sequence();
        let probe = PendingProbe {
            subject: entry.record.id.clone(),
            tag: entry.tag,
            sent_at: now,
            helpers_asked: false,
        };
        self.pending.insert(sequence, probe);
        sequence
    }

    /// Notes a probe on behalf of another member; returns its sequence number.
    pub fn start_relayed(&mut self, probe: RelayedProbe) -> u32 {
        let sequence = self.next_sequence();
        self.relayed.insert(sequence, probe);
        sequence
    }

    /// A sequence number that is not in use.
    pub fn next_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    /// Ends the probe that `subject` answered; for a relayed one, returns who waits for it.
    pub fn answered(&mut self, sequence: u32, subject: MemberTag) -> Option<RelayedProbe> {
        let answers = |probe: &PendingProbe| probe.tag == subject;
        if self.pending.get(&sequence).is_some_and(answers) {
            self.pending.remove(&sequence);
        }
        self.relayed.remove(&sequence)
    }

    /// The probes without a direct answer for which helpers have not been asked.
    pub fn due_for_helpers(
        &mut self,
        now: Duration,
        config: &GossipConfig,
    ) -> Vec<(u32, DaemonId)> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.pending {
            let waited = now.saturating_sub(probe.sent_at);
            if !probe.helpers_asked && waited >= config.probe_timeout {
                probe.helpers_asked = true;
                due.push((*sequence, probe.subject.clone()));
            }
        }
        due
    }

    /// Ends and returns the probes that have failed.
    pub fn failed(&mut self, now: Duration, config: &GossipConfig) -> Vec<PendingProbe> {
        let overdue = |sent_at: Duration| now.saturating_sub(sent_at) >= config.probe_deadline;
        self.relayed.retain(|_, probe| !overdue(probe.sent_at));
        self.pending
            .extract_if(.., |_, probe| overdue(probe.sent_at))
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Gives up the probes under way: after a pause of this process their times mean nothing.
    pub fn abandon(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }
}

/// A member of a random other zone.
fn far_target(
    table: &MemberTable,
    own: (&DaemonId, ZoneTag),
    rng: &mut StdRng,
) -> Option<DaemonId> {
    let zones: BTreeSet<ZoneTag> = table.iter().map(|entry| entry.zone).collect();
    let zones: Vec<ZoneTag> = zones.into_iter().filter(|zone| *zone != own.1).collect();
    let zone = *zones.choose(rng)?;
    target_in_zone(table, own.0, zone, rng)
}

/// A random member of `zone`, a dead one only where the zone has no other.
fn target_in_zone(
    table: &MemberTable,
    own: &DaemonId,
    zone: ZoneTag,
    rng: &mut StdRng,
) -> Option<DaemonId> {
    let in_zone: Vec<&MemberEntry> = table
        .iter()
        .filter(|entry| entry.zone == zone && entry.peer.is_some())
        .collect();
    let answering: Vec<&MemberEntry> = in_zone
        .iter()
        .copied()
        .filter(|entry| may_answer(entry, own))
        .collect();
    let candidates = if answering.is_empty() {
        in_zone
    } else {
        answering
    };
    let chosen = candidates.choose(rng)?;
    Some(chosen.record.id.clone())
}

/// Helpers for an indirect probe of `subject`: one of the own zone, then of the subject's, then any.
pub fn choose_helpers(
    table: &MemberTable,
    own: (&DaemonId, ZoneTag),
    subject: &MemberEntry,
    count: usize,
    rng: &mut StdRng,
) -> Vec<SocketAddr> {
    let mut candidates: Vec<&MemberEntry> = table
        .iter()
        .filter(|entry| may_answer(entry, own.0) && entry.record.id != subject.record.id)
        .filter(|entry| entry.record.state == MemberState::Alive)
        .collect();
    candidates.shuffle(rng);
    let mut helpers = Vec::with_capacity(count);
    let preferred: [Option<ZoneTag>; 2] = [Some(own.1), Some(subject.zone)];
    for slot in 0..count {
        let wanted = preferred.get(slot).copied().flatten();
        let position = candidates
            .iter()
            .position(|entry| wanted.is_none_or(|zone| entry.zone == zone))
            .or_else(|| (!candidates.is_empty()).then_some(0));
        if let Some(position) = position {
            helpers.extend(candidates.swap_remove(position).peer);
        }
    }
    helpers
}

/// `interval` varied by up to a tenth, so that daemons started together do not stay in step.
pub fn jittered(interval: Duration, rng: &mut StdRng) -> Duration {
    interval.mul_f64(rng.random_range(0.9..1.1))
}
