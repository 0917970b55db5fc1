//! Observation of engines: each one is asked for its status by its owners only.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_external::engine::{EngineClient, EngineTimeouts};
use driftspring_membership::OwnershipCache;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::{EngineHealth, EngineId};
use ntex::rt::spawn;
use ntex::time::sleep;

use super::duties::may_still_join;
use crate::state::{DaemonState, EngineTable, GossipCommand};

/// Time between two rounds in which due engines are asked.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two status calls of an engine's first owner, and of its second.
const POLL_INTERVALS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(3)];

/// The longest pause between calls to an engine that does not answer.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Status calls in a row without an answer after which an engine counts as unreachable.
const FAILURES_UNTIL_UNREACHABLE: u32 = 2;

/// Timeouts of a status call.
const TIMEOUTS: EngineTimeouts = EngineTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_secs(1),
};

/// The progress of observing one engine.
#[derive(Debug, Default)]
struct Progress {
    asked_at: Option<Instant>,
    in_flight: bool,
    failures: u32,
}

/// Asks engines for their status; belongs to one ntex thread, where clones share everything.
#[derive(Clone)]
pub struct Observer {
    state: Arc<DaemonState>,
    client: EngineClient,
    progress: Rc<RefCell<HashMap<EngineId, Progress>>>,
    ownership: Rc<RefCell<OwnershipCache>>,
}

impl Observer {
    /// An observer with its own connections. Must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn new(state: Arc<DaemonState>) -> anyhow::Result<Self> {
        Ok(Self {
            state,
            client: EngineClient::new(TIMEOUTS).await?,
            progress: Rc::default(),
            ownership: Rc::default(),
        })
    }

    /// Observes the bootstrap engines once and the owned engines until the process ends.
    pub async fn run(self) {
        while may_still_join(&self.state) && self.state.engines.load().iter().next().is_none() {
            sleep(ROUND_INTERVAL).await;
        }
        while !self.state.is_terminated() {
            self.observe_unknown_bootstrap_engines();
            self.observe_due_engines();
            sleep(ROUND_INTERVAL).await;
        }
    }

    /// Asks the engine at `address`, unless a call to it is under way or was made just before.
    pub fn observe_once(&self, id: &EngineId, address: &str) {
        if self.begin(id, POLL_INTERVALS[0]) {
            spawn(self.clone().ask(id.clone(), address.to_owned()));
        }
    }

    fn observe_unknown_bootstrap_engines(&self) {
        let engines = self.state.engines.load();
        for engine in &self.state.settings.bootstrap.engines {
            if engines.get(&engine.id).is_none() {
                self.observe_once(&engine.id, &engine.address.to_string());
            }
        }
    }

    fn observe_due_engines(&self) {
        let engines = self.state.engines.load();
        let members = self.state.members.load();
        let own = &self.state.settings.id;
        let mut ownership = self.ownership.borrow_mut();
        ownership.update(&members);
        self.forget_unknown(&engines);
        for entry in engines.iter() {
            let record = &entry.record;
            let Some(place) = ownership.place(&members, own, record) else {
                continue;
            };
            let interval = POLL_INTERVALS[place.min(POLL_INTERVALS.len() - 1)];
            if self.begin(&record.id, interval) {
                let call = self.clone().ask(record.id.clone(), record.address.clone());
                spawn(call);
            }
        }
    }

    /// Drops the progress of engines that expired; a new engine is unknown for a moment only.
    fn forget_unknown(&self, engines: &EngineTable) {
        let is_recent = |engine: &Progress| {
            engine
                .asked_at
                .is_some_and(|asked_at| asked_at.elapsed() < MAX_BACKOFF)
        };
        self.progress.borrow_mut().retain(|id, engine| {
            engine.in_flight || is_recent(engine) || engines.get(id).is_some()
        });
    }

    /// Notes the begin of a call; false where none is due.
    fn begin(&self, id: &EngineId, interval: Duration) -> bool {
        let mut progress = self.progress.borrow_mut();
        let engine = progress.entry(id.clone()).or_default();
        let backoff = interval.saturating_mul(1 << engine.failures.min(8));
        let pause = backoff.min(MAX_BACKOFF).max(interval);
        let is_due = engine
            .asked_at
            .is_none_or(|asked_at| asked_at.elapsed() >= pause);
        if engine.in_flight || !is_due {
            return false;
        }
        engine.asked_at = Some(Instant::now());
        engine.in_flight = true;
        true
    }

    async fn ask(self, id: EngineId, address: String) {
        let status = self.client.status(&address).await;
        let control = &self.state.metrics.control;
        let _timer = control.time(ControlSubsystem::Observation);
        let is_same_engine = |named: &EngineId| *named == id;
        match status {
            Ok(status) if is_same_engine(&status.id) => {
                self.end(&id, true);
                let record = status.into_record(address);
                self.state
                    .gossip
                    .send(GossipCommand::EngineObserved(record));
            }
            // Another engine has taken the address, or nothing answers there.
            Ok(_) | Err(_) => {
                if self.end(&id, false) >= FAILURES_UNTIL_UNREACHABLE {
                    let health = EngineHealth::Unreachable;
                    self.state.gossip.send(GossipCommand::EngineHealth {
                        id,
                        life: None,
                        health,
                    });
                }
            }
        }
    }

    /// Notes the end of a call; returns the failures in a row.
    fn end(&self, id: &EngineId, succeeded: bool) -> u32 {
        let mut progress = self.progress.borrow_mut();
        let engine = progress.entry(id.clone()).or_default();
        engine.in_flight = false;
        engine.failures = if succeeded { 0 } else { engine.failures + 1 };
        engine.failures
    }
}
