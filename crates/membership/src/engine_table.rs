//! The table of engines: records merged by report sequence, spread by gossip, expiring unheard.
//!
//! Changes of life, weights or health go everywhere as whole records. Loads change all the time:
//! they go as short reports, often within the engine's own zone and coarsely to the other zones.

use std::collections::BTreeMap;
use std::time::Duration;

use driftspring_types::{EngineHealth, EngineId, EngineLoad, EngineRecord, Incarnation, ZoneName};

use crate::config::GossipConfig;
use crate::digest::TableDigest;
use crate::merge::merge_engines;
use crate::message::Section;
use crate::rows::{EngineRow, LoadReport};
use crate::tag::EngineTag;
use crate::update_queue::UpdateQueue;

/// Buckets in which engine tables are compared: two or three records each at 600 engines.
const ENGINE_BUCKETS: usize = 256;

/// One engine.
#[derive(Debug, Clone)]
struct EngineEntry {
    record: EngineRecord,
    tag: EngineTag,
    refreshed_at: Duration,
    load_queued_at: Option<Duration>,
    coarse_load_queued: u32,
}

/// What the merge of a record did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineMerge {
    /// Nothing new.
    Known,
    /// Only the load is new.
    NewLoad,
    /// The engine, its life, weights or health is new.
    NewState,
}

/// All engines known.
#[derive(Debug, Clone)]
pub struct EngineTable {
    own_zone: ZoneName,
    entries: BTreeMap<EngineId, EngineEntry>,
    by_tag: BTreeMap<EngineTag, EngineId>,
    digest: TableDigest,
    changes: UpdateQueue<EngineId>,
    near_loads: UpdateQueue<EngineId>,
    far_loads: UpdateQueue<EngineId>,
    /// Expired lives, so that a peer that still remembers one does not bring it back.
    expired: BTreeMap<EngineId, (Incarnation, u64)>,
    /// Where the turn of loads for other zones begins, so that the daemons of a zone do not all
    /// send the same ones at a time.
    far_start: usize,
    far_cursor: Option<EngineId>,
    version: u64,
}

/// The power of two above the work that waits at an engine; a change of it is worth telling far.
fn coarse_load(load: &EngineLoad) -> u32 {
    let pending = load.pending_prefill_tokens / 64 + load.queued * 16 + load.running;
    u32::BITS - pending.leading_zeros()
}

impl EngineTable {
    /// An empty table of a daemon in `own_zone`; `far_start` should differ between daemons.
    pub fn new(own_zone: ZoneName, config: &GossipConfig, far_start: usize) -> Self {
        Self {
            own_zone,
            entries: BTreeMap::new(),
            by_tag: BTreeMap::new(),
            digest: TableDigest::new(ENGINE_BUCKETS),
            changes: UpdateQueue::new(config.change_transmissions),
            near_loads: UpdateQueue::new(config.load_transmissions),
            far_loads: UpdateQueue::new(config.load_transmissions),
            expired: BTreeMap::new(),
            far_start,
            far_cursor: None,
            version: 0,
        }
    }

    /// The record of the engine `id`.
    pub fn get(&self, id: &EngineId) -> Option<&EngineRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// All records in the order of the engines' names.
    pub fn iter(&self) -> impl Iterator<Item = &EngineRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// When the newest report of the engine `id` was heard.
    pub fn refreshed_at(&self, id: &EngineId) -> Option<Duration> {
        self.entries.get(id).map(|entry| entry.refreshed_at)
    }

    /// The digest of everything but loads.
    pub fn digest(&self) -> &TableDigest {
        &self.digest
    }

    /// Rises with every change, loads included.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The records of one bucket of the digest.
    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = &EngineRecord> {
        self.iter()
            .filter(move |record| self.digest.bucket_of(record.id.as_str()) == bucket)
    }

    /// Merges a record that this daemon observed itself, and queues it for the others.
    pub fn observe(
        &mut self,
        now: Duration,
        record: &EngineRecord,
        config: &GossipConfig,
    ) -> EngineMerge {
        let outcome = self.merge(now, record);
        match outcome {
            EngineMerge::Known => (),
            EngineMerge::NewLoad => self.queue_observed_load(now, &record.id, config),
            EngineMerge::NewState => self.changes.push(record.id.clone()),
        }
        outcome
    }

