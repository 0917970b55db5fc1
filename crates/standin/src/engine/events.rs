//! Cache events: kept in order, sent late and with gaps as the switches say.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_engine_model::CacheChange;
use ntex::util::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::sync::watch;

use super::state::EngineState;
use crate::streaming::{PartSource, StreamBroken, json_line};

/// Events kept for readers that connect again.
const KEPT_EVENTS: usize = 16 * 1024;

/// A reader that waits for events wakes at least this often to notice a hung-up caller.
const HEARTBEAT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Hello,
    Stored,
    Removed,
    Cleared,
}

#[derive(Debug, Clone, Serialize)]
struct EventLine {
    sequence: u64,
    incarnation: u64,
    kind: EventKind,
    hashes: Vec<u64>,
}

#[derive(Debug, Serialize)]
struct HelloLine {
    kind: EventKind,
    incarnation: u64,
    next_sequence: u64,
}

#[derive(Debug, Clone)]
struct KeptEvent {
    line: EventLine,
    made_at: Instant,
    lost: bool,
}

/// The events of one engine. Sequence numbers go on over its restarts.
#[derive(Debug)]
pub(crate) struct EventLog {
    kept: VecDeque<KeptEvent>,
    next_sequence: u64,
    news: watch::Sender<u64>,
    random: StdRng,
}

impl EventLog {
    /// An empty log whose losses are drawn from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            kept: VecDeque::new(),
            next_sequence: 0,
            news: watch::Sender::new(0),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Adds a change; it is lost with a chance of `loss_percent`.
    pub(crate) fn push(&mut self, change: CacheChange, incarnation: u64, loss_percent: u8) {
        let (kind, blocks) = match change {
            CacheChange::Stored(blocks) => (EventKind::Stored, blocks),
            CacheChange::Removed(blocks) => (EventKind::Removed, blocks),
            CacheChange::Cleared => (EventKind::Cleared, Vec::new()),
        };
        let line = EventLine {
            sequence: self.next_sequence,
            incarnation,
            kind,
            hashes: blocks.into_iter().map(|block| block.0).collect(),
        };
        self.kept.push_back(KeptEvent {
            line,
            made_at: Instant::now(),
            lost: self.random.random_range(0..100) < loss_percent,
        });
        if self.kept.len() > KEPT_EVENTS {
            self.kept.pop_front();
        }
        self.next_sequence += 1;
        self.news.send_replace(self.next_sequence);
    }

    /// The first event at or after `from` that is not lost; nothing where there is none.
    fn next_from(&self, from: u64) -> Option<KeptEvent> {
        let oldest = self.kept.front()?.line.sequence;
        let skip = usize::try_from(from.saturating_sub(oldest)).unwrap_or(usize::MAX);
        let mut later = self.kept.iter().skip(skip);
        later.find(|event| !event.lost).cloned()
    }
}

/// The source of one reader's lines.
pub(crate) struct EventSource {
    state: Arc<EngineState>,
    next: u64,
    hello: Option<HelloLine>,
    news: watch::Receiver<u64>,
}

impl EventSource {
    /// The events at or after `from`; without it, those from now on. Numbers of the future count as now.
    pub(crate) fn new(state: Arc<EngineState>, from: Option<u64>) -> Self {
        let core = state.core();
        let next_sequence = core.events.next_sequence;
        let hello = HelloLine {
            kind: EventKind::Hello,
            incarnation: core.incarnation,
            next_sequence,
        };
        let news = core.events.news.subscribe();
        drop(core);
        Self {
            state,
            next: from.unwrap_or(next_sequence).min(next_sequence),
            hello: Some(hello),
            news,
        }
    }

    async fn next_event(&mut self) -> KeptEvent {
        loop {
            self.news.mark_unchanged();
            if let Some(event) = self.state.core().events.next_from(self.next) {
                return event;
            }
            // A timeout only leads to another look.
            let _ = tokio::time::timeout(HEARTBEAT, self.news.changed()).await;
        }
    }
}

impl PartSource for EventSource {
    async fn next_part(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        if let Some(hello) = self.hello.take() {
            return Ok(Some(json_line(&hello)));
        }
        let event = self.next_event().await;
        let delay = Duration::from_millis(self.state.faults.current().event_delay_ms);
        let late = delay.saturating_sub(event.made_at.elapsed());
        if !late.is_zero() {
            tokio::time::sleep(late).await;
        }
        self.next = event.line.sequence + 1;
        Ok(Some(json_line(&event.line)))
    }
}
