//! Stores the records of requests that crash replicas, so that they survive the restart of every gateway.
//!
//! From its second strike on, each request has an object named by its fingerprint. Operators list these objects, and release a
//! request by deleting its object.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use http::StatusCode;

use super::StorePosition;
use super::client::{CALL_TIMEOUT, StoreError, last_name, remove, write};
use super::rejections::Rejected;
use crate::protocol::{
    Freshness, ObjectContent, ObjectKind, Platform, QuarantineRecord, StoredObject,
    UnreadableReason, WriteAnswer,
};
use crate::quarantine::ledger::Ledger;
use crate::quarantine::stored_state::{StoredState, compare};
use crate::quarantine::{
    Fingerprint, Record, RecordSource, Removal, Stored, Strike, WRITE_TURN, home_rank,
    is_first_home, is_write_turn, role,
};
use crate::state::GatewayState;
use crate::upstream::{self, Pool};

/// Base delay before the retry of a write or of the deletions, doubled with each consecutive failure, including the first.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(1000);

/// How often the delay doubles: a store that stays down is called every 8 s by three gateways for each record.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// Interval of the check for expired records while nothing else is to be done.
const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// Assumed interval between strikes read from the store, which records no times.
const ASSUMED_STRIKE_INTERVAL: Duration = Duration::from_secs(1);

/// A store object with the record of a request.
pub type QuarantineObject = StoredObject;

/// Lists the records of requests that crashed replicas, for an operator.
///
/// # Errors
///
/// The store did not answer, refused the call, or its answer can't be parsed.
pub async fn list_quarantined(
    platform: &dyn Platform,
    store: SocketAddr,
) -> Result<Vec<QuarantineObject>, StoreError> {
    let pool = Pool::new(store);
    let mut objects: Vec<StoredObject> = Vec::new();
    loop {
        let after = last_name(&objects);
        let call = platform.list(ObjectKind::Quarantine, after, Freshness::Newest);
        let (status, body) = upstream::call(&pool, &call, CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(StoreError::Status(status));
        }
        let page = platform
            .read_list(ObjectKind::Quarantine, &body)
            .map_err(StoreError::Unreadable)?;
        let is_last = !page.has_more || last_name(&page.items).is_none();
        objects.extend(page.items);
        if is_last {
            return Ok(objects);
        }
    }
}

/// Deletes one of these objects, which releases its request at every gateway.
///
/// # Errors
///
/// The store did not answer, refused the call, or the object has changed.
pub async fn delete_quarantined(
    platform: &dyn Platform,
    store: SocketAddr,
    object: &QuarantineObject,
) -> Result<(), StoreError> {
    let call = platform.remove(
        ObjectKind::Quarantine,
        &object.name,
        object.position.revision,
    );
    let (status, _) = upstream::call(&Pool::new(store), &call, CALL_TIMEOUT).await?;
    match status.is_success() {
        true => Ok(()),
        false => Err(StoreError::Status(status)),
    }
}

/// The delay before a failed call is retried. Other updates don't end it early: while replicas crash, they arrive many times a
/// second.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    until: Duration,
}

impl Backoff {
    fn has_elapsed(&self, now: Duration) -> bool {
        now >= self.until
    }

    fn note(&mut self, is_done: bool, now: Duration) {
        if is_done {
            *self = Self::default();
            return;
        }
        self.failures = (self.failures + 1).min(MAX_RETRY_DOUBLINGS);
        self.until = now + RETRY_BASE_DELAY * (1 << self.failures);
    }
}

/// A record whose current state is not in the store.
#[derive(Debug, Clone, Copy)]
struct Unstored {
    since: Duration,
    backoff: Backoff,
}

/// Writes the records to the store until the process ends.
pub(super) async fn run(state: Rc<GatewayState>) {
    let mut unstored: HashMap<Fingerprint, Unstored> = HashMap::new();
    let mut removal_backoff = Backoff::default();
    let mut pause = IDLE_INTERVAL;
    loop {
        // Ends early when there is something to store.
        let _ = tokio::time::timeout(pause, state.quarantine.store_wakeup.notified()).await;
        forget_old(&state);
        if removal_backoff.has_elapsed(state.quarantine.now()) {
            let is_done = remove_all(&state).await;
            removal_backoff.note(is_done, state.quarantine.now());
        }
        for fingerprint in update_unstored(&state, &mut unstored) {
            let is_done = store_one(&state, fingerprint).await;
            if let Some(unstored) = unstored.get_mut(&fingerprint) {
                unstored.backoff.note(is_done, state.quarantine.now());
            }
        }
        let count = state.quarantine.read(|ledger| ledger.quarantined().count());
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        state.status.metrics.fingerprints_quarantined.set(count);
        let has_more = !unstored.is_empty() || removal_backoff.failures > 0;
        pause = if has_more { WRITE_TURN } else { IDLE_INTERVAL };
    }
}

