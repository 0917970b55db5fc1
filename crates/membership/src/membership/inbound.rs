//! What a datagram brings.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{DaemonId, EngineRecord, MemberRecord, MemberState};
use rand::Rng;

use super::Membership;
use crate::action::Action;
use crate::config::MAX_DATAGRAM_BYTES;
use crate::engine_table::EngineMerge;
use crate::member_table::MemberMerge;
use crate::message::{Datagram, DecodeError, MessageKind, Section};
use crate::prober::{RelayedProbe, jittered};
use crate::rows::{CompactAddress, EngineRow, LoadReport, MemberChange, MemberRow, ZoneContact};
use crate::sync::{SyncPage, SyncPages};
use crate::tag::MemberTag;

/// Messages in a row with differing digests before full state is compared: shorter differences
/// are news that are still under way.
const DIFFERING_DIGESTS: u32 = 3;

impl Membership {
    /// Merges what `datagram`, received from `from`, brings and answers it. An error where a list
    /// in it does not decode; what came before the error stays merged, which is harmless.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
    ) -> Result<Vec<Action>, DecodeError> {
        let mut actions = Vec::new();
        let is_sync = matches!(datagram.kind, MessageKind::SyncRows { .. });
        self.receive_members(now, datagram, is_sync, &mut actions)?;
        self.receive_engines(now, datagram, is_sync, &mut actions)?;
        let sender = self.heard_from(now, from, datagram, &mut actions)?;
        self.answer(now, from, datagram, sender.as_ref(), &mut actions)?;
        self.compare_digests(now, from, datagram, &mut actions);
        Ok(actions)
    }

    fn receive_members(
        &mut self,
        now: Duration,
        datagram: &Datagram,
        is_sync: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), DecodeError> {
        // A joining daemon that copies the whole table has no news for anybody.
        let relay = !(is_sync && self.is_joining(now));
        for row in datagram.member_rows.items::<MemberRow>()? {
            self.receive_member(now, &MemberRecord::from(row), relay, actions);
        }
        for change in datagram.member_changes.items::<MemberChange>()? {
            if let Some(record) = self.members.changed(&change) {
                self.receive_member(now, &record, relay, actions);
            }
        }
        Ok(())
    }

    fn receive_member(
        &mut self,
        now: Duration,
        record: &MemberRecord,
        relay: bool,
        actions: &mut Vec<Action>,
    ) {
        if record.id == self.own.id {
            self.correct_own_record(now, record, actions);
            return;
        }
        let outcome = self.members.merge(now, record);
        if relay && outcome == MemberMerge::NewLife {
            let tag = MemberTag::of(record);
            self.whole_records.insert(record.id.clone(), tag);
            self.news.push(record.id.clone());
        }
        if relay && outcome == MemberMerge::NewState {
            self.news.push(record.id.clone());
        }
        self.member_actions(now, outcome, &record.id, actions);
    }

    /// Refutes what others wrongly believe of this daemon.
    fn correct_own_record(
        &mut self,
        now: Duration,
        heard: &MemberRecord,
        actions: &mut Vec<Action>,
    ) {
        if heard.incarnation < self.own.incarnation {
            return;
        }
        if heard.incarnation > self.own.incarnation {
            self.own.incarnation.0 = heard.incarnation.0 + 1;
            self.own.refutation = 0;
            self.store_own(now);
            self.announce_whole_own_record();
            actions.push(Action::IncarnationRaised(self.own.incarnation));
            return;
        }
        let is_wrong = heard.state != self.own.state && heard.refutation >= self.own.refutation;
        let is_ahead = heard.refutation > self.own.refutation;
        let is_known_alive = heard.state == MemberState::Alive;
        if is_ahead || (is_wrong && !is_known_alive) {
            self.own.refutation = heard.refutation + 1;
            self.store_own(now);
            self.news.push(self.own.id.clone());
        }
    }

    fn receive_engines(
        &mut self,
        now: Duration,
        datagram: &Datagram,
        is_sync: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), DecodeError> {
        let relay = !(is_sync && self.is_joining(now));
        for row in datagram.engine_rows.items::<EngineRow>()? {
            let record = EngineRecord::from(row);
            let outcome = self.engines.receive_row(now, &record, relay);
            actions.extend(self.engine_actions(outcome, &record.id));
        }
        for report in datagram.loads.items::<LoadReport>()? {
            let outcome = self.engines.receive_load(now, &report, &self.config);
            debug_assert_ne!(outcome, EngineMerge::NewState);
        }
        Ok(())
    }

    /// Notes what the datagram says by its mere arrival; returns the sender, where it is known.
    fn heard_from(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
        actions: &mut Vec<Action>,
    ) -> Result<Option<DaemonId>, DecodeError> {
        let Some(sender) = self.members.by_tag(datagram.sender) else {
            return Ok(None);
        };
        let (id, zone) = (sender.record.id.clone(), sender.zone);
        self.zones.heard(zone, now);
        if zone == self.own_zone {
            let contacts = datagram.zone_contacts.items::<ZoneContact>()?;
            self.zones.merge(now, &contacts);
        }
        if !datagram.notice.is_empty() {
            actions.push(Action::PeerNotice {
                from: id.clone(),
                address: from,
                notice: datagram.notice.as_bytes().to_vec(),
            });
        }
        Ok(Some(id))
    }

    fn answer(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
        sender: Option<&DaemonId>,
        actions: &mut Vec<Action>,
    ) -> Result<(), DecodeError> {
        match &datagram.kind {
            MessageKind::Ping { sequence } => {
                let kind = MessageKind::Ack {
                    sequence: *sequence,
                    subject: MemberTag::of(&self.own),
                };
                let datagram = self.compose(now, kind, sender);
                actions.push(Action::Send { to: from, datagram });
            }
            MessageKind::Ack { sequence, subject } => {
                self.receive_ack(*sequence, *subject, actions);
            }
            MessageKind::PingRequest { sequence, target } => {
                self.relay_probe(now, from, *sequence, target, actions);
            }
            MessageKind::News => (),
            MessageKind::SyncRequest {
                member_buckets,
                engine_buckets,
            } => {
                let members = member_buckets.items::<u32>()?;
                let engines = engine_buckets.items::<u32>()?;
                self.send_differing_buckets(now, from, (&members, &engines), actions);
            }
            MessageKind::SyncRows {
                member_buckets,
                engine_buckets,
            } => {
                let members = member_buckets.items::<u32>()?;
                let engines = engine_buckets.items::<u32>()?;
                self.push_back(now, from, datagram, (&members, &engines), actions)?;
            }
        }
        Ok(())
    }

    fn receive_ack(&mut self, sequence: u32, subject: MemberTag, actions: &mut Vec<Action>) {
        let Some(relayed) = self.prober.answered(sequence, subject) else {
            return;
        };
        let kind = MessageKind::Ack {
            sequence: relayed.sequence,
            subject,
        };
        let datagram = self.compose_bare(kind);
        let to = relayed.requester;
        actions.push(Action::Send { to, datagram });
    }

    fn relay_probe(
        &mut self,
        now: Duration,
        requester: SocketAddr,
        sequence: u32,
        target: &CompactAddress,
        actions: &mut Vec<Action>,
    ) {
        let Ok(to) = target.clone().into_text().parse::<SocketAddr>() else {
            return;
        };
        let probe = RelayedProbe {
            requester,
            sequence,
            sent_at: now,
        };
        let sequence = self.prober.start_relayed(probe);
        let datagram = self.compose_bare(MessageKind::Ping { sequence });
        actions.push(Action::Send { to, datagram });
    }

    /// Sends the records of the buckets whose digests differ, from a random bucket on, so that
    /// answers cut short by the allowance differ.
    fn send_differing_buckets(
        &mut self,
        now: Duration,
        to: SocketAddr,
        digests: (&[u32], &[u32]),
        actions: &mut Vec<Action>,
    ) {
        let mut members = self.members.digest().differing(digests.0);
        let mut engines = self.engines.digest().differing(digests.1);
        rotate_at_random(&mut members, &mut self.rng);
        rotate_at_random(&mut engines, &mut self.rng);
        let mut pages = SyncPages::default();
        for bucket in members {
            let records = self.members.bucket(bucket).map(|entry| &entry.record);
            pages.add_members(bucket, records);
        }
        for bucket in engines {
            pages.add_engines(bucket, self.engines.bucket(bucket));
        }
        self.send_pages(now, to, pages.finish(), actions);
    }

    fn send_pages(
        &mut self,
        now: Duration,
        to: SocketAddr,
        pages: Vec<SyncPage>,
        actions: &mut Vec<Action>,
    ) {
        for page in pages {
            if !self.allowance.take(now, &self.config) {
                return;
            }
            let mut datagram = self.compose_bare(page.kind());
            datagram.member_rows = page.member_rows;
            datagram.engine_rows = page.engine_rows;
            actions.push(Action::Send { to, datagram });
        }
    }

    /// Sends back what the sender of some whole buckets does not know or knows only in an older state.
    fn push_back(
        &mut self,
        now: Duration,
        to: SocketAddr,
        received: &Datagram,
        buckets: (&[u32], &[u32]),
        actions: &mut Vec<Action>,
    ) -> Result<(), DecodeError> {
        let page = SyncPage {
            member_rows: self.newer_members(received, buckets.0)?,
            engine_rows: self.newer_engines(received, buckets.1)?,
            ..SyncPage::default()
        };
        if page.member_rows.is_empty() && page.engine_rows.is_empty() {
            return Ok(());
        }
        if !self.allowance.take(now, &self.config) {
            return Ok(());
        }
        let mut datagram = self.compose_bare(MessageKind::News);
        datagram.member_rows = page.member_rows;
        datagram.engine_rows = page.engine_rows;
        actions.push(Action::Send { to, datagram });
        Ok(())
    }

    fn newer_members(&self, received: &Datagram, buckets: &[u32]) -> Result<Section, DecodeError> {
        let theirs: Vec<MemberRecord> = received
            .member_rows
            .items::<MemberRow>()?
            .into_iter()
            .map(MemberRecord::from)
            .collect();
        let mut section = Section::default();
        for bucket in buckets {
            for entry in self.members.bucket(*bucket as usize) {
                let known = theirs.iter().find(|record| record.id == entry.record.id);
                let is_newer = known.is_none_or(|known| {
                    let theirs = (known.incarnation, known.refutation, known.state);
                    let ours = &entry.record;
                    (ours.incarnation, ours.refutation, ours.state) > theirs
                });
                if is_newer {
                    section.push(&MemberRow::from(&entry.record), PUSH_BACK_BYTES);
                }
            }
        }
        Ok(section)
    }

    fn newer_engines(&self, received: &Datagram, buckets: &[u32]) -> Result<Section, DecodeError> {
        let theirs: Vec<EngineRecord> = received
            .engine_rows
            .items::<EngineRow>()?
            .into_iter()
            .map(EngineRecord::from)
            .collect();
        let mut section = Section::default();
        for bucket in buckets {
            for ours in self.engines.bucket(*bucket as usize) {
                let known = theirs.iter().find(|record| record.id == ours.id);
                if known.is_none_or(|known| ours.supersedes(known)) {
                    section.push(&EngineRow::from(ours), PUSH_BACK_BYTES);
                }
            }
        }
        Ok(section)
    }

    /// Starts a comparison of full state where the digests keep differing.
    fn compare_digests(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
        actions: &mut Vec<Action>,
    ) {
        self.engines.heard_digest(datagram.engines_digest);
        let equal = datagram.members_digest == self.members.digest().total()
            && datagram.engines_digest == self.engines.digest().total();
        if equal {
            self.differing_digests = 0;
            return;
        }
        if matches!(datagram.kind, MessageKind::SyncRequest { .. }) {
            return;
        }
        self.differing_digests += 1;
        let joining = self.is_joining(now);
        if now < self.next_sync_at || (!joining && self.differing_digests < DIFFERING_DIGESTS) {
            return;
        }
        let interval = if joining {
            self.config.join_sync_interval
        } else {
            self.config.sync_interval
        };
        self.next_sync_at = now + jittered(interval, &mut self.rng);
        self.differing_digests = 0;
        let datagram = self.compose_bare(self.sync_request());
        actions.push(Action::Send { to: from, datagram });
    }
}

/// Bytes of each kind of record pushed back in one datagram.
const PUSH_BACK_BYTES: usize = (MAX_DATAGRAM_BYTES - 200) / 2;

fn rotate_at_random(buckets: &mut [usize], rng: &mut impl Rng) {
    if !buckets.is_empty() {
        let start = rng.random_range(0..buckets.len());
        buckets.rotate_left(start);
    }
}
