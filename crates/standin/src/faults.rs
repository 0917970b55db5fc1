//! The fault switches of one stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Faults {
    /// Connections are accepted, nothing is answered, open streams stall.
    pub freeze: bool,
    /// Every connection is dropped.
    pub cut: bool,
    /// Each answer is later by this many milliseconds.
    pub delay_ms: u64,
    /// So many writes or requests more take effect but lose their answer.
    pub lose_answers: u32,
    /// Cache events are later by this many milliseconds.
    pub event_delay_ms: u64,
    /// The share of cache events that are lost, in per cent.
    pub event_loss_percent: u8,
    /// The age of reported load, or of the machine list, in milliseconds.
    pub report_lag_ms: u64,
    /// So many stream events more are sent twice.
    pub duplicate_tokens: u32,
    /// So many events of other requests more are sent into streams.
    pub cross_answers: u32,
    /// The next stream is dropped after so many tokens.
    pub cut_after_tokens: Option<u32>,
    /// Watches replay old changes first and lists are old.
    pub stale_watch: bool,
    /// Everything but the fault switches answers 503.
    pub down: bool,
}

/// A change of some switches; the others keep their values.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultUpdate {
    /// See [`Faults::freeze`].
    pub freeze: Option<bool>,
    /// See [`Faults::cut`].
    pub cut: Option<bool>,
    /// See [`Faults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Faults::lose_answers`].
    pub lose_answers: Option<u32>,
    /// See [`Faults::event_delay_ms`].
    pub event_delay_ms: Option<u64>,
    /// See [`Faults::event_loss_percent`].
    pub event_loss_percent: Option<u8>,
    /// See [`Faults::report_lag_ms`].
    pub report_lag_ms: Option<u64>,
    /// See [`Faults::duplicate_tokens`].
    pub duplicate_tokens: Option<u32>,
    /// See [`Faults::cross_answers`].
    pub cross_answers: Option<u32>,
    /// See [`Faults::cut_after_tokens`].
    pub cut_after_tokens: Option<u32>,
    /// See [`Faults::stale_watch`].
    pub stale_watch: Option<bool>,
    /// See [`Faults::down`].
    pub down: Option<bool>,
}

impl Faults {
    fn apply(&mut self, update: &FaultUpdate) {
        set(&mut self.freeze, update.freeze);
        set(&mut self.cut, update.cut);
        set(&mut self.delay_ms, update.delay_ms);
        set(&mut self.lose_answers, update.lose_answers);
        set(&mut self.event_delay_ms, update.event_delay_ms);
        set(&mut self.event_loss_percent, update.event_loss_percent);
        set(&mut self.report_lag_ms, update.report_lag_ms);
        set(&mut self.duplicate_tokens, update.duplicate_tokens);
        set(&mut self.cross_answers, update.cross_answers);
        set(&mut self.stale_watch, update.stale_watch);
        set(&mut self.down, update.down);
        if update.cut_after_tokens.is_some() {
            self.cut_after_tokens = update.cut_after_tokens;
        }
    }
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// The switches, shared by the threads of a stand-in and the callers that turn them.
#[derive(Debug)]
pub struct FaultSwitches {
    faults: Mutex<Faults>,
    changes: watch::Sender<u64>,
    drops: watch::Sender<u64>,
    held_writes: Mutex<Vec<String>>,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self {
            faults: Mutex::default(),
            changes: watch::Sender::new(0),
            drops: watch::Sender::new(0),
            held_writes: Mutex::default(),
        }
    }
}

impl FaultSwitches {
    /// The faults in force.
    pub fn current(&self) -> Faults {
        self.lock().clone()
    }

    /// Changes the switches that `update` names.
    pub fn update(&self, update: &FaultUpdate) {
        self.lock().apply(update);
        self.changes.send_modify(|changes| *changes += 1);
        if update.cut == Some(true) {
            self.drop_connections();
        }
    }

    /// Drops every open connection once.
    pub fn drop_connections(&self) {
        self.drops.send_modify(|drops| *drops += 1);
    }

    /// Tells of each [`FaultSwitches::drop_connections`].
    pub(crate) fn subscribe_drops(&self) -> watch::Receiver<u64> {
        self.drops.subscribe()
    }

    /// The paths of the writes that came while the stand-in was frozen, and wait until it is not.
    pub fn held_writes(&self) -> Vec<String> {
        let held = self.held_writes.lock();
        held.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until the stand-in is not frozen, with a write to `path`.
    pub(crate) async fn thawed_for_write(&self, path: &str) {
        if !self.lock().freeze {
            return;
        }
        let held = || {
            let held = self.held_writes.lock();
            held.unwrap_or_else(PoisonError::into_inner)
        };
        held().push(path.to_owned());
        self.thawed().await;
        held().retain(|known| known != path);
    }

    /// Waits until the stand-in is not frozen.
    pub(crate) async fn thawed(&self) {
        if !self.lock().freeze {
            return;
        }
        let mut changes = self.changes.subscribe();
        while self.lock().freeze {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// The delay of each answer.
    pub(crate) fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.lock().delay_ms)
    }

    /// Whether the answer in hand is to be lost; counts it.
    pub(crate) fn take_lost_answer(&self) -> bool {
        take_one(&mut self.lock().lose_answers)
    }

    /// Whether the stream event in hand is to be sent twice; counts it.
    pub(crate) fn take_duplicate(&self) -> bool {
        take_one(&mut self.lock().duplicate_tokens)
    }

    /// Whether another request's event is to be sent; counts it.
    pub(crate) fn take_crossing(&self) -> bool {
        take_one(&mut self.lock().cross_answers)
    }

    /// After how many tokens the stream that begins now is to be dropped.
    pub(crate) fn take_cut_after_tokens(&self) -> Option<u32> {
        self.lock().cut_after_tokens.take()
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take_one(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}
