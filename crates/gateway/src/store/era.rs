//! The era of the store, as its answers and other daemons tell it.
//!
//! An answer that names a lower era than is known comes from a copy that is gone: what it says counts for nothing. A store
//! that names no other era for long has forgotten how to count, and is served on with; so is one that names none.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use tokio::sync::watch;

use super::client::StoreError;
use super::position::{StoreEra, StorePosition};
use super::rejections::Rejected;
use crate::protocol::UnreadableReason;
use crate::state::GatewayState;

/// How long answers that name a lower era are refused since one last named the known era. A daemon without any answer
/// for so long is out of touch (`contactMs`); a copy that is gone answers no call so late (1.5 s).
pub const LOWER_ERA_PATIENCE: Duration = Duration::from_secs(3);

/// Changes of the era that are taken in within [`CHANGES_WINDOW`]. Each has every reader list anew, which takes up to 2 s; a
/// store that names a later era in every answer counts something else.
const MAX_CHANGES: usize = 4;

/// See [`MAX_CHANGES`].
const CHANGES_WINDOW: Duration = Duration::from_secs(10);

/// The era that an answer names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToldEra {
    /// None.
    Missing,
    /// What it names is no era.
    Unreadable(String),
    /// This one.
    Named(StoreEra),
}

/// What the era named by an answer says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraReading {
    /// It is of the known era.
    Current,
    /// It is of a later era, or the first that is named.
    Later(StoreEra),
    /// It names a later era that no answer has named before: it is to be asked for again.
    Unconfirmed(StoreEra),
    /// It is of an earlier era: it counts for nothing.
    Earlier(StoreEra),
    /// It counts as of the known era, though it does not name that.
    Doubtful,
}

/// Reads the era that an answer names, where `known` was last named `confirmed_ago`.
pub fn read_era(known: StoreEra, told: &ToldEra, confirmed_ago: Duration) -> EraReading {
    match told {
        ToldEra::Missing if known == StoreEra::UNNAMED => EraReading::Current,
        ToldEra::Missing | ToldEra::Unreadable(_) => EraReading::Doubtful,
        ToldEra::Named(era) if *era == known => EraReading::Current,
        ToldEra::Named(era) if *era > known => EraReading::Later(*era),
        ToldEra::Named(era) if confirmed_ago < LOWER_ERA_PATIENCE => EraReading::Earlier(*era),
        ToldEra::Named(_) => EraReading::Doubtful,
    }
}

/// The latest era that is known.
#[derive(Debug)]
pub struct StoreEras {
    known: Cell<StoreEra>,
    confirmed_at: Cell<Instant>,
    /// Whether something was taken in of a store that named no era.
    has_unnamed: Cell<bool>,
    /// The later era that the last answer named which named one.
    named_later: Cell<Option<StoreEra>>,
    /// When the era changed within the last [`CHANGES_WINDOW`].
    changed_at: RefCell<VecDeque<Instant>>,
    changes: watch::Sender<u64>,
}

impl StoreEras {
    /// No era is known at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            known: Cell::default(),
            confirmed_at: Cell::new(now),
            has_unnamed: Cell::default(),
            named_later: Cell::default(),
            changed_at: RefCell::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// The latest era that is known.
    pub fn known(&self) -> StoreEra {
        self.known.get()
    }

    /// Reads the era that an answer names which came at `now`.
    pub fn read(&self, told: &ToldEra, now: Instant) -> EraReading {
        let confirmed_ago = now.saturating_duration_since(self.confirmed_at.get());
        let reading = match read_era(self.known.get(), told, confirmed_ago) {
            EraReading::Later(_) if !self.may_change(now) => EraReading::Doubtful,
            EraReading::Later(era) => self.confirm(era),
            reading => reading,
        };
        match reading {
            EraReading::Current if *told == ToldEra::Missing => self.has_unnamed.set(true),
            EraReading::Current => self.confirmed_at.set(now),
            EraReading::Later(_)
            | EraReading::Unconfirmed(_)
            | EraReading::Earlier(_)
            | EraReading::Doubtful => {}
        }
        reading
    }

    /// Reads a later era. It is believed once two answers in a row have named it: a store that names another one each time
    /// counts something else. The first era at all is believed at once.
    fn confirm(&self, era: StoreEra) -> EraReading {
        let before = self.named_later.replace(Some(era));
        let is_first = self.known() == StoreEra::UNNAMED && !self.has_unnamed.get();
        match before {
            Some(before) if before == era => EraReading::Later(era),
            _ if is_first => EraReading::Later(era),
            None => EraReading::Unconfirmed(era),
            Some(_) => EraReading::Doubtful,
        }
    }

