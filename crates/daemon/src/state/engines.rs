//! The engines known to a daemon, with the counters that survive each rebuild of the table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use driftspring_limits::EngineBreaker;
use driftspring_membership::merge_engines;
use driftspring_types::{EngineId, EngineRecord};

/// This daemon's own counters for one engine.
#[derive(Debug, Default)]
pub struct EngineLoadCounters {
    /// Requests that this daemon has open at the engine.
    pub open_requests: AtomicU32,
    /// Prompt tokens dispatched by this daemon for which no first token has come yet.
    pub pending_prefill_tokens: AtomicU32,
    /// Keeps requests away while the engine does not answer.
    pub breaker: EngineBreaker,
    /// Requests that this daemon has sent to the engine so far.
    pub dispatched_requests: AtomicU64,
    /// Prompt tokens of the answers that the engine began through this daemon.
    pub prompt_tokens: AtomicU64,
    /// Those that the engine took from its cache, as it said.
    pub cached_tokens: AtomicU64,
    /// When the newest report reached this daemon, in milliseconds since it started.
    pub reported_at_ms: AtomicU64,
    /// Prompt tokens dispatched by this daemon since then.
    dispatched_since_tokens: AtomicU32,
    /// Requests dispatched by this daemon since then.
    dispatched_since_requests: AtomicU32,
}

/// One reading of [`EngineLoadCounters`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Requests that this daemon has open at the engine.
    pub open_requests: u32,
    /// Prompt tokens dispatched by this daemon for which no first token has come yet.
    pub pending_prefill_tokens: u32,
    /// When the newest report reached this daemon, since it started.
    pub reported_at: Duration,
    /// Prompt tokens dispatched by this daemon since then.
    pub dispatched_since_tokens: u32,
    /// Requests dispatched by this daemon since then.
    pub dispatched_since_requests: u32,
}

impl EngineLoadCounters {
    /// Counts a dispatched request of `prefill_tokens` prompt tokens expected to be computed.
    pub fn dispatched(&self, prefill_tokens: u32) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.dispatched_requests.fetch_add(1, Ordering::Relaxed);
        self.pending_prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
        self.dispatched_since_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
        self.dispatched_since_requests
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a report reached this daemon. What was dispatched before counts as part of it.
    pub fn reported(&self, now_ms: u64) {
        self.reported_at_ms.store(now_ms, Ordering::Relaxed);
        self.dispatched_since_tokens.store(0, Ordering::Relaxed);
        self.dispatched_since_requests.store(0, Ordering::Relaxed);
    }

    /// Reads all counters; each for itself, so that they may differ by a request under way.
    pub fn own_load(&self) -> OwnLoad {
        OwnLoad {
            open_requests: self.open_requests.load(Ordering::Relaxed),
            pending_prefill_tokens: self.pending_prefill_tokens.load(Ordering::Relaxed),
            reported_at: Duration::from_millis(self.reported_at_ms.load(Ordering::Relaxed)),
            dispatched_since_tokens: self.dispatched_since_tokens.load(Ordering::Relaxed),
            dispatched_since_requests: self.dispatched_since_requests.load(Ordering::Relaxed),
        }
    }

    /// Counts the first token of a request.
    pub fn first_token(&self, prefill_tokens: u32) {
        self.pending_prefill_tokens
            .fetch_sub(prefill_tokens, Ordering::Relaxed);
    }

    /// Counts the prompt of an answer, with what the engine took from its cache.
    pub fn answered(&self, prompt_tokens: u32, cached_tokens: u32) {
        self.prompt_tokens
            .fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
        self.cached_tokens
            .fetch_add(u64::from(cached_tokens), Ordering::Relaxed);
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
    entries: BTreeMap<EngineId, Arc<EngineEntry>>,
}

impl EngineTable {
    /// The engine `id`.
    pub fn get(&self, id: &EngineId) -> Option<&Arc<EngineEntry>> {
        self.entries.get(id)
    }

    /// All engines, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<EngineEntry>> {
        self.entries.values()
    }

    /// A table in which `record` is merged with what is known of its engine; nothing where that
    /// changes nothing.
    pub fn with_record(&self, record: EngineRecord) -> Option<Self> {
        let entry = merged_entry(self.entries.get(&record.id), &record)?;
        let mut entries = self.entries.clone();
        entries.insert(record.id, entry);
        Some(Self { entries })
    }

    /// A table of exactly the engines in `records` and of the bootstrap engines that never
    /// reported, each merged with what is known here. `now` is the time since the daemon started.
    pub fn rebuilt<'a>(
        &self,
        records: impl Iterator<Item = &'a EngineRecord>,
        now: Duration,
    ) -> Self {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let never_reported =
            |(_, entry): &(&EngineId, &Arc<EngineEntry>)| entry.record.incarnation.0 == 0;
        let mut entries: BTreeMap<EngineId, Arc<EngineEntry>> = self
            .entries
            .iter()
            .filter(never_reported)
            .map(|(id, entry)| (id.clone(), Arc::clone(entry)))
            .collect();
        for record in records {
            let known = self.entries.get(&record.id);
            let entry = match (merged_entry(known, record), known) {
                (Some(entry), _) => {
                    entry.counters.reported(now_ms);
                    entry
                }
                (None, Some(known)) => Arc::clone(known),
                (None, None) => continue,
            };
            entries.insert(record.id.clone(), entry);
        }
        Self { entries }
    }

    /// A table without the engine `id`.
    pub fn without(&self, id: &EngineId) -> Self {
        let mut entries = self.entries.clone();
        entries.remove(id);
        Self { entries }
    }
}

/// The entry after `record` is merged with the known one; nothing where that changes nothing.
fn merged_entry(
    known: Option<&Arc<EngineEntry>>,
    record: &EngineRecord,
) -> Option<Arc<EngineEntry>> {
    let Some(known) = known else {
        return Some(Arc::new(EngineEntry {
            record: record.clone(),
            counters: Arc::default(),
        }));
    };
    let merged = merge_engines(&known.record, record);
    if merged == known.record {
        return None;
    }
    Some(Arc::new(EngineEntry {
        record: merged,
        counters: Arc::clone(&known.counters),
    }))
}
