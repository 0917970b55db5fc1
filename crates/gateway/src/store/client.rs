//! Calls to the object store.

use std::time::Duration;

use driftspring_clock::Instant;
use http::StatusCode;

use crate::protocol::{
    Call, Freshness, ListPage, ObjectContent, ObjectKind, StoredObject, WatchPage, WriteAnswer,
};
use crate::state::GatewayState;
use crate::upstream;

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
    /// The answer can't be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

impl StoreError {
    /// Whether it shows that the store, or the way to it, is in trouble: not where it refuses calls beyond its rate,
    /// or has answered.
    fn is_trouble(&self) -> bool {
        match self {
            Self::Call(_) => true,
            Self::Status(status) => *status != StatusCode::TOO_MANY_REQUESTS,
            Self::HistoryGone | Self::Unreadable(_) => false,
        }
    }
}

/// Every object of a kind, with the revision of the store that a watch can go on from.
///
/// # Errors
///
/// The store did not answer, refused, or its answer can't be read.
pub async fn list_all(
    state: &GatewayState,
    kind: ObjectKind,
) -> Result<(Vec<StoredObject>, u64), StoreError> {
    list_as(state, kind, Freshness::Newest).await
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
    let (objects, _) = list_as(state, kind, Freshness::Recent).await?;
    Ok(objects)
}

async fn list_as(
    state: &GatewayState,
    kind: ObjectKind,
    freshness: Freshness,
) -> Result<(Vec<StoredObject>, u64), StoreError> {
    let mut objects: Vec<StoredObject> = Vec::new();
    let mut first_revision = None;
    loop {
        let after = last_name(&objects);
        let call = state.platform.list(kind, after, freshness);
        let began = Instant::now();
        let answer = get(state, &call, CALL_TIMEOUT).await;
        if answer.as_ref().is_err_and(StoreError::is_trouble) {
            state.store_outage.note_failed_list(began);
        }
        let body = answer?;
        let page: ListPage = state
            .platform
            .read_list(kind, &body)
            .map_err(StoreError::Unreadable)?;
        // The revision of an old answer says nothing of how far the store had come when it was given.
        if freshness == Freshness::Newest {
            note_revision(state, page.revision);
            let mut progress = state.store_progress.borrow_mut();
            progress.note(began, page.revision);
        }
        // A watch goes on from the first page: what changed since is told again.
        let revision = *first_revision.get_or_insert(page.revision);
        let is_last = !page.has_more || last_name(&page.items).is_none();
        objects.extend(page.items);
        if is_last {
            return Ok((objects, revision));
        }
    }
}

/// The name after which the next page of a list begins.
pub(super) fn last_name(objects: &[StoredObject]) -> Option<&str> {
    let names = objects.iter().rev().map(|object| object.name.as_str());
    names.into_iter().find(|name| !name.is_empty())
}

/// The changes after `revision`; waits for the first one, up to `wait`.
///
/// # Errors
///
/// The store did not answer, refused, or its answer can't be read.
pub async fn watch(
    state: &GatewayState,
    kind: ObjectKind,
    revision: u64,
    wait: Duration,
) -> Result<WatchPage, StoreError> {
    let call = state.platform.watch(kind, revision, wait);
    let body = get(state, &call, wait + WATCH_MARGIN).await?;
    let page = state
        .platform
        .read_watch(kind, &body)
        .map_err(StoreError::Unreadable)?;
    note_revision(state, page.revision);
    Ok(page)
}

/// Remembers when the store had reached a revision.
fn note_revision(state: &GatewayState, revision: u64) {
    let mut lease = state.lease.borrow_mut();
    lease.on_store_revision(state.now(), revision);
    state
        .store_revision
        .set(state.store_revision.get().max(revision));
}

/// Writes an object on condition of its revision.
pub async fn write(
    state: &GatewayState,
    kind: ObjectKind,
    name: &str,
    content: &ObjectContent,
    expected: Option<u64>,
) -> WriteAnswer {
    let call = state.platform.write(name, content, expected);
    state.status.metrics.store_calls.inc();
    match upstream::call(&state.store, &call, CALL_TIMEOUT).await {
        Ok((status, body)) => state.platform.read_write(kind, status, &body),
        Err(upstream::CallError::NotSent(_)) => WriteAnswer::Busy,
        Err(_) => WriteAnswer::Unknown,
    }
}

/// Removes an object on condition of its revision; true where it is not there any more, or is another one by now.
pub async fn remove(state: &GatewayState, kind: ObjectKind, name: &str, expected: u64) -> bool {
    let call = state.platform.remove(kind, name, expected);
    state.status.metrics.store_calls.inc();
    match upstream::call(&state.store, &call, CALL_TIMEOUT).await {
        Ok((status, _)) => {
            status.is_success() || matches!(status, StatusCode::NOT_FOUND | StatusCode::CONFLICT)
        }
        Err(error) => {
            log::debug!("removing {name} failed: {error}");
            false
        }
    }
}

/// Makes a reading call, and remembers when one failed.
async fn get(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<bytes::Bytes, StoreError> {
    let began = Instant::now();
    let result = get_once(state, call, timeout).await;
    if matches!(result, Err(StoreError::Call(_) | StoreError::Status(_))) {
        state.store_outage.note_failure(began);
    }
    result
}

async fn get_once(
    state: &GatewayState,
    call: &Call,
    timeout: Duration,
) -> Result<bytes::Bytes, StoreError> {
    state.status.metrics.store_calls.inc();
    let (status, body) = upstream::call(&state.store, call, timeout).await?;
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::GONE => Err(StoreError::HistoryGone),
        status => Err(StoreError::Status(status)),
    }
}
