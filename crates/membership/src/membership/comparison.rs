//! Comparison of full state with one peer: requested, answered and completed.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{EngineRecord, MemberRecord, MemberState};
use rand::Rng;

use super::Membership;
use crate::action::Action;
use crate::config::MAX_DATAGRAM_BYTES;
use crate::digest::DigestHalf;
use crate::message::{Datagram, DecodeError, MessageKind, Section};
use crate::prober::jittered;
use crate::rows::{EngineRow, MemberRow};
use crate::sync::{SyncPage, SyncPages};

/// Messages in a row with differing digests before full state is compared: shorter differences
/// are news that are still under way.
const DIFFERING_DIGESTS: u32 = 3;

/// Messages in a row with equal digests until a daemon that has just started knows as much as the
/// others; fewer may come from others that have just started too.
const EQUAL_DIGESTS: u32 = 4;

/// Datagrams of records in one answer: what is missing then comes from the next peer asked.
const PAGES_PER_ANSWER: usize = 8;

/// Members named to a daemon that can't be answered now.
const INTRODUCTIONS: usize = 6;

/// Bytes of each kind of record pushed back in one datagram.
const PUSH_BACK_BYTES: usize = (MAX_DATAGRAM_BYTES - 200) / 2;

impl Membership {
    /// Sends the records of the buckets whose digests differ, from a random bucket on, so that
    /// answers cut short by the allowance differ.
    pub(super) fn send_differing_buckets(
        &mut self,
        now: Duration,
        to: SocketAddr,
        half: DigestHalf,
        digests: (&[u8], &[u8]),
        actions: &mut Vec<Action>,
    ) {
        let mut members = self.members.digest().differing(half, digests.0);
        let mut engines = self.engines.digest().differing(half, digests.1);
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
        for (sent, page) in pages.into_iter().take(PAGES_PER_ANSWER).enumerate() {
            if !self.allowance.take(now, &self.config) {
                if sent == 0 {
                    self.introduce_others(to, actions);
                }
                return;
            }
            let mut datagram = self.compose_bare(page.kind());
            datagram.member_rows = page.member_rows;
            datagram.engine_rows = page.engine_rows;
            actions.push(Action::Send { to, datagram });
        }
    }

    /// Names some other members instead of an answer, for the sender to ask: in a herd start
    /// hundreds of daemons ask the same few.
    fn introduce_others(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let mut datagram = self.compose_bare(MessageKind::News);
        for _ in 0..INTRODUCTIONS {
            let go_far = self.rng.random();
            if let Some(entry) = self.random_peer(go_far) {
                let row = MemberRow::from(&entry.record);
                datagram.member_rows.push(&row, PUSH_BACK_BYTES);
            }
        }
        actions.push(Action::Send { to, datagram });
    }

    /// Sends back what the sender of some whole buckets does not know or knows only in an older state.
    pub(super) fn push_back(
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
    pub(super) fn compare_digests(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &Datagram,
        actions: &mut Vec<Action>,
    ) {
        self.engines.heard_digest(datagram.engines_digest);
        self.heard_members_digest(datagram.members_digest);
        let equal = datagram.members_digest == self.members.digest().total()
            && datagram.engines_digest == self.engines.digest().total();
        if equal {
            self.differing_digests = 0;
            self.equal_digests += 1;
            self.is_settled |= self.has_agreeing_peers();
            return;
        }
        if matches!(datagram.kind, MessageKind::SyncRequest { .. }) {
            return;
        }
        self.equal_digests = 0;
        self.differing_digests += 1;
        if self.is_joining(now) {
            // Comparisons are made anyhow, one after the other.
            return;
        }
        if now >= self.next_sync_at && self.differing_digests >= DIFFERING_DIGESTS {
            self.next_sync_at = now + jittered(self.config.sync_interval, &mut self.rng);
            self.differing_digests = 0;
            self.request_sync(from, actions);
        }
    }

    /// Whether the last few messages came from peers that know exactly the same.
    pub(super) fn has_agreeing_peers(&self) -> bool {
        self.equal_digests >= EQUAL_DIGESTS
    }

    /// An equal digest shows that the peer knows all news but suspicions, which it does not cover.
    fn heard_members_digest(&mut self, digest: u32) {
        if digest != self.members.digest().total() {
            return;
        }
        let members = &self.members;
        self.news.count_known_by_a_peer(|id| {
            members
                .get(id)
                .is_none_or(|entry| entry.record.state != MemberState::Suspect)
        });
    }
}

fn rotate_at_random(buckets: &mut [usize], rng: &mut impl Rng) {
    if !buckets.is_empty() {
        let start = rng.random_range(0..buckets.len());
        buckets.rotate_left(start);
    }
}
