//! What a datagram brings.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{DaemonId, EngineRecord};

use super::Membership;
use crate::action::Action;
use crate::engine_table::EngineMerge;
use crate::message::{Datagram, DecodeError, MessageKind};
use crate::prober::RelayedProbe;
use crate::rows::{CompactAddress, EngineRow, LoadReport, ZoneContact};
use crate::tag::MemberTag;

impl Membership {
    /// Merges what `datagram`, received from `from`, brings and answers it. An error where it is of
    /// another cluster, which may have had this address before, or where a list in it does not
    /// decode; what came before that stays merged, which is harmless.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
    ) -> Result<Vec<Action>, DecodeError> {
        if let (Some(own), Some(other)) = (self.config.cluster, datagram.cluster)
            && own != other
        {
            return Err(DecodeError::new("it is of another cluster"));
        }
        let mut actions = Vec::new();
        let is_sync = matches!(datagram.kind, MessageKind::SyncRows { .. });
        self.receive_members(now, datagram, is_sync, &mut actions)?;
        self.send_corrections(from, &mut actions);
        self.receive_engines(now, datagram, is_sync, &mut actions)?;
        let sender = self.heard_from(now, from, datagram, &mut actions)?;
        self.answer(now, from, datagram, sender.as_ref(), &mut actions)?;
        self.compare_digests(now, from, datagram, &mut actions);
        Ok(actions)
    }

    fn receive_engines(
        &mut self,
        now: Duration,
        datagram: &Datagram,
        is_sync: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), DecodeError> {
        let relay = self.relays(now, is_sync);
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
                half,
                member_digests,
                engine_digests,
            } => {
                let digests = (member_digests.as_bytes(), engine_digests.as_bytes());
                self.send_differing_buckets(now, from, *half, digests, actions);
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
}
