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
pub const LOWER_ERA_REJECTION_WINDOW: Duration = Duration::from_secs(3);

/// Changes of the era that are taken in within [`ERA_CHANGES_WINDOW`]. Each has every reader list anew, which takes up to 2 s; a
/// store that names a later era in every answer counts something else.
const MAX_ERA_CHANGES: usize = 4;

/// See [`MAX_ERA_CHANGES`].
const ERA_CHANGES_WINDOW: Duration = Duration::from_secs(10);

/// The era that an answer names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEra {
    /// None.
    Missing,
    /// What it names is no era.
    Unreadable(String),
    /// This one.
    Named(StoreEra),
}

/// What the era named by an answer says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraVerdict {
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
pub fn read_era(known: StoreEra, told: &AnswerEra, confirmed_ago: Duration) -> EraVerdict {
    match told {
        AnswerEra::Missing if known == StoreEra::UNNAMED => EraVerdict::Current,
        AnswerEra::Missing | AnswerEra::Unreadable(_) => EraVerdict::Doubtful,
        AnswerEra::Named(era) if *era == known => EraVerdict::Current,
        AnswerEra::Named(era) if *era > known => EraVerdict::Later(*era),
        AnswerEra::Named(era) if confirmed_ago < LOWER_ERA_REJECTION_WINDOW => {
            EraVerdict::Earlier(*era)
        }
        AnswerEra::Named(_) => EraVerdict::Doubtful,
    }
}

/// The latest era that is known.
#[derive(Debug)]
pub struct StoreEraTracker {
    known: Cell<StoreEra>,
    confirmed_at: Cell<Instant>,
    /// Whether something was taken in of a store that named no era.
    has_read_unnamed: Cell<bool>,
    /// The later era that the last answer named which named one.
    unconfirmed_era: Cell<Option<StoreEra>>,
    /// When the era changed within the last [`ERA_CHANGES_WINDOW`].
    changed_at: RefCell<VecDeque<Instant>>,
    changes: watch::Sender<u64>,
}

impl StoreEraTracker {
    /// No era is known at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            known: Cell::default(),
            confirmed_at: Cell::new(now),
            has_read_unnamed: Cell::default(),
            unconfirmed_era: Cell::default(),
            changed_at: RefCell::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// The latest era that is known.
    pub fn known(&self) -> StoreEra {
        self.known.get()
    }

    /// Reads the era that an answer names which came at `now`.
    pub fn read(&self, told: &AnswerEra, now: Instant) -> EraVerdict {
        let confirmed_ago = now.saturating_duration_since(self.confirmed_at.get());
        let reading = match read_era(self.known.get(), told, confirmed_ago) {
            EraVerdict::Later(_) if !self.may_change(now) => EraVerdict::Doubtful,
            EraVerdict::Later(era) => self.confirm(era),
            reading => reading,
        };
        match reading {
            EraVerdict::Current if *told == AnswerEra::Missing => self.has_read_unnamed.set(true),
            EraVerdict::Current => self.confirmed_at.set(now),
            EraVerdict::Later(_)
            | EraVerdict::Unconfirmed(_)
            | EraVerdict::Earlier(_)
            | EraVerdict::Doubtful => {}
        }
        reading
    }

    /// Reads a later era. It is believed once two answers in a row have named it: a store that names another one each time
    /// counts something else. The first era at all is believed at once.
    fn confirm(&self, era: StoreEra) -> EraVerdict {
        let before = self.unconfirmed_era.replace(Some(era));
        let is_first = self.known() == StoreEra::UNNAMED && !self.has_read_unnamed.get();
        match before {
            Some(before) if before == era => EraVerdict::Later(era),
            _ if is_first => EraVerdict::Later(era),
            None => EraVerdict::Unconfirmed(era),
            Some(_) => EraVerdict::Doubtful,
        }
    }

    /// Whether a later era is believed at `now`, see [`MAX_ERA_CHANGES`].
    pub fn may_change(&self, now: Instant) -> bool {
        let mut changed_at = self.changed_at.borrow_mut();
        changed_at.retain(|at| now.saturating_duration_since(*at) < ERA_CHANGES_WINDOW);
        changed_at.len() < MAX_ERA_CHANGES
    }

    /// Takes in a later era, named at `now`; whether the store has changed to it from another one. The first era that is
    /// named is no change, unless the store was read before without one.
    pub fn advance(&self, era: StoreEra, now: Instant) -> bool {
        let before = self.known.get();
        if era <= before {
            return false;
        }
        self.known.set(era);
        self.unconfirmed_era.set(None);
        self.confirmed_at.set(now);
        let is_change = before != StoreEra::UNNAMED || self.has_read_unnamed.get();
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
pub(super) fn accept_answer_era(
    state: &GatewayState,
    told: &AnswerEra,
) -> Result<StoreEra, StoreError> {
    let eras = &state.store_eras;
    match eras.read(told, Instant::now()) {
        EraVerdict::Current => {}
        EraVerdict::Later(era) => adopt_later_era(state, era, "store"),
        EraVerdict::Earlier(_) => {
            reject(state, "earlier", told);
            return Err(StoreError::StaleEra);
        }
        EraVerdict::Unconfirmed(_) => return Err(StoreError::EraChanged),
        EraVerdict::Doubtful => reject(state, "doubtful", told),
    }
    Ok(eras.known())
}

/// Takes in the era that the daemon `source` knows; one of an earlier version tells none.
pub fn adopt_peer_era(state: &GatewayState, told: Option<u64>, source: &str) {
    let told = StoreEra::from_number(told);
    let eras = &state.store_eras;
    if told > eras.known() && eras.may_change(Instant::now()) {
        adopt_later_era(state, told, source);
    }
}

/// Takes in a later era. What was read before may be gone, so every reader lists anew; kept connections may lead to the copy
/// before, and are closed.
fn adopt_later_era(state: &GatewayState, era: StoreEra, source: &str) {
    let before = state.store_eras.known();
    let is_change = state.store_eras.advance(era, Instant::now());
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
        "era={era} before={before} told_by={source} position_before={}",
        state.store_position.get()
    );
    state.store.clear();
    // Tasks that wait for a store that does not answer need not wait on.
    state.store_outage.end();
    state.quarantine.kept.notify_one();
    state.peers.nudge();
}

/// Logs, once for each kind of answer, and counts that the era of an answer was not what it should be.
fn reject(state: &GatewayState, what: &str, told: &AnswerEra) {
    let detail = format!("{told:?} after {}", state.store_eras.known());
    state.reject(Rejected::StoreEra, what, UnreadableReason::Fields, detail);
}
