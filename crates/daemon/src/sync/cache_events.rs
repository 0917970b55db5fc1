//! Reads the engines' cache events, where the settings ask for it.
//!
//! It is off by default: events are the largest stream that a daemon could read, and answers give most of
//! what they give at no cost (`docs/DESIGN.md`, "Engine choice"). A reader that falls behind or loses its
//! connection makes the engine's entries uncertain; they expire by age then.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use driftspring_directory as directory;
use driftspring_directory::{CacheEventKind, EventCursor, EventStep};
use driftspring_external::engine::{CacheEvent, EngineClient, EngineError, EngineTimeouts};
use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use driftspring_types::{EngineId, Incarnation};
use ntex::rt::spawn;
use ntex::time::sleep;

use crate::state::DaemonState;

/// Engines whose events one daemon reads at the most; those of the others stay unread.
const MAX_STREAMS: usize = 32;

/// Time between two looks for engines without a reader; also the pause after a broken stream.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Asks for events from now on only.
const FROM_NOW_ON: u64 = u64::MAX;

/// Timeouts of opening a stream.
const TIMEOUTS: EngineTimeouts = EngineTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_secs(1),
};

/// Keeps a reader for each engine, up to [`MAX_STREAMS`], until the process ends.
pub async fn run(state: Arc<DaemonState>) {
    if !state.settings.routing.use_events {
        return;
    }
    let client = match EngineClient::new(TIMEOUTS).await {
        Ok(client) => client,
        Err(error) => {
            log_event!(sync::CACHE_EVENTS_FAILED, "error={error:#}");
            return;
        }
    };
    let open = Rc::new(RefCell::new(HashSet::new()));
    while !state.is_terminated() {
        let unread = without_reader(&state, &open.borrow());
        for (engine, address) in unread {
            open.borrow_mut().insert(engine.clone());
            let reader = Reader {
                state: Arc::clone(&state),
                client: client.clone(),
                engine,
                address,
                cursor: None,
            };
            spawn(reader.run(Rc::clone(&open)));
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// The engines to read next, with their addresses.
fn without_reader(state: &DaemonState, open: &HashSet<EngineId>) -> Vec<(EngineId, String)> {
    let engines = state.engines.load();
    let records = engines.iter().map(|entry| &entry.record);
    records
        .filter(|record| !open.contains(&record.id))
        .take(MAX_STREAMS.saturating_sub(open.len()))
        .map(|record| (record.id.clone(), record.address.clone()))
        .collect()
}

/// Reads the events of one engine.
struct Reader {
    state: Arc<DaemonState>,
    client: EngineClient,
    engine: EngineId,
    address: String,
    cursor: Option<(Incarnation, EventCursor)>,
}

impl Reader {
    /// Reads until the stream ends; the engine gets another reader in a later round.
    async fn run(mut self, open: Rc<RefCell<HashSet<EngineId>>>) {
        if let Err(error) = self.read().await {
            log_event!(
                sync::CACHE_EVENTS_BROKEN,
                "engine={} cause=\"{error}\"",
                self.engine
            );
        }
        self.mark_uncertain();
        sleep(ROUND_INTERVAL).await;
        open.borrow_mut().remove(&self.engine);
    }

    async fn read(&mut self) -> Result<(), EngineError> {
        let stream = self.client.cache_events(&self.address, FROM_NOW_ON);
        let mut stream = stream.await?;
        while let Some(event) = stream.next().await? {
            if self.state.is_terminated() {
                return Ok(());
            }
            self.apply(event);
        }
        Ok(())
    }

    fn apply(&mut self, event: CacheEvent) {
        match event {
            CacheEvent::Hello {
                incarnation,
                next_sequence,
            } => self.begin(incarnation, next_sequence),
            CacheEvent::Stored {
                sequence,
                incarnation,
                hashes,
            } => self.change(directory::CacheEvent {
                sequence,
                incarnation,
                kind: CacheEventKind::Stored,
                hashes,
            }),
            CacheEvent::Removed {
                sequence,
                incarnation,
                hashes,
            } => self.change(directory::CacheEvent {
                sequence,
                incarnation,
                kind: CacheEventKind::Removed,
                hashes,
            }),
            CacheEvent::Cleared {
                sequence,
                incarnation,
            } => self.change(directory::CacheEvent {
                sequence,
                incarnation,
                kind: CacheEventKind::Cleared,
                hashes: Vec::new(),
            }),
        }
    }

    /// Takes up the events of `incarnation`; what was known before stays uncertain.
    fn begin(&mut self, incarnation: Incarnation, next_sequence: u64) {
        self.cursor = Some((incarnation, EventCursor::new(incarnation, next_sequence)));
        let directory = &self.state.routing.directory;
        if let Some(residency) = directory.of_incarnation(&self.engine, incarnation) {
            residency.events_resumed(self.state.uptime());
        }
    }

    fn change(&mut self, event: directory::CacheEvent) {
        let Some((_, cursor)) = &mut self.cursor else {
            return;
        };
        let step = cursor.step(event.incarnation, event.sequence);
        match step {
            EventStep::Skip => return,
            EventStep::OtherIncarnation => self.begin(event.incarnation, event.sequence + 1),
            EventStep::Apply | EventStep::ApplyAfterGap => {}
        }
        let directory = &self.state.routing.directory;
        let Some(residency) = directory.of_incarnation(&self.engine, event.incarnation) else {
            return;
        };
        let now = self.state.uptime();
        if step == EventStep::ApplyAfterGap {
            residency.events_resumed(now);
        }
        residency.apply_event(&event, now);
    }

    fn mark_uncertain(&self) {
        let Some((incarnation, _)) = self.cursor else {
            return;
        };
        let directory = &self.state.routing.directory;
        if let Some(residency) = directory.of_incarnation(&self.engine, incarnation) {
            residency.events_lost();
        }
    }
}
