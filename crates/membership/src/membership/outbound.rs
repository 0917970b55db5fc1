//! What a datagram carries, and datagrams sent without being asked.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{DaemonId, MemberState};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Membership;
use crate::action::Action;
use crate::config::MAX_DATAGRAM_BYTES;
use crate::digest::DigestHalf;
use crate::member_table::MemberEntry;
use crate::message::{Datagram, MessageKind, Section};
use crate::prober::jittered;
use crate::rows::{MemberChange, MemberRow};
use crate::sync;
use crate::tag::MemberTag;

/// Bytes of the envelope: kind, sender, digests and the heads of the sections.
const ENVELOPE_BYTES: usize = 80;

/// The largest replication notice.
const MAX_NOTICE_BYTES: usize = 100;

/// Bytes for the contacts of up to eight other zones.
const ZONE_CONTACT_BYTES: usize = 64;

/// Members told at once of a planned stop: in the own zone, and in others.
const FAREWELLS: (usize, usize) = (6, 2);

impl Membership {
    /// A datagram without news.
    pub(super) fn compose_bare(&self, kind: MessageKind) -> Datagram {
        Datagram {
            kind,
            sender: MemberTag::of(&self.own),
            members_digest: self.members.digest().total(),
            engines_digest: self.engines.digest().total(),
            member_rows: Section::default(),
            member_changes: Section::default(),
            engine_rows: Section::default(),
            loads: Section::default(),
            zone_contacts: Section::default(),
            notice: Section::default(),
            cluster: self.config.cluster,
        }
    }

    /// A datagram with news for `target`, or for a stranger of unknown zone.
    pub(super) fn compose(
        &mut self,
        now: Duration,
        kind: MessageKind,
        target: Option<&DaemonId>,
    ) -> Datagram {
        let mut datagram = self.compose_bare(kind);
        let target = target.and_then(|id| self.members.get(id)).cloned();
        let is_near = target
            .as_ref()
            .is_some_and(|target| target.zone == self.own_zone);
        if self.notice.len() <= MAX_NOTICE_BYTES {
            datagram.notice = Section::from_bytes(self.notice.clone());
        }
        if let Some(target) = target {
            tell_target_of_itself(&mut datagram, &target);
        }
        if matches!(datagram.kind, MessageKind::News) {
            let limit = self.config.news_bytes;
            self.write_member_news(&mut datagram, limit / 2);
            let left = limit - datagram.member_rows.len() - datagram.member_changes.len();
            self.engines.write_changes(&mut datagram.engine_rows, left);
            return datagram;
        }
        self.write_member_news(&mut datagram, self.config.member_bytes);
        let engine_bytes = self.config.engine_bytes;
        self.engines
            .write_changes(&mut datagram.engine_rows, engine_bytes);
        if is_near {
            self.zones
                .write(now, &mut datagram.zone_contacts, ZONE_CONTACT_BYTES);
        }
        self.write_loads(&mut datagram, is_near);
        datagram
    }

    fn write_member_news(&mut self, datagram: &mut Datagram, limit: usize) {
        let Self {
            news,
            members,
            whole_records,
            ..
        } = self;
        news.take(|id| {
            let Some(entry) = members.get(id) else {
                return true;
            };
            let used = datagram.member_rows.len() + datagram.member_changes.len();
            let room = limit.saturating_sub(used);
            if whole_records.get(id) == Some(&entry.tag) {
                let row_limit = datagram.member_rows.len() + room;
                return datagram
                    .member_rows
                    .push(&MemberRow::from(&entry.record), row_limit);
            }
            let change_limit = datagram.member_changes.len() + room;
            datagram
                .member_changes
                .push(&change_of(entry), change_limit)
        });
        whole_records.retain(|id, _| news.contains(id));
    }

