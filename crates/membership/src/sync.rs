//! Comparison of full state: which buckets differ, and the datagrams that carry their records.

use std::time::Duration;

use driftspring_types::{EngineRecord, MemberRecord};

use crate::config::{GossipConfig, MAX_DATAGRAM_BYTES};
use crate::digest::DigestHalf;
use crate::engine_table::EngineTable;
use crate::member_table::MemberTable;
use crate::message::{MessageKind, Section};
use crate::rows::{EngineRow, MemberRow};

/// Bytes of records in one datagram, the rest being left for the envelope and the bucket numbers.
const ROW_BYTES: usize = MAX_DATAGRAM_BYTES - 200;

/// Bytes of bucket numbers of each kind in one datagram.
const BUCKET_NUMBER_BYTES: usize = 60;

/// How many datagrams of full state may be sent at present.
#[derive(Debug, Clone)]
pub struct SyncAllowance {
    available: f64,
    refilled_at: Duration,
}

impl SyncAllowance {
    /// The allowance of one second.
    pub fn new(config: &GossipConfig) -> Self {
        Self {
            available: f64::from(config.sync_datagrams_per_second),
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes one datagram from the allowance; false where it is used up.
    pub fn take(&mut self, now: Duration, config: &GossipConfig) -> bool {
        let per_second = f64::from(config.sync_datagrams_per_second);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * per_second).min(per_second);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// The content of one datagram of records.
#[derive(Debug, Clone, Default)]
pub struct SyncPage {
    /// Member buckets complete in this page.
    pub member_buckets: Section,
    /// Engine buckets complete in this page.
    pub engine_buckets: Section,
    /// Member records.
    pub member_rows: Section,
    /// Engine records.
    pub engine_rows: Section,
}

impl SyncPage {
    fn row_bytes(&self) -> usize {
        self.member_rows.len() + self.engine_rows.len()
    }

    fn is_empty(&self) -> bool {
        self.row_bytes() == 0 && self.member_buckets.is_empty() && self.engine_buckets.is_empty()
    }

    /// The kind of the datagram that carries this page.
    pub fn kind(&self) -> MessageKind {
        MessageKind::SyncRows {
            member_buckets: self.member_buckets.clone(),
            engine_buckets: self.engine_buckets.clone(),
        }
    }
}

/// The request that compares both tables with a peer's.
pub fn request(members: &MemberTable, engines: &EngineTable, half: DigestHalf) -> MessageKind {
    MessageKind::SyncRequest {
        half,
        member_digests: Section::from_bytes(members.digest().bucket_halves(half)),
        engine_digests: Section::from_bytes(engines.digest().bucket_halves(half)),
    }
}

/// Packs records bucket by bucket into datagrams.
#[derive(Debug, Default)]
pub struct SyncPages {
    pages: Vec<SyncPage>,
    open: SyncPage,
}

impl SyncPages {
    /// Adds all records of one member bucket.
    pub fn add_members<'a>(
        &mut self,
        bucket: usize,
        records: impl Iterator<Item = &'a MemberRecord>,
    ) {
        let mut rows = Section::default();
        let mut whole = true;
        for record in records {
            if !rows.push(&MemberRow::from(record), ROW_BYTES) {
                whole = false;
                self.close_with(|page| page.member_rows = std::mem::take(&mut rows));
                rows.push(&MemberRow::from(record), ROW_BYTES);
            }
        }
        self.make_room(rows.len());
        self.open.member_rows.append(&rows);
        let number = bucket as u32;
        if whole && !self.open.member_buckets.push(&number, BUCKET_NUMBER_BYTES) {
            self.close();
            self.open.member_buckets.push(&number, BUCKET_NUMBER_BYTES);
        }
    }

    /// Adds all records of one engine bucket.
    pub fn add_engines<'a>(
        &mut self,
        bucket: usize,
        records: impl Iterator<Item = &'a EngineRecord>,
    ) {
        let mut rows = Section::default();
        let mut whole = true;
        for record in records {
            if !rows.push(&EngineRow::from(record), ROW_BYTES) {
                whole = false;
                self.close_with(|page| page.engine_rows = std::mem::take(&mut rows));
                rows.push(&EngineRow::from(record), ROW_BYTES);
            }
        }
        self.make_room(rows.len());
        self.open.engine_rows.append(&rows);
        let number = bucket as u32;
        if whole && !self.open.engine_buckets.push(&number, BUCKET_NUMBER_BYTES) {
            self.close();
            self.open.engine_buckets.push(&number, BUCKET_NUMBER_BYTES);
        }
    }

    /// The datagrams.
    pub fn finish(mut self) -> Vec<SyncPage> {
        self.close();
        self.pages
    }

    fn make_room(&mut self, bytes: usize) {
        if self.open.row_bytes() + bytes > ROW_BYTES {
            self.close();
        }
    }

    /// Puts part of an oversized bucket into a separate page; the bucket is then in no page whole.
    fn close_with(&mut self, fill: impl FnOnce(&mut SyncPage)) {
        self.close();
        fill(&mut self.open);
        self.close();
    }

    fn close(&mut self) {
        let page = std::mem::take(&mut self.open);
        if !page.is_empty() {
            self.pages.push(page);
        }
    }
}
