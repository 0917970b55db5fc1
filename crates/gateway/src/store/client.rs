//! Calls to the object store.

use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use http::StatusCode;

use super::era::accept_answer_era;
use super::parse;
use super::position::{StoreEra, StorePosition};
use crate::protocol::{
    Call, Freshness, ObjectContent, ObjectKind, Platform, StoredObject, WatchPage, WriteAnswer,
};
use crate::state::GatewayState;
use crate::upstream::{self, CallAnswer, CallError};

/// Timeout of a call. The store may be slow, so an answer is awaited for this long.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time allowed for the answer to a watch in addition to the requested wait.
const WATCH_MARGIN: Duration = Duration::from_millis(1500);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No complete answer arrived.
    #[error(transparent)]
    Call(#[from] upstream::CallError),
    /// The store answered with an error status.
    #[error("the store answered {0}")]
    Status(StatusCode),
    /// The store no longer has the changes from which the watch would continue.
    #[error("the store no longer has the changes after the watched revision")]
    HistoryGone,
    /// The answer is of an earlier era than the known one.
    #[error("the store answered in an earlier era than the known one")]
    StaleEra,
    /// The answer names a later era that is not confirmed yet, or the era has changed since the position from which the call
    /// continues.
    #[error("the store has changed its era")]
    EraChanged,
    /// The answer can't be parsed.
    #[error("invalid answer: {0}")]
    Unreadable(String),
}

impl StoreError {
    /// Whether the error shows that the store or the network path to it fails. Throttling and complete answers that can't be
    /// used don't show that.
    fn is_store_failure(&self) -> bool {
        match self {
            Self::Call(_) => true,
            Self::Status(status) => *status != StatusCode::TOO_MANY_REQUESTS,
            Self::HistoryGone | Self::StaleEra | Self::EraChanged | Self::Unreadable(_) => false,
        }
    }
}

/// Maximum number of attempts of a read that is aborted by a change of the store's era, or whose answer is rejected because
/// of its era. The second answer confirms a later era; a read aborted by a change is repeated on a new connection.
const MAX_ERA_ATTEMPTS: u32 = 2;

/// Lists all objects of a kind; also returns the store position from which a watch can continue.
///
/// # Errors
///
/// The store did not answer, refused the call, or its answer can't be parsed.
pub async fn list_all(
    state: &GatewayState,
    kind: ObjectKind,
) -> Result<(Vec<StoredObject>, StorePosition), StoreError> {
    list_with_freshness(state, kind, Freshness::Newest).await
}

/// Lists all objects of a kind from data that may be some seconds old.
///
/// # Errors
///
/// As for [`list_all`].
pub async fn list_recent(
    state: &GatewayState,
    kind: ObjectKind,
) -> Result<Vec<StoredObject>, StoreError> {
    let (objects, _) = list_with_freshness(state, kind, Freshness::Recent).await?;
    Ok(objects)
}

async fn list_with_freshness(
    state: &GatewayState,
    kind: ObjectKind,
    freshness: Freshness,
) -> Result<(Vec<StoredObject>, StorePosition), StoreError> {
    let mut objects: Vec<StoredObject> = Vec::new();
    let mut first_position = None;
    loop {
        let after = last_name(&objects);
        let call = state.platform.list(kind, after, freshness);
        let started_at = Instant::now();
        let answer = get(state, &call, CALL_TIMEOUT).await;
        if answer.as_ref().is_err_and(StoreError::is_store_failure) {
            state.store_outage.note_failed_list(started_at);
        }
        let (era, body) = answer?;
        let page = parse_page(state, kind, era, body, move |platform, body| {
            platform.read_list(kind, body)
        })
        .await?;
        let page = page.in_era(era);
        // The revision of data that may be old says nothing about the store's position at the time of the answer.
        if freshness == Freshness::Newest {
            record_position(state, page.position);
            let mut progress = state.store_progress.borrow_mut();
            progress.note(started_at, page.position);
        }
        // A watch continues from the position of the first page, so it reports everything that has changed since.
        let position = *first_position.get_or_insert(page.position);
        if position.era != era {
            return Err(StoreError::EraChanged);
        }
        let is_last = !page.has_more || last_name(&page.items).is_none();
        objects.extend(page.items);
        if is_last {
            return Ok((objects, position));
        }
    }
}

/// The name after which the next page of a list starts.
pub(super) fn last_name(objects: &[StoredObject]) -> Option<&str> {
    let names = objects.iter().rev().map(|object| object.name.as_str());
    names.into_iter().find(|name| !name.is_empty())
}

/// Returns the changes after `position`; waits up to `wait` for the first one.
///
/// # Errors
///
/// The store did not answer, refused the call, has changed its era, or its answer can't be parsed.
pub async fn watch(
    state: &GatewayState,
    kind: ObjectKind,
    position: StorePosition,
    wait: Duration,
) -> Result<WatchPage, StoreError> {
    if position.era != state.store_eras.known() {
        return Err(StoreError::EraChanged);
    }
    let call = state.platform.watch(kind, position.revision, wait);
    let changes = state.store_eras.changes();
    let answer = tokio::select! {
        biased;
        answer = get_once(state, &call, wait + WATCH_MARGIN) => answer,
        () = state.store_eras.changed_after(changes) => Err(StoreError::EraChanged),
    };
    let (era, body) = answer?;
    if era != position.era {
        return Err(StoreError::EraChanged);
    }
    let page = parse_page(state, kind, era, body, move |platform, body| {
        platform.read_watch(kind, body)
    })
    .await?;
    let page = page.in_era(era);
    record_position(state, page.position);
    Ok(page)
}

