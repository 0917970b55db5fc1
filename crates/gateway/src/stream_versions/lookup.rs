//! Asks other gateways where a stream began.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::origin::{
    Asker, Knowledge, MAX_STREAM_AGE, MAX_VIEW_AGE, StreamOrigin, UnknownOrigin, decide, of_record,
};
use super::stored::StoredVersions;
use super::{ASKED, MAX_PENDING, StreamKey, StreamVersions, is_view_current, ranked};
use crate::peers::message::{WireStreamQuery, WireStreamReply};
use crate::state::GatewayState;

/// How long replies are waited for; a round trip between regions takes 40 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// When the gateways that have not replied are asked again, since datagrams get lost.
const REPEAT_AFTER: Duration = Duration::from_millis(80);

/// How long this gateway waits for a recent view and for the store, if the replies don't prove enough.
const OWN_KNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of the check for a recent view.
const VIEW_POLL: Duration = Duration::from_millis(10);

/// Why a stream's origin was not found, and what was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OriginError {
    /// The reason.
    pub(crate) unknown: UnknownOrigin,
    /// What the store says.
    pub(crate) stored: StoredVersions,
    /// Number of gateways that were asked.
    pub(crate) asked: usize,
    /// Number of those that replied.
    pub(crate) replied: usize,
    /// The age of this gateway's view of the replicas.
    pub(crate) view_age: Option<Duration>,
}

impl OriginError {
    /// Whether this gateway may know more within a moment: it has no recent list of replicas, or could not read the store.
    pub(crate) fn may_learn_more(&self) -> bool {
        let is_current = self.view_age.is_some_and(|age| age <= MAX_VIEW_AGE);
        !is_current
            || matches!(
                self.stored,
                StoredVersions::Unread | StoredVersions::Unreadable
            )
    }
}

/// Finds out where a stream began.
///
/// # Errors
///
/// That is not known for certain.
pub(crate) async fn find_origin(
    state: &GatewayState,
    key: StreamKey,
    service: u64,
) -> Result<StreamOrigin, OriginError> {
    if let Some(record) = state.streams.get(key, Instant::now()) {
        return of_record(&record).map_err(|unknown| describe(state, service, unknown, 0, 0));
    }
    let own = &state.peers.own().name;
    let directory = state.peers.directory();
    let asked = ranked(&directory, key, ASKED);
    let asked = asked.into_iter().filter(|daemon| daemon.name != *own);
    let addresses: Vec<String> = asked.map(|daemon| daemon.peers.clone()).collect();
    let replies = ask(state, key, service, &addresses).await;
    let now = Instant::now();
    let replies: Vec<Knowledge> = replies.iter().map(|reply| reply.knowledge(now)).collect();
    let decide = || {
        let asker = Asker {
            known: state.streams.known_versions(state, service),
            asked: addresses.len(),
        };
        decide(&asker, &replies)
    };
    let origin = match decide() {
        Err(UnknownOrigin::Isolated | UnknownOrigin::HistoryTooShort { .. }) => {
            complete_own_knowledge(state, service).await;
            decide()
        }
        origin => origin,
    };
    origin.map_err(|unknown| describe(state, service, unknown, addresses.len(), replies.len()))
}

/// Reads the record of the service's versions, unless they are known already, and waits for a recent view.
async fn complete_own_knowledge(state: &GatewayState, service: u64) {
    let completing = async {
        if state.streams.known_span(state, service, Instant::now()) < MAX_STREAM_AGE {
            state.streams.read_stored().await;
        }
        while !is_view_current(state) {
            tokio::time::sleep(VIEW_POLL).await;
        }
    };
    let result = tokio::time::timeout(OWN_KNOWLEDGE_TIMEOUT, completing).await;
    if result.is_err() {
        log::debug!("own knowledge of versions is incomplete after {OWN_KNOWLEDGE_TIMEOUT:?}");
    }
}

fn describe(
    state: &GatewayState,
    service: u64,
    unknown: UnknownOrigin,
    asked: usize,
    replied: usize,
) -> OriginError {
    OriginError {
        unknown,
        stored: state
            .streams
            .stored_versions(service, state.store_eras.known()),
        asked,
        replied,
        view_age: state.peers.view_age(),
    }
}

/// Removes a pending query, even if its request is dropped in the meantime.
struct PendingGuard<'a> {
    streams: &'a StreamVersions,
    nonce: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.streams.pending.borrow_mut().remove(&self.nonce);
    }
}

/// The replies, one of each gateway: all of them, or those up to the first that has a record.
async fn ask(
    state: &GatewayState,
    key: StreamKey,
    service: u64,
    addresses: &[String],
) -> Vec<WireStreamReply> {
    let streams = &state.streams;
    if addresses.is_empty() || streams.pending.borrow().len() >= MAX_PENDING {
        return Vec::new();
    }
    let nonce = state.peers.next_nonce();
    let (sender, mut receiver) = unbounded_channel();
    streams.pending.borrow_mut().insert(nonce, sender);
    let _guard = PendingGuard { streams, nonce };
    let query = WireStreamQuery {
        nonce,
        key: key.number(),
        service,
    };
    let mut by_daemon: HashMap<u64, WireStreamReply> = HashMap::new();
    for wait in [REPEAT_AFTER, REPLY_TIMEOUT.saturating_sub(REPEAT_AFTER)] {
        let queries = addresses.iter().map(|to| (query.clone(), to.clone()));
        streams.queries.borrow_mut().extend(queries);
        streams.outbox_changed.notify_one();
        let collecting = collect(&mut receiver, &mut by_daemon, addresses.len());
        if tokio::time::timeout(wait, collecting).await.is_ok() {
            break;
        }
    }
    by_daemon.into_values().collect()
}

/// Collects replies until one has a record, or there are `count`.
async fn collect(
    receiver: &mut UnboundedReceiver<WireStreamReply>,
    by_daemon: &mut HashMap<u64, WireStreamReply>,
    count: usize,
) {
    while let Some(reply) = receiver.recv().await {
        let is_found = reply.record.is_some();
        by_daemon.insert(reply.daemon, reply);
        if is_found || by_daemon.len() >= count {
            return;
        }
    }
}
