//! Tracks the era of the store, as named by its answers and by other gateways.
//!
//! An answer with a lower era than the known one comes from a copy of the store that has been replaced, and is rejected. If the
//! store names only lower eras for a long time, its counter is taken to be broken and its answers are accepted again, like
//! those of a store that names no era.

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

/// How long after the known era was last named answers with a lower era are rejected. A gateway without any answer for so long
/// is out of touch (`contactMs`); a copy that has been replaced answers no call so late (1.5 s).
pub const LOWER_ERA_REJECTION_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of era changes accepted within [`ERA_CHANGES_WINDOW`]. After each, every reader lists all objects again,
/// which takes up to 2 s; a store that names a later era in every answer counts something else.
const MAX_ERA_CHANGES: usize = 4;

/// The sliding window of [`MAX_ERA_CHANGES`].
const ERA_CHANGES_WINDOW: Duration = Duration::from_secs(10);

/// The era field of an answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEra {
    /// The answer names no era.
    Missing,
    /// The answer's era can't be parsed.
    Unreadable(String),
    /// The answer names this era.
    Named(StoreEra),
}

/// How an answer is treated because of the era that it names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraVerdict {
    /// The answer is of the known era.
    Current,
    /// The answer is of a later era, or names an era for the first time.
    Later(StoreEra),
    /// The answer names a later era that no answer has named before; the call is to be repeated for confirmation.
    Unconfirmed(StoreEra),
    /// The answer is of an earlier era and is rejected.
    Earlier(StoreEra),
    /// The answer counts as one of the known era although it does not name that.
    Doubtful,
}

/// Judges the era that an answer names, given that the era `known` was last named `confirmed_ago`.
pub fn judge_era(known: StoreEra, answered: &AnswerEra, confirmed_ago: Duration) -> EraVerdict {
    match answered {
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

/// Tracks the latest known era and its changes.
#[derive(Debug)]
pub struct StoreEraTracker {
    known: Cell<StoreEra>,
    confirmed_at: Cell<Instant>,
    /// Whether an answer without an era was accepted as current.
    has_read_unnamed: Cell<bool>,
    /// The later era named most recently, until a second answer confirms it.
    unconfirmed_era: Cell<Option<StoreEra>>,
    /// The times of the era changes within the last [`ERA_CHANGES_WINDOW`].
    changed_at: RefCell<VecDeque<Instant>>,
    changes: watch::Sender<u64>,
}

impl StoreEraTracker {
    /// Creates a tracker that knows no era at `now`.
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

    /// Judges the era named by an answer that arrived at `now`.
    pub fn judge(&self, answered: &AnswerEra, now: Instant) -> EraVerdict {
        let confirmed_ago = now.saturating_duration_since(self.confirmed_at.get());
        let verdict = match judge_era(self.known.get(), answered, confirmed_ago) {
            EraVerdict::Later(_) if !self.may_change(now) => EraVerdict::Doubtful,
            EraVerdict::Later(era) => self.confirm(era),
            verdict => verdict,
        };
        match verdict {
            EraVerdict::Current if *answered == AnswerEra::Missing => {
                self.has_read_unnamed.set(true)
            }
            EraVerdict::Current => self.confirmed_at.set(now),
            EraVerdict::Later(_)
            | EraVerdict::Unconfirmed(_)
            | EraVerdict::Earlier(_)
            | EraVerdict::Doubtful => {}
        }
        verdict
    }

    /// Judges a later era. It is accepted once two answers in a row have named it: a store that names a different one each time
    /// counts something else. The very first era is accepted at once.
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

    /// Whether a later era may be accepted at `now`, see [`MAX_ERA_CHANGES`].
    pub fn may_change(&self, now: Instant) -> bool {
        let mut changed_at = self.changed_at.borrow_mut();
        changed_at.retain(|at| now.saturating_duration_since(*at) < ERA_CHANGES_WINDOW);
        changed_at.len() < MAX_ERA_CHANGES
    }

    /// Sets a later era, named at `now`; returns whether this is a change of the store's era. The first era that is named is no
    /// change unless the store was read before without one.
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

    /// The number of era changes so far.
    pub fn changes(&self) -> u64 {
        *self.changes.borrow()
    }

    /// How long before `now` the store last changed its era; `None` if it has not done so recently.
    pub fn changed_ago(&self, now: Instant) -> Option<Duration> {
        let changed_at = self.changed_at.borrow();
        let last = changed_at.back()?;
        Some(now.saturating_duration_since(*last))
    }

    /// Waits until the number of era changes exceeds `changes`.
    pub async fn changed_after(&self, changes: u64) {
        let mut receiver = self.changes.subscribe();
        // This can't fail: the sender outlives this borrow.
        let _ = receiver.wait_for(|known| *known > changes).await;
    }
}

/// Applies the era that an answer of the store names and returns the era in which the answer counts.
///
/// # Errors
///
/// The answer is of an earlier era, or names a later one that is not confirmed yet.
pub(super) fn accept_answer_era(
    state: &GatewayState,
    answered: &AnswerEra,
) -> Result<StoreEra, StoreError> {
    let eras = &state.store_eras;
    match eras.judge(answered, Instant::now()) {
        EraVerdict::Current => {}
        EraVerdict::Later(era) => adopt_later_era(state, era, "store"),
        EraVerdict::Earlier(_) => {
            reject(state, "earlier", answered);
            return Err(StoreError::StaleEra);
        }
        EraVerdict::Unconfirmed(_) => return Err(StoreError::EraChanged),
        EraVerdict::Doubtful => reject(state, "doubtful", answered),
    }
    Ok(eras.known())
}

/// Adopts the era that the gateway `source` reports if it is later; gateways of earlier versions report none.
pub fn adopt_peer_era(state: &GatewayState, reported: Option<u64>, source: &str) {
    let reported = StoreEra::from_number(reported);
    let eras = &state.store_eras;
    if reported > eras.known() && eras.may_change(Instant::now()) {
        adopt_later_era(state, reported, source);
    }
}

/// Adopts a later era. Objects read before may no longer exist, so every reader lists them again; pooled connections may lead
/// to the previous copy and are closed.
fn adopt_later_era(state: &GatewayState, era: StoreEra, source: &str) {
    let before = state.store_eras.known();
    let is_change = state.store_eras.advance(era, Instant::now());
    let start = StorePosition::unnamed(0).in_era(era);
    let mut lease = state.lease.borrow_mut();
    lease.on_store_position(state.now(), start);
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
    // The store has answered, so tasks that wait for the end of an outage may continue.
    state.store_outage.end();
    state.quarantine.store_wakeup.notify_one();
    state.streams.versions_changed.notify_one();
    state.peers.announce_changes();
}

/// Counts an answer with an unexpected era, and logs the first one of each kind.
fn reject(state: &GatewayState, what: &str, answered: &AnswerEra) {
    let detail = format!("{answered:?} after {}", state.store_eras.known());
    state.reject(Rejected::StoreEra, what, UnreadableReason::Fields, detail);
}
