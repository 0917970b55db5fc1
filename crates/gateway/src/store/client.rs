//! Calls to the object store.

use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use http::StatusCode;

use super::era::accept_answer_era;
use super::position::{StoreEra, StorePosition};
use crate::protocol::{
    Call, Freshness, ListPage, ObjectContent, ObjectKind, StoredObject, WatchPage, WriteAnswer,
};
use crate::state::GatewayState;
use crate::upstream::{self, CallAnswer, CallError};

/// How long a call may take. The store may be slow: an answer in this time is worth waiting for.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// How much longer than asked for the answer of a watch may take.
const WATCH_MARGIN: Duration = Duration::from_millis(1500);

/// Why a call to the store brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No whole answer came.
    #[error(transparent)]
    Call(#[from] upstream::CallError),
    /// The store refused.
    #[error("the store answered {0}")]
    Status(StatusCode),
    /// The history that a watch would go on from is gone.
    #[error("the history is gone")]
    HistoryGone,
    /// The answer is of an earlier era than is known.
    #[error("the store answered in an earlier era")]
    StaleEra,
    /// The answer names a later era that is not confirmed yet, or the era has changed since what it goes on from.
    #[error("the store has changed its era")]
    EraChanged,
    /// The answer can't be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

impl StoreError {
    /// Whether it shows that the store, or the way to it, is in trouble: not where it refuses calls beyond its rate,
    /// or has answered.
    fn is_store_failure(&self) -> bool {
        match self {
            Self::Call(_) => true,
            Self::Status(status) => *status != StatusCode::TOO_MANY_REQUESTS,
            Self::HistoryGone | Self::StaleEra | Self::EraChanged | Self::Unreadable(_) => false,
        }
    }
}

/// How often a reading call is made that the change of the store's era ended, or whose answer does not count because of the
/// era that it names: the second answer confirms a later era, and a call that a change ended is made on a new connection.
const MAX_ERA_ATTEMPTS: u32 = 2;

/// Every object of a kind, with the position of the store that a watch can go on from.
///
/// # Errors
///
/// The store did not answer, refused, or its answer can't be read.
pub async fn list_all(
    state: &GatewayState,
    kind: ObjectKind,
) -> Result<(Vec<StoredObject>, StorePosition), StoreError> {
    list_with_freshness(state, kind, Freshness::Newest).await
}

/// Every object of a kind, as it was up to some seconds ago.
///
/// # Errors
///
/// As of [`list_all`].
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
        let began = Instant::now();
        let answer = get(state, &call, CALL_TIMEOUT).await;
        if answer.as_ref().is_err_and(StoreError::is_store_failure) {
            state.store_outage.note_failed_list(began);
        }
        let (era, body) = answer?;
        let page: ListPage = state
            .platform
            .read_list(kind, &body)
            .map_err(StoreError::Unreadable)?
            .in_era(era);
        // The revision of an old answer says nothing of how far the store had come when it was given.
        if freshness == Freshness::Newest {
            record_position(state, page.position);
            let mut progress = state.store_progress.borrow_mut();
            progress.note(began, page.position);
        }
        // A watch goes on from the first page: what changed since is told again.
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

/// The name after which the next page of a list begins.
pub(super) fn last_name(objects: &[StoredObject]) -> Option<&str> {
    let names = objects.iter().rev().map(|object| object.name.as_str());
    names.into_iter().find(|name| !name.is_empty())
}

/// The changes after `position`; waits for the first one, up to `wait`.
///
/// # Errors
///
/// The store did not answer, refused, has changed its era, or its answer can't be read.
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
    let page = state
        .platform
        .read_watch(kind, &body)
        .map_err(StoreError::Unreadable)?
        .in_era(era);
    record_position(state, page.position);
    Ok(page)
}

/// Remembers when the store had reached a position.
fn record_position(state: &GatewayState, position: StorePosition) {
    let mut lease = state.lease.borrow_mut();
    lease.on_store_position(state.now(), position);
    let before = state.store_position.get();
    if position.era > before.era {
        state.store_era_begin.set(position);
    }
    if position.era > before.era && before.revision > 0 {
        log_event!(
            gateway::STORE_READ_ANEW,
            "position={position} before={before}"
        );
    }
    state.store_position.set(before.max(position));
}

/// Writes an object on condition of its position; none means that it must not exist.
///
/// Nothing is known of a write that was answered after the store had changed its era: the revision of its condition may be
/// that of another change there.
pub async fn write(
    state: &GatewayState,
    kind: ObjectKind,
    name: &str,
    content: &ObjectContent,
    expected: Option<StorePosition>,
) -> WriteAnswer {
    if is_of_other_era(state, expected) {
        log::debug!("{name} is not written on condition of {expected:?}, which is of another era");
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
    let is_of_other_era = state.store_eras.changes() != changes;
    match answer {
        WriteAnswer::Accepted(_) if is_of_other_era => WriteAnswer::Unknown,
        answer => answer,
    }
}

/// Removes an object on condition of its position; true where it is not there any more, or is another one by now.
pub async fn remove(
    state: &GatewayState,
    kind: ObjectKind,
    name: &str,
    expected: StorePosition,
) -> bool {
    if is_of_other_era(state, Some(expected)) {
        log::debug!("{name} is not removed at {expected}, which is of another era");
        return true;
    }
    let call = state.platform.remove(kind, name, expected.revision);
    match send(state, &call, CALL_TIMEOUT).await {
        Ok((_, CallAnswer { status, .. })) => {
            status.is_success() || matches!(status, StatusCode::NOT_FOUND | StatusCode::CONFLICT)
        }
        Err(error) => {
            log::debug!("removing {name} failed: {error}");
            false
        }
    }
}

/// Whether a condition is of another era than the store is in, where the same revision is that of another change.
fn is_of_other_era(state: &GatewayState, expected: Option<StorePosition>) -> bool {
    expected.is_some_and(|expected| expected.era != state.store_eras.known())
}

/// Makes a reading call, and makes it anew where the store has changed its era meanwhile: the answer, or the connection,
/// may be that of the copy before.
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
        // The changes themselves are bounded.
        if state.store_eras.changes() == changes {
            attempts += 1;
        }
        let should_retry = match result {
            Err(StoreError::EraChanged) => true,
            // A store that goes on to name an earlier era is asked no more often than one that is down.
            Err(StoreError::StaleEra) => !state.store_outage.is_active(),
            _ => false,
        };
        if !should_retry || attempts >= MAX_ERA_ATTEMPTS {
            return result;
        }
    }
}

/// Makes a reading call, and remembers when it failed.
async fn get_once(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<(StoreEra, Bytes), StoreError> {
    let began = Instant::now();
    let result = read_once(state, call, timeout).await;
    if matches!(result, Err(StoreError::Call(_) | StoreError::Status(_))) {
        state.store_outage.note_failure(began);
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

/// Makes a call; its answer with its era.
async fn send(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<(StoreEra, CallAnswer), StoreError> {
    state.status.metrics.store_calls.inc();
    let answer = upstream::call_with_headers(&state.store, call, timeout).await?;
    let told = state.platform.read_era(&answer.headers);
    let era = accept_answer_era(state, &told)?;
    Ok((era, answer))
}