/// Drops expired records; their objects are deleted by the first of the gateways responsible for the record.
fn forget_old(state: &GatewayState) {
    let directory = state.peers.directory();
    for removal in state.quarantine.forget_old() {
        if is_first_home(&directory, removal.fingerprint, state.peers.own()) {
            state.quarantine.remove(removal);
        }
    }
}

/// Updates the list of records that are not in the store yet; returns those that it is this gateway's turn to write.
fn update_unstored(
    state: &GatewayState,
    unstored: &mut HashMap<Fingerprint, Unstored>,
) -> Vec<Fingerprint> {
    let now = state.quarantine.now();
    let era = state.store_eras.known();
    let wanted = state.quarantine.read(|ledger| {
        let wanted = ledger.shared_records();
        let wanted = wanted.filter(|(_, record)| record.needs_storing(era));
        wanted
            .map(|(fingerprint, _)| fingerprint)
            .collect::<Vec<_>>()
    });
    unstored.retain(|fingerprint, _| wanted.contains(fingerprint));
    for fingerprint in wanted {
        unstored.entry(fingerprint).or_insert(Unstored {
            since: now,
            backoff: Backoff::default(),
        });
    }
    let directory = state.peers.directory();
    let own_place =
        |fingerprint: Fingerprint| home_rank(&directory, fingerprint, state.peers.own());
    let unstored = unstored.iter();
    let due = unstored.filter(|(fingerprint, unstored)| {
        let unstored_for = now.saturating_sub(unstored.since);
        unstored.backoff.has_elapsed(now) && is_write_turn(own_place(**fingerprint), unstored_for)
    });
    due.map(|(fingerprint, _)| *fingerprint).collect()
}

/// Writes the record of one request in place of an earlier one; returns false unless the record is known to be stored.
async fn store_one(state: &GatewayState, fingerprint: Fingerprint) -> bool {
    let record = state
        .quarantine
        .read(|ledger| ledger.get(fingerprint).cloned());
    let Some(record) = record else {
        return true;
    };
    let era = state.store_eras.known();
    let expected = record.stored.position.filter(|stored| stored.era == era);
    let name = fingerprint.to_string();
    let wanted = record_to_store(&record);
    let content = ObjectContent::Quarantine(wanted.clone());
    let mut answer = write(state, ObjectKind::Quarantine, &name, &content, expected).await;
    if let WriteAnswer::Conflict(found) = answer {
        if let Some(found) = &found
            && resolve_conflict(state, fingerprint, found, &wanted)
        {
            return true;
        }
        let position = found.map(|found| found.position);
        answer = write(state, ObjectKind::Quarantine, &name, &content, position).await;
    }
    match answer {
        WriteAnswer::Accepted(position) => {
            let stored = record.stored_at(position);
            state.quarantine.note_stored(fingerprint, stored);
            if let Some(lost) = record.stored.position.filter(|lost| lost.era != era) {
                log_event!(
                    gateway::QUARANTINE_KEPT_AGAIN,
                    "fingerprint={fingerprint} position={position} before={lost}"
                );
            }
            true
        }
        answer => {
            log_event!(
                gateway::QUARANTINE_NOT_KEPT,
                "fingerprint={fingerprint} answer={answer:?}"
            );
            false
        }
    }
}

/// Handles an object that exists in place of a record to be written; returns whether nothing is left to be written.
fn resolve_conflict(
    state: &GatewayState,
    fingerprint: Fingerprint,
    found: &StoredObject,
    wanted: &QuarantineRecord,
) -> bool {
    let Ok(ObjectContent::Quarantine(kept)) = &found.content else {
        return false;
    };
    match compare(kept, wanted) {
        StoredState::Current => {
            let stored = Stored {
                position: Some(found.position),
                is_quarantined: kept.is_quarantined,
                isolated_trials: kept.apart_trials,
            };
            state.quarantine.note_stored(fingerprint, stored);
            true
        }
        StoredState::Newer => {
            apply_record(state, &found.name, found.position, kept.clone());
            true
        }
        StoredState::Outdated => false,
    }
}