    fn write_loads(&mut self, datagram: &mut Datagram, is_near: bool) {
        let used = datagram.member_rows.len()
            + datagram.member_changes.len()
            + datagram.engine_rows.len()
            + datagram.zone_contacts.len()
            + datagram.notice.len();
        let room = MAX_DATAGRAM_BYTES.saturating_sub(ENVELOPE_BYTES + used);
        let far_limit = self.config.far_load_bytes.min(room);
        if is_near {
            let near_limit = self.config.near_load_bytes.min(room - far_limit);
            self.engines
                .write_near_loads(&mut datagram.loads, near_limit, far_limit);
        } else {
            self.engines.write_far_loads(&mut datagram.loads, far_limit);
        }
    }

    /// Passes news on without waiting for the next probe, to one member at a time.
    pub(super) fn spread_news(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let has_notice = self.notice_transmissions_left > 0;
        if self.news.is_empty() && !self.engines.has_changes() && !has_notice {
            return;
        }
        self.notice_transmissions_left = self.notice_transmissions_left.saturating_sub(1);
        self.next_news_at = now + jittered(self.config.news_interval, &mut self.rng);
        let go_far = self.rng.random_ratio(1, self.config.cross_zone_news_period);
        let Some(target) = self
            .random_peer(go_far)
            .or_else(|| self.random_peer(!go_far))
        else {
            return;
        };
        let datagram = self.compose(now, MessageKind::News, Some(&target.record.id));
        actions.extend(target.peer.map(|to| Action::Send { to, datagram }));
    }

    /// A random living member of another zone, or of the own one.
    pub(super) fn random_peer(&mut self, far: bool) -> Option<MemberEntry> {
        let is_candidate = |entry: &&MemberEntry| {
            entry.record.id != self.own.id
                && entry.record.state != MemberState::Dead
                && (entry.zone != self.own_zone) == far
        };
        let candidates: Vec<&MemberEntry> = self.members.iter().filter(is_candidate).collect();
        candidates.choose(&mut self.rng).copied().cloned()
    }

    /// Sends the news to several members at once.
    pub(super) fn spread_at_once(&mut self, now: Duration) -> Vec<Action> {
        let mut others: Vec<MemberEntry> = self
            .members
            .iter()
            .filter(|entry| entry.record.id != self.own.id)
            .filter(|entry| entry.record.state == MemberState::Alive)
            .cloned()
            .collect();
        others.shuffle(&mut self.rng);
        let (near, far): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|entry| entry.zone == self.own_zone);
        let near = near.into_iter().take(FAREWELLS.0);
        let far = far.into_iter().take(FAREWELLS.1);
        let mut actions = Vec::new();
        for entry in near.chain(far) {
            let datagram = self.compose(now, MessageKind::News, Some(&entry.record.id));
            actions.extend(entry.peer.map(|to| Action::Send { to, datagram }));
        }
        actions
    }

    /// Compares full state with a peer, to which this daemon introduces itself.
    pub(super) fn request_sync(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let half = if self.rng.random() {
            DigestHalf::Low
        } else {
            DigestHalf::High
        };
        let kind = sync::request(&self.members, &self.engines, half);
        let mut datagram = self.compose_bare(kind);
        datagram
            .member_rows
            .push(&MemberRow::from(&self.own), MAX_DATAGRAM_BYTES);
        actions.push(Action::Send { to, datagram });
    }
}

/// The state of a member as news.
fn change_of(entry: &MemberEntry) -> MemberChange {
    MemberChange {
        tag: entry.tag,
        refutation: entry.record.refutation,
        state: entry.record.state,
    }
}

/// Tells a member that it is suspected or taken for dead, so that it can refute.
pub(super) fn tell_target_of_itself(datagram: &mut Datagram, target: &MemberEntry) {
    if matches!(
        target.record.state,
        MemberState::Suspect | MemberState::Dead
    ) {
        datagram
            .member_changes
            .push(&change_of(target), MAX_DATAGRAM_BYTES);
    }
}