    /// Gives the engine `id` another health within its present life and report. Where `life` is named and is
    /// not the present one, nothing changes: the word was about an earlier life.
    pub fn set_health(
        &mut self,
        now: Duration,
        id: &EngineId,
        life: Option<Incarnation>,
        health: EngineHealth,
    ) -> EngineMerge {
        let is_meant = |known: &&EngineRecord| life.is_none_or(|life| life == known.incarnation);
        let Some(known) = self.get(id).filter(is_meant) else {
            return EngineMerge::Known;
        };
        let mut record = known.clone();
        record.health = health;
        let outcome = self.merge(now, &record);
        if outcome == EngineMerge::NewState {
            self.changes.push(id.clone());
        }
        outcome
    }

    /// Merges a whole record from a peer. A change of a known life is always passed on; a record of an
    /// unknown one where `relay` says so.
    pub fn receive_row(
        &mut self,
        now: Duration,
        record: &EngineRecord,
        relay: bool,
    ) -> EngineMerge {
        let known = self.get(&record.id);
        let is_known_life = known.is_some_and(|known| known.incarnation == record.incarnation);
        let outcome = self.merge(now, record);
        if outcome == EngineMerge::NewState && (relay || is_known_life) {
            self.changes.push(record.id.clone());
        }
        outcome
    }

    /// Merges a load report from a peer, and passes it on where it is new.
    pub fn receive_load(
        &mut self,
        now: Duration,
        report: &LoadReport,
        config: &GossipConfig,
    ) -> EngineMerge {
        let Some(id) = self.by_tag.get(&report.tag).cloned() else {
            return EngineMerge::Known;
        };
        let Some(entry) = self.entries.get(&id) else {
            return EngineMerge::Known;
        };
        if report.report_sequence <= entry.record.report_sequence {
            return EngineMerge::Known;
        }
        let record = report.applied_to(&entry.record);
        let outcome = self.merge(now, &record);
        if outcome == EngineMerge::NewLoad {
            self.queue_relayed_load(now, &id, config);
        }
        outcome
    }

    /// Takes in a peer's digest: an equal one shows that it knows every change.
    pub fn heard_digest(&mut self, digest: u32) {
        if digest == self.digest.total() {
            self.changes.count_known_by_a_peer(|_| true);
        }
    }

    /// Whether any change still has to be passed on.
    pub fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Fills `section` with whole records that have news.
    pub fn write_changes(&mut self, section: &mut Section, limit: usize) {
        let Self {
            changes, entries, ..
        } = self;
        changes.take(|id| match entries.get(id) {
            Some(entry) => section.push(&EngineRow::from(&entry.record), limit),
            None => true,
        });
    }

    /// Fills `section` with loads for a peer of the own zone.
    pub fn write_near_loads(&mut self, section: &mut Section, near_limit: usize, far_limit: usize) {
        write_loads(&mut self.near_loads, &self.entries, section, near_limit);
        let limit = section.len() + far_limit;
        write_loads(&mut self.far_loads, &self.entries, section, limit);
    }

    /// Fills `section` with loads of the own zone for a peer of another one, in turn.
    pub fn write_far_loads(&mut self, section: &mut Section, limit: usize) {
        let own_zone = &self.own_zone;
        let mut ids: Vec<&EngineId> = self
            .entries
            .values()
            .filter(|entry| entry.record.zone == *own_zone)
            .map(|entry| &entry.record.id)
            .collect();
        if ids.is_empty() {
            return;
        }
        let start = match &self.far_cursor {
            Some(cursor) => ids.partition_point(|id| *id <= cursor),
            None => self.far_start % ids.len(),
        };
        ids.rotate_left(start);
        let mut last = None;
        for id in ids {
            if !section.push(&LoadReport::from(&self.entries[id].record), limit) {
                break;
            }
            last = Some(id.clone());
        }
        if last.is_some() {
            self.far_cursor = last;
        }
    }