/// The part of a record that is stored: only the strikes that count fully, which excludes coincident ones.
fn record_to_store(record: &Record) -> QuarantineRecord {
    let counted = record.strikes.iter().filter(|strike| !strike.is_coincident);
    QuarantineRecord {
        generation: record.generation,
        replicas: counted.map(|strike| strike.replica).collect(),
        is_quarantined: record.is_quarantined,
        trials: record.trials,
        good_ends: record.completions,
        apart_trials: record.isolated_trials,
    }
}

/// Deletes the objects of requests that have no strikes left; returns false if a deletion failed.
async fn remove_all(state: &GatewayState) -> bool {
    let mut has_removed_all = true;
    for removal in state.quarantine.take_removals() {
        let Removal {
            fingerprint,
            position,
        } = removal;
        let name = fingerprint.to_string();
        if !remove(state, ObjectKind::Quarantine, &name, position).await {
            has_removed_all = false;
            log_event!(
                gateway::QUARANTINE_NOT_KEPT,
                "fingerprint={fingerprint} removal at {position}"
            );
            state.quarantine.retry_removal(removal);
        }
    }
    has_removed_all
}

/// Applies a record read from the store.
pub(super) fn apply_record(
    state: &GatewayState,
    name: &str,
    position: StorePosition,
    content: QuarantineRecord,
) {
    let Some(fingerprint) = fingerprint_of(state, name) else {
        return;
    };
    let known = state
        .quarantine
        .read(|ledger| ledger.get(fingerprint).map(|known| known.generation));
    let is_cleared = known.is_some_and(|known| known > content.generation);
    let is_forgotten = || {
        let ledger = |ledger: &Ledger| ledger.has_forgotten(fingerprint, &content.replicas);
        known.is_none() && state.quarantine.read(ledger)
    };
    if is_cleared || is_forgotten() {
        // The gateway that cleared the record stopped before the object was deleted, or the store was restored from a copy
        // that still has it.
        log_event!(
            gateway::QUARANTINE_REMOVED_AGAIN,
            "fingerprint={fingerprint} position={position} generation={} known={known:?}",
            content.generation
        );
        state.quarantine.remove(Removal {
            fingerprint,
            position,
        });
        return;
    }
    let now = state.quarantine.now();
    let count = u32::try_from(content.replicas.len()).unwrap_or(u32::MAX);
    let strikes = (1..=count).zip(&content.replicas);
    let record = Record {
        generation: content.generation,
        strikes: strikes
            .map(|(number, replica)| Strike {
                replica: *replica,
                at: now.saturating_sub(ASSUMED_STRIKE_INTERVAL * (count - number)),
                is_coincident: false,
                began_at: None,
            })
            .collect(),
        is_quarantined: content.is_quarantined,
        trials: content.trials,
        stored: Stored {
            position: Some(position),
            is_quarantined: content.is_quarantined,
            isolated_trials: content.apart_trials,
        },
        completions: content.good_ends,
        isolated_trials: content.apart_trials,
        ..Record::default()
    };
    let role = role(&state.peers.directory(), fingerprint, state.peers.own());
    let has_changes = state
        .quarantine
        .merge_record(fingerprint, record, role, RecordSource::Store);
    if has_changes {
        state.peers.announce_changes();
    }
}

/// Releases the request whose object was deleted.
pub(super) fn apply_deletion(state: &GatewayState, name: &str) {
    if let Some(fingerprint) = fingerprint_of(state, name) {
        state.quarantine.release(fingerprint);
    }
}

/// Applies a complete list of objects: those missing from it were deleted while no watch was active.
pub(super) fn apply_list(state: &GatewayState, objects: &[StoredObject], position: StorePosition) {
    let listed = objects
        .iter()
        .filter_map(|object| fingerprint_of(state, &object.name));
    let listed: Vec<Fingerprint> = listed.collect();
    state.quarantine.release_missing(&listed, position);
}

/// The fingerprint in an object's name; `None` if the name is not a fingerprint, as for objects of other writers.
fn fingerprint_of(state: &GatewayState, name: &str) -> Option<Fingerprint> {
    let fingerprint: Result<Fingerprint, _> = name.parse();
    let fingerprint = fingerprint.inspect_err(|error| {
        let kind = Rejected::Object(ObjectKind::Quarantine);
        state.reject(kind, name, UnreadableReason::Fields, error.to_string());
    });
    fingerprint.ok()
}
