//! The engine shared by its HTTP calls and the thread that lets its time pass.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use driftspring_engine_model::{EngineTotals, ModelTime};

use super::EngineStandinOptions;
use super::core::EngineCore;
use super::orders::OrderLogEntry;
use super::run_log::RunLogEntry;
use crate::faults::FaultSwitches;
use crate::server::EndHandle;

/// The thread looks around at least this often.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// A stand-in engine.
#[derive(Debug)]
pub struct EngineState {
    pub(crate) options: EngineStandinOptions,
    pub(crate) faults: Arc<FaultSwitches>,
    pub(crate) end: EndHandle,
    core: Mutex<EngineCore>,
    changed: Condvar,
    origin: Instant,
}

impl EngineState {
    /// Makes the engine and starts the thread that lets its time pass for as long as it is held.
    pub(crate) fn start(
        options: EngineStandinOptions,
        faults: Arc<FaultSwitches>,
        end: EndHandle,
    ) -> anyhow::Result<Arc<Self>> {
        let state = Arc::new(Self {
            core: Mutex::new(EngineCore::new(&options)),
            options,
            faults,
            end,
            changed: Condvar::new(),
            origin: Instant::now(),
        });
        let driven = Arc::downgrade(&state);
        std::thread::Builder::new()
            .name(format!("clock-{}", state.options.id))
            .spawn(move || drive(&driven))?;
        Ok(state)
    }

    /// What the engine is.
    pub fn options(&self) -> &EngineStandinOptions {
        &self.options
    }

    /// Every request that began to run.
    pub fn run_log(&self) -> Vec<RunLogEntry> {
        self.core().run_log().to_vec()
    }

    /// Every order that came.
    pub fn order_log(&self) -> Vec<OrderLogEntry> {
        self.core().orders.log().to_vec()
    }

    /// The engine's present life.
    pub fn incarnation(&self) -> u64 {
        self.core().incarnation
    }

    /// The version of the engine's weights.
    pub fn weights_version(&self) -> u64 {
        self.core().weights_version
    }

    /// Sums of computed and cached tokens since the start, over all lives.
    pub fn totals(&self) -> EngineTotals {
        self.core().model.totals()
    }

    /// Comes back empty, under the same address, with a higher incarnation. All connections drop but
    /// that of a control call in hand, which asked for this.
    pub fn crash(&self) {
        let now = self.now();
        self.core().crash(now);
        self.faults.drop_connections();
        self.changed.notify_all();
    }

    /// The books, locked.
    pub(crate) fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time on the model's clock.
    pub(crate) fn now(&self) -> ModelTime {
        ModelTime(self.origin.elapsed().as_micros() as u64)
    }

    /// Makes `change`, books what comes of it and wakes the thread.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut EngineCore, ModelTime) -> T) -> T {
        let loss_percent = self.faults.current().event_loss_percent;
        let mut core = self.core();
        let now = self.now();
        let result = change(&mut core, now);
        core.advance(now, loss_percent);
        drop(core);
        self.changed.notify_all();
        result
    }

    /// Waits, without blocking the thread, until `reached` holds of the books.
    pub(crate) async fn wait_until(&self, reached: impl Fn(&EngineCore) -> bool) {
        const POLL_INTERVAL: Duration = Duration::from_millis(5);
        while !reached(&self.core()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Lets the time pass up to now, then waits until there is something to do.
    fn drive_once(&self, swept_at: &mut Instant) {
        let loss_percent = self.faults.current().event_loss_percent;
        let mut core = self.core();
        let now = self.now();
        if swept_at.elapsed() >= SWEEP_INTERVAL {
            let options = &self.options;
            core.sweep(now, options.hang_up_grace, options.answer_retention);
            *swept_at = Instant::now();
        }
        core.advance(now, loss_percent);
        let next_event = core.model.next_event_at();
        let wait = next_event.map_or(SWEEP_INTERVAL, |next| next.since(self.now()));
        let wait = wait.min(SWEEP_INTERVAL);
        if !wait.is_zero() {
            let woken = self.changed.wait_timeout(core, wait);
            drop(woken.unwrap_or_else(PoisonError::into_inner));
        }
    }
}

fn drive(state: &Weak<EngineState>) {
    let mut swept_at = Instant::now();
    while let Some(state) = state.upgrade() {
        state.drive_once(&mut swept_at);
    }
}