    /// Forgets engines of which nothing new was heard for longer than the expiry.
    pub fn expire(&mut self, now: Duration, config: &GossipConfig) {
        let unheard: Vec<EngineId> = self
            .entries
            .values()
            .filter(|entry| now.saturating_sub(entry.refreshed_at) > config.engine_expiry)
            .map(|entry| entry.record.id.clone())
            .collect();
        for id in unheard {
            self.forget(&id);
        }
    }

    /// Moves all times on by `pause`, during which this process did not run.
    pub fn skip_pause(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            entry.refreshed_at += pause;
        }
    }

    fn merge(&mut self, now: Duration, record: &EngineRecord) -> EngineMerge {
        let position = (record.incarnation, record.report_sequence);
        if self
            .expired
            .get(&record.id)
            .is_some_and(|old| position <= *old)
        {
            return EngineMerge::Known;
        }
        let Some(known) = self.entries.get(&record.id) else {
            self.store(now, record.clone());
            return EngineMerge::NewState;
        };
        let merged = merge_engines(&known.record, record);
        if merged == known.record {
            return EngineMerge::Known;
        }
        let tag_before = known.tag;
        let heard = (merged.incarnation, merged.report_sequence)
            > (known.record.incarnation, known.record.report_sequence);
        let refreshed_at = if heard { now } else { known.refreshed_at };
        let tag = EngineTag::of(&merged);
        self.store(refreshed_at, merged);
        if tag == tag_before {
            EngineMerge::NewLoad
        } else {
            EngineMerge::NewState
        }
    }

    fn store(&mut self, refreshed_at: Duration, record: EngineRecord) {
        let id = record.id.clone();
        let tag = EngineTag::of(&record);
        let old = self.entries.get(&id);
        let old_tag = old.map(|entry| entry.tag);
        let load_queued_at = old.and_then(|entry| entry.load_queued_at);
        let coarse_load_queued = old.map_or(0, |entry| entry.coarse_load_queued);
        if old_tag != Some(tag) {
            if let Some(old_tag) = old_tag {
                self.by_tag.remove(&old_tag);
            }
            self.by_tag.insert(tag, id.clone());
            let old_digest = old_tag.map_or(0, |old_tag| old_tag.0);
            self.digest.replace(id.as_str(), old_digest, tag.0);
            self.expired.remove(&id);
        }
        let entry = EngineEntry {
            record,
            tag,
            refreshed_at,
            load_queued_at,
            coarse_load_queued,
        };
        self.entries.insert(id, entry);
        self.version += 1;
    }

    fn forget(&mut self, id: &EngineId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.by_tag.remove(&entry.tag);
        self.digest.replace(id.as_str(), entry.tag.0, 0);
        self.changes.remove(id);
        self.near_loads.remove(id);
        self.far_loads.remove(id);
        let position = (entry.record.incarnation, entry.record.report_sequence);
        self.expired.insert(id.clone(), position);
        self.version += 1;
    }

    /// Queues an observed load unless another daemon spread one for this engine just before.
    fn queue_observed_load(&mut self, now: Duration, id: &EngineId, config: &GossipConfig) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let due = entry
            .load_queued_at
            .is_none_or(|queued_at| now.saturating_sub(queued_at) >= config.load_interval);
        if due && entry.record.zone == self.own_zone {
            entry.load_queued_at = Some(now);
            self.near_loads.push(id.clone());
        }
    }

    fn queue_relayed_load(&mut self, now: Duration, id: &EngineId, config: &GossipConfig) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.record.zone == self.own_zone {
            entry.load_queued_at = Some(now);
            self.near_loads.push(id.clone());
            return;
        }
        let coarse = coarse_load(&entry.record.load);
        let due = entry
            .load_queued_at
            .is_none_or(|queued_at| now.saturating_sub(queued_at) >= config.far_load_interval);
        if due || coarse != entry.coarse_load_queued {
            entry.load_queued_at = Some(now);
            entry.coarse_load_queued = coarse;
            self.far_loads.push(id.clone());
        }
    }
}

fn write_loads(
    queue: &mut UpdateQueue<EngineId>,
    entries: &BTreeMap<EngineId, EngineEntry>,
    section: &mut Section,
    limit: usize,
) {
    queue.take(|id| match entries.get(id) {
        Some(entry) => section.push(&LoadReport::from(&entry.record), limit),
        None => true,
    });
}
