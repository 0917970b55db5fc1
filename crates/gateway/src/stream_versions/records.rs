//! The records of streams.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use driftspring_clock::Instant;

use super::key::StreamKey;
use crate::protocol::SoftwareVersion;

/// Limit of the records; the oldest are dropped first. At 7 streams a second and gateway, three homes and deadlines of
/// 600 s some 18,000 are kept.
pub const MAX_RECORDS: usize = 1 << 16;

/// How long a record is kept after the deadline of the request that began the stream.
pub const RECORD_MARGIN: Duration = Duration::from_secs(30);

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRecord {
    /// The digest of its service's name.
    pub service: u64,
    /// The version; `None` if it is not known for certain.
    pub version: Option<SoftwareVersion>,
    /// When the record may be forgotten.
    pub expires_at: Instant,
    /// Whether this gateway relays or has relayed the stream.
    pub is_own: bool,
}

impl StreamRecord {
    /// Combines two records of one key. If they differ, the caller has used an id twice, and it is not known which
    /// stream is meant.
    pub fn merge(self, other: Self) -> Self {
        let is_same = self.service == other.service && self.version == other.version;
        Self {
            service: self.service,
            version: self.version.filter(|_| is_same),
            expires_at: self.expires_at.max(other.expires_at),
            is_own: self.is_own || other.is_own,
        }
    }
}

/// Records by key.
#[derive(Debug, Default)]
pub struct StreamRecords {
    by_key: HashMap<StreamKey, StreamRecord>,
    /// The keys in the order of their insertion.
    order: VecDeque<StreamKey>,
}

impl StreamRecords {
    /// Adds a record, or merges it with the known one of this key.
    pub fn insert(&mut self, key: StreamKey, record: StreamRecord, now: Instant) {
        self.remove_expired(now);
        match self.by_key.get_mut(&key) {
            Some(known) if now < known.expires_at => *known = known.merge(record),
            Some(known) => *known = record,
            None => {
                self.by_key.insert(key, record);
                self.order.push_back(key);
            }
        }
        while self.by_key.len() > MAX_RECORDS {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.by_key.remove(&oldest);
        }
    }

    /// The record of this key.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<StreamRecord> {
        let record = self.by_key.get(&key).copied();
        record.filter(|record| now < record.expires_at)
    }

    /// The records of streams of a service that this gateway relays or has relayed.
    pub fn own_of_service(&self, service: u64, now: Instant) -> Vec<(StreamKey, StreamRecord)> {
        let is_meant = |record: &StreamRecord| {
            record.is_own && record.service == service && now < record.expires_at
        };
        let records = self.by_key.iter();
        let own = records.filter(|(_, record)| is_meant(record));
        own.map(|(key, record)| (*key, *record)).collect()
    }

    /// Number of records, expired ones that were not removed yet included.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Removes the oldest records as far as they have expired.
    fn remove_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front() {
            let is_needed = |record: &StreamRecord| now < record.expires_at;
            if self.by_key.get(oldest).is_some_and(is_needed) {
                return;
            }
            self.by_key.remove(oldest);
            self.order.pop_front();
        }
    }
}