/// Parses the answer to a read in the store's era at that time. Only configurations are large enough to be parsed on
/// another thread; the other kinds are applied in the order of their answers.
async fn parse_page<T: Send + 'static>(
    state: &GatewayState,
    kind: ObjectKind,
    era: StoreEra,
    body: Bytes,
    read: impl FnOnce(&dyn Platform, &[u8]) -> Result<T, String> + Send + 'static,
) -> Result<T, StoreError> {
    if kind != ObjectKind::Configuration {
        return read(&*state.platform, &body).map_err(StoreError::Unreadable);
    }
    let parsed = parse(&state.platform, body, read).await;
    if state.store_eras.known() != era {
        return Err(StoreError::EraChanged);
    }
    let parsed = parsed.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    parsed.map_err(StoreError::Unreadable)
}

/// Records the store's position and that it was reached by now.
fn record_position(state: &GatewayState, position: StorePosition) {
    let mut lease = state.lease.borrow_mut();
    lease.on_store_position(state.now(), position);
    let before = state.store_position.get();
    if position.era > before.era {
        state.store_era_start.set(position);
    }
    if position.era > before.era && before.revision > 0 {
        log_event!(
            gateway::STORE_READ_ANEW,
            "position={position} before={before}"
        );
    }
    state.store_position.set(before.max(position));
}

/// Writes an object if its position is `expected`; `None` means that it must not exist.
///
/// The outcome of a write that is answered after a change of the store's era is unknown: in the new era the revision of the
/// condition may belong to another change.
pub async fn write(
    state: &GatewayState,
    kind: ObjectKind,
    name: &str,
    content: &ObjectContent,
    expected: Option<StorePosition>,
) -> WriteAnswer {
    if is_of_other_era(state, expected) {
        log::debug!("write of {name} skipped: expected position {expected:?} is of another era");
        return WriteAnswer::Busy;
    }
    let expected = expected.map(|expected| expected.revision);
    let call = state.platform.write(name, content, expected);
    let changes = state.store_eras.changes();
    let answer = match send(state, &call, CALL_TIMEOUT).await {
        Ok((era, answer)) => {
            let answer = state.platform.read_write(kind, answer.status, &answer.body);
            answer.in_era(era)
        }
        Err(StoreError::Call(CallError::NotSent(_))) => WriteAnswer::Busy,
        Err(_) => WriteAnswer::Unknown,
    };
    let has_era_changed = state.store_eras.changes() != changes;
    match answer {
        WriteAnswer::Accepted(_) if has_era_changed => WriteAnswer::Unknown,
        answer => answer,
    }
}

/// Deletes an object if its position is `expected`. Returns true if that version of the object no longer exists, also when it
/// was deleted or replaced before.
pub async fn remove(
    state: &GatewayState,
    kind: ObjectKind,
    name: &str,
    expected: StorePosition,
) -> bool {
    if is_of_other_era(state, Some(expected)) {
        log::debug!("delete of {name} skipped: expected position {expected} is of another era");
        return true;
    }
    let call = state.platform.remove(kind, name, expected.revision);
    match send(state, &call, CALL_TIMEOUT).await {
        Ok((_, CallAnswer { status, .. })) => {
            status.is_success() || matches!(status, StatusCode::NOT_FOUND | StatusCode::CONFLICT)
        }
        Err(error) => {
            log::debug!("delete of {name} failed: {error}");
            false
        }
    }
}

/// Whether a condition is of another era than the store's current one, in which the same revision belongs to another change.
fn is_of_other_era(state: &GatewayState, expected: Option<StorePosition>) -> bool {
    expected.is_some_and(|expected| expected.era != state.store_eras.known())
}

/// Performs a read, and repeats it if the store's era changes meanwhile: the answer or the connection may belong to the
/// previous copy of the store.
async fn get(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<(StoreEra, Bytes), StoreError> {
    let mut attempts = 0;
    loop {
        let changes = state.store_eras.changes();
        let result = tokio::select! {
            biased;
            result = get_once(state, call, timeout) => result,
            () = state.store_eras.changed_after(changes) => Err(StoreError::EraChanged),
        };
        // An attempt during which the era changed is not counted: the number of era changes is limited by itself.
        if state.store_eras.changes() == changes {
            attempts += 1;
        }
        let should_retry = match result {
            Err(StoreError::EraChanged) => true,
            // A store that keeps naming an earlier era is called no more often than one that is down.
            Err(StoreError::StaleEra) => !state.store_outage.is_active(),
            _ => false,
        };
        if !should_retry || attempts >= MAX_ERA_ATTEMPTS {
            return result;
        }
    }
}

/// Performs a read once, and records a failure for the detection of outages.
async fn get_once(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<(StoreEra, Bytes), StoreError> {
    let started_at = Instant::now();
    let result = read_once(state, call, timeout).await;
    if matches!(result, Err(StoreError::Call(_) | StoreError::Status(_))) {
        state.store_outage.note_failure(started_at);
    }
    result
}

async fn read_once(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<(StoreEra, Bytes), StoreError> {
    let (era, answer) = send(state, call, timeout).await?;
    match answer.status {
        StatusCode::OK => Ok((era, answer.body)),
        StatusCode::GONE => Err(StoreError::HistoryGone),
        status => Err(StoreError::Status(status)),
    }
}

/// Makes a call; returns its answer with the era of the answer.
async fn send(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<(StoreEra, CallAnswer), StoreError> {
    state.status.metrics.store_calls.inc();
    let answer = upstream::call_with_headers(&state.store, call, timeout).await?;
    let answered = state.platform.read_era(&answer.headers);
    let era = accept_answer_era(state, &answered)?;
    Ok((era, answer))
}