    /// Whether a later era is believed at `now`, see [`MAX_CHANGES`].
    pub fn may_change(&self, now: Instant) -> bool {
        let mut changed_at = self.changed_at.borrow_mut();
        changed_at.retain(|at| now.saturating_duration_since(*at) < CHANGES_WINDOW);
        changed_at.len() < MAX_CHANGES
    }

    /// Takes in a later era, named at `now`; whether the store has changed to it from another one. The first era that is
    /// named is no change, unless the store was read before without one.
    pub fn rise(&self, era: StoreEra, now: Instant) -> bool {
        let before = self.known.get();
        if era <= before {
            return false;
        }
        self.known.set(era);
        self.named_later.set(None);
        self.confirmed_at.set(now);
        let is_change = before != StoreEra::UNNAMED || self.has_unnamed.get();
        if is_change {
            self.changed_at.borrow_mut().push_back(now);
            self.changes.send_modify(|changes| *changes += 1);
        }
        is_change
    }

    /// How often the store has changed its era so far.
    pub fn changes(&self) -> u64 {
        *self.changes.borrow()
    }

    /// How long before `now` the store last changed its era; nothing where it has not done so
    /// lately.
    pub fn changed_ago(&self, now: Instant) -> Option<Duration> {
        let changed_at = self.changed_at.borrow();
        let last = changed_at.back()?;
        Some(now.saturating_duration_since(*last))
    }

    /// Waits until the store has changed its era more than `changes` times.
    pub async fn changed_after(&self, changes: u64) {
        let mut receiver = self.changes.subscribe();
        // The sender lives as long as this borrow.
        let _ = receiver.wait_for(|known| *known > changes).await;
    }
}

/// Takes in the era that an answer of the store names; the era of the answer, or an error where it is of an earlier
/// one, or names a later one that is not confirmed yet.
pub(super) fn take_answered(state: &GatewayState, told: &ToldEra) -> Result<StoreEra, StoreError> {
    let eras = &state.store_eras;
    match eras.read(told, Instant::now()) {
        EraReading::Current => {}
        EraReading::Later(era) => take_later(state, era, "store"),
        EraReading::Earlier(_) => {
            reject(state, "earlier", told);
            return Err(StoreError::EarlierEra);
        }
        EraReading::Unconfirmed(_) => return Err(StoreError::OtherEra),
        EraReading::Doubtful => reject(state, "doubtful", told),
    }
    Ok(eras.known())
}

/// Takes in the era that the daemon `teller` knows; one of an earlier version tells none.
pub fn take_told_era(state: &GatewayState, told: Option<u64>, teller: &str) {
    let told = StoreEra::told(told);
    let eras = &state.store_eras;
    if told > eras.known() && eras.may_change(Instant::now()) {
        take_later(state, told, teller);
    }
}

/// Takes in a later era. What was read before may be gone, so every reader lists anew; kept connections may lead to the copy
/// before, and are closed.
fn take_later(state: &GatewayState, era: StoreEra, teller: &str) {
    let before = state.store_eras.known();
    let is_change = state.store_eras.rise(era, Instant::now());
    let begin = StorePosition::unnamed(0).in_era(era);
    let mut lease = state.lease.borrow_mut();
    lease.on_store_position(state.now(), begin);
    drop(lease);
    let number = era.number().and_then(|number| i64::try_from(number).ok());
    let metrics = &state.status.metrics;
    metrics.store_era.set(number.unwrap_or(i64::MAX));
    if !is_change {
        return;
    }
    metrics.store_era_changes.inc();
    log_event!(
        gateway::STORE_ERA_CHANGED,
        "era={era} before={before} told_by={teller} position_before={}",
        state.store_position.get()
    );
    state.store.clear();
    // Tasks that wait for a store that does not answer need not wait on.
    state.store_outage.end();
    state.quarantine.kept.notify_one();
    state.peers.nudge();
}

/// Logs, once for each kind of answer, and counts that the era of an answer was not what it should be.
fn reject(state: &GatewayState, what: &str, told: &ToldEra) {
    let detail = format!("{told:?} after {}", state.store_eras.known());
    state.reject(Rejected::StoreEra, what, UnreadableReason::Fields, detail);
}
