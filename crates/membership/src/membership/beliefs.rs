//! What others say of members: merged, refuted, corrected and passed on.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{MemberRecord, MemberState};

use super::Membership;
use crate::action::Action;
use crate::member_table::MemberMerge;
use crate::message::{Datagram, DecodeError, MessageKind};
use crate::rows::{MemberChange, MemberRow};
use crate::tag::MemberTag;

/// Bytes of records in one datagram of corrections.
const MAX_CORRECTION_BYTES: usize = 900;

/// Whether `record` says that a member does not answer.
fn is_accusation(record: &MemberRecord) -> bool {
    matches!(record.state, MemberState::Suspect | MemberState::Dead)
}

impl Membership {
    /// Whether whole records of new lives are passed on. While many daemons start at once every record is news to
    /// all of them, and comparisons spread it with far fewer bytes than passing on would; a daemon
    /// that starts alone has no news for anybody.
    pub(super) fn relays(&self, now: Duration, is_sync: bool) -> bool {
        !self.is_joining(now) && !is_sync
    }

    pub(super) fn receive_members(
        &mut self,
        now: Duration,
        datagram: &Datagram,
        is_sync: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), DecodeError> {
        let relay = self.relays(now, is_sync);
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
        if outcome == MemberMerge::Older && is_accusation(record) {
            self.corrections.push(record.id.clone());
        }
        if relay && outcome == MemberMerge::NewLife {
            let tag = MemberTag::of(record);
            self.whole_records.insert(record.id.clone(), tag);
            self.news.push(record.id.clone());
        }
        if outcome == MemberMerge::NewState {
            self.news.push(record.id.clone());
        }
        self.member_actions(now, outcome, &record.id, actions);
    }

    /// Tells the sender of an accusation that was refuted meanwhile: it may be one of the few that the
    /// refutation has missed, and would soon declare the member dead.
    pub(super) fn send_corrections(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        if self.corrections.is_empty() {
            return;
        }
        let mut datagram = self.compose_bare(MessageKind::News);
        for id in std::mem::take(&mut self.corrections) {
            if let Some(entry) = self.members.get(&id) {
                let row = MemberRow::from(&entry.record);
                datagram.member_rows.push(&row, MAX_CORRECTION_BYTES);
            }
        }
        actions.push(Action::Send { to, datagram });
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
        if is_accusation(heard) {
            self.corrections.push(self.own.id.clone());
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
}
