//! Probes, suspicion and reconnection: the part of the state machine that follows the clock.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{DaemonId, MemberRecord, MemberState};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::Membership;
use super::outbound::tell_target_of_itself;
use crate::action::Action;
use crate::member_table::{MemberEntry, MemberMerge};
use crate::message::MessageKind;
use crate::prober::{choose_helpers, jittered};
use crate::rows::CompactAddress;
use crate::suspicion::Suspicion;

/// Contacts asked at once while no other member is known.
const CONTACTS_AT_ONCE: usize = 2;

/// While it joins, a daemon compares full state with a contact instead of a member once in this many
/// times.
const JOIN_CONTACT_PERIOD: u32 = 4;

impl Membership {
    /// Probes the next member.
    pub(super) fn start_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.next_probe_at = now + jittered(self.config.probe_interval, &mut self.rng);
        let own = (&self.own.id, self.own_zone);
        let silent = self.zones.stalest(now, self.config.zone_silence / 4);
        let target =
            self.prober
                .next_target(&self.members, own, silent, &self.config, &mut self.rng);
        if let Some(target) = target {
            self.ping(now, &target, actions);
        }
    }

    /// Sends a ping to `target`, whose answer is waited for.
    fn ping(&mut self, now: Duration, target: &DaemonId, actions: &mut Vec<Action>) {
        let Some(entry) = self.members.get(target) else {
            return;
        };
        let Some(to) = entry.peer else {
            return;
        };
        let sequence = self.prober.start(now, entry);
        let datagram = self.compose(now, MessageKind::Ping { sequence }, Some(target));
        actions.push(Action::Send { to, datagram });
    }

    /// Asks helpers for late probes and ends failed ones.
    pub(super) fn continue_probes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for (sequence, subject) in self.prober.due_for_helpers(now, &self.config) {
            self.ask_again(sequence, &subject, actions);
        }
        for probe in self.prober.failed(now, &self.config) {
            let same_life = self
                .members
                .get(&probe.subject)
                .filter(|entry| entry.tag == probe.tag);
            if let Some(entry) = same_life {
                let record = entry.record.clone();
                self.probe_failed(now, record, actions);
            }
        }
    }

    /// Probes once more, directly and by helpers, since a single datagram may just be lost.
    fn ask_again(&mut self, sequence: u32, subject: &DaemonId, actions: &mut Vec<Action>) {
        let Some(entry) = self.members.get(subject).cloned() else {
            return;
        };
        let own = (&self.own.id, self.own_zone);
        let count = self.config.indirect_helpers;
        let helpers = choose_helpers(&self.members, own, &entry, count, &mut self.rng);
        if let Some(to) = entry.peer {
            let datagram = self.compose_bare(MessageKind::Ping { sequence });
            actions.push(Action::Send { to, datagram });
        }
        let target = CompactAddress::new(&entry.record.peer_address);
        for to in helpers {
            let kind = MessageKind::PingRequest {
                sequence,
                target: target.clone(),
            };
            let datagram = self.compose_bare(kind);
            actions.push(Action::Send { to, datagram });
        }
    }

    /// Suspects a member of the own zone that did not answer; other zones judge their own members.
    fn probe_failed(&mut self, now: Duration, mut record: MemberRecord, actions: &mut Vec<Action>) {
        if record.zone != self.own.zone {
            return;
        }
        record.state = match record.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        self.declare(now, &record, actions);
    }

    /// A suspicion that begins now.
    pub(super) fn new_suspicion(&mut self, now: Duration, refutation: u64) -> Suspicion {
        Suspicion::new(now, refutation, &self.config, &mut self.rng)
    }

    /// Asks suspected members some times before declaring them dead; the question tells them of the
    /// suspicion, and so a member that missed the refutation hears it from the member itself.
    pub(super) fn check_suspects(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due: Vec<DaemonId> = self
            .suspicions
            .iter_mut()
            .filter_map(|(id, suspicion)| suspicion.take_check(now).then(|| id.clone()))
            .collect();
        for id in due {
            let sequence = self.prober.next_sequence();
            let suspect = self.members.get(&id);
            if let Some((to, entry)) = suspect.and_then(|entry| Some((entry.peer?, entry))) {
                let mut datagram = self.compose_bare(MessageKind::Ping { sequence });
                tell_target_of_itself(&mut datagram, entry);
                actions.push(Action::Send { to, datagram });
            }
        }
    }

    /// Declares members dead that did not refute in time.
    pub(super) fn end_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due: Vec<DaemonId> = self
            .suspicions
            .extract_if(.., |_, suspicion| suspicion.is_over(now))
            .map(|(id, _)| id)
            .collect();
        for id in due {
            let suspect = self
                .members
                .get(&id)
                .map(|entry| entry.record.clone())
                .filter(|record| record.state == MemberState::Suspect);
            if let Some(mut record) = suspect {
                record.state = MemberState::Dead;
                self.declare(now, &record, actions);
            }
        }
    }

    /// Merges and passes on this daemon's own judgement of another member.
    fn declare(&mut self, now: Duration, record: &MemberRecord, actions: &mut Vec<Action>) {
        let outcome = self.members.merge(now, record);
        if outcome == MemberMerge::NewState {
            self.news.push(record.id.clone());
        }
        self.member_actions(now, outcome, &record.id, actions);
    }

    /// Tries dead members of the own zone and unknown contacts, so that a healed partition or a
    /// lost seed never leaves two halves that ignore each other.
    pub(super) fn reconnect(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let alone = self.members.iter().count() == 1;
        let interval = if alone {
            self.config.join_sync_interval
        } else {
            self.config.reconnect_interval
        };
        self.next_reconnect_at = now + jittered(interval, &mut self.rng);
        self.ping_a_dead_member(now, actions);
        let unknown = self.unknown_contacts();
        let contacts: Vec<SocketAddr> = unknown
            .choose_multiple(&mut self.rng, CONTACTS_AT_ONCE)
            .copied()
            .collect();
        for to in contacts {
            self.request_sync(to, actions);
        }
    }

    /// Compares full state with one daemon after the other until the time to join is over; from then
    /// on comparisons are made only where digests keep differing. That some peers agree is no
    /// reason to end before: in a herd start they may all know the same few.
    pub(super) fn join(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.is_joining(now) {
            return;
        }
        let interval = if self.has_agreeing_peers() {
            self.config.probe_interval
        } else {
            self.config.join_sync_interval
        };
        self.next_sync_at = now + jittered(interval, &mut self.rng);
        if let Some(to) = self.join_target() {
            self.request_sync(to, actions);
        }
    }

    /// A random contact at times, which many others contact too; else a random member.
    fn join_target(&mut self) -> Option<SocketAddr> {
        if self.rng.random_ratio(1, JOIN_CONTACT_PERIOD)
            && let Some(contact) = self.contacts.choose(&mut self.rng)
        {
            return Some(*contact);
        }
        let go_far = self.rng.random_ratio(1, self.config.cross_zone_news_period);
        let peer = self
            .random_peer(go_far)
            .or_else(|| self.random_peer(!go_far));
        peer.and_then(|peer| peer.peer)
    }

    fn ping_a_dead_member(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_dead_neighbour = |entry: &&MemberEntry| {
            entry.zone == self.own_zone && entry.record.state == MemberState::Dead
        };
        let dead: Vec<DaemonId> = self
            .members
            .iter()
            .filter(is_dead_neighbour)
            .map(|entry| entry.record.id.clone())
            .collect();
        if let Some(id) = dead.choose(&mut self.rng) {
            self.ping(now, id, actions);
        }
    }

    /// Contacts at whose address no member is known to live.
    fn unknown_contacts(&self) -> Vec<SocketAddr> {
        let known: std::collections::BTreeSet<SocketAddr> = self
            .members
            .iter()
            .filter(|entry| entry.record.state != MemberState::Dead)
            .filter_map(|entry| entry.peer)
            .collect();
        self.contacts
            .iter()
            .copied()
            .filter(|contact| !known.contains(contact))
            .collect()
    }
}
