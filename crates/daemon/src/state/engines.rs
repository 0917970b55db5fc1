//! The engines known to a daemon, with the counters that survive each rebuild of the table.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use driftspring_types::{EngineId, EngineRecord};

/// This daemon's own counters for one engine.
#[derive(Debug, Default)]
pub struct EngineLoadCounters {
    /// Requests that this daemon has open at the engine.
    pub open_requests: AtomicU32,
    /// Prompt tokens dispatched by this daemon for which no first token has come yet.
    pub pending_prefill_tokens: AtomicU32,
    /// When the newest report reached this daemon, in milliseconds since it started.
    pub reported_at_ms: AtomicU64,
}

impl EngineLoadCounters {
    /// Counts a dispatched request of `prefill_tokens` prompt tokens expected to be computed.
    pub fn dispatched(&self, prefill_tokens: u32) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.pending_prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
    }

    /// Counts the first token of a request.
    pub fn first_token(&self, prefill_tokens: u32) {
        self.pending_prefill_tokens
            .fetch_sub(prefill_tokens, Ordering::Relaxed);
    }

    /// Counts the end of a request.
    pub fn ended(&self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One engine as the request path sees it.
#[derive(Debug, Clone)]
pub struct EngineEntry {
    /// The newest record.
    pub record: EngineRecord,
    /// This daemon's own counters; the same object in every rebuilt table.
    pub counters: Arc<EngineLoadCounters>,
}

/// All engines known.
#[derive(Debug, Clone, Default)]
pub struct EngineTable {
    entries: HashMap<EngineId, Arc<EngineEntry>>,
}

impl EngineTable {
    /// The engine `id`.
    pub fn get(&self, id: &EngineId) -> Option<&Arc<EngineEntry>> {
        self.entries.get(id)
    }

    /// All engines, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<EngineEntry>> {
        self.entries.values()
    }

    /// A table in which `record` replaces an older one of its engine; nothing where it is not newer.
    pub fn with_record(&self, record: EngineRecord) -> Option<Self> {
        let known = self.entries.get(&record.id);
        if known.is_some_and(|known| !record.supersedes(&known.record)) {
            return None;
        }
        let counters = known
            .map(|known| Arc::clone(&known.counters))
            .unwrap_or_default();
        let mut entries = self.entries.clone();
        entries.insert(
            record.id.clone(),
            Arc::new(EngineEntry { record, counters }),
        );
        Some(Self { entries })
    }

    /// A table without the engine `id`.
    pub fn without(&self, id: &EngineId) -> Self {
        let mut entries = self.entries.clone();
        entries.remove(id);
        Self { entries }
    }
}
