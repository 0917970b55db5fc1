//! Asks other gateways where a stream began.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::origin::{Asker, Knowledge, StreamOrigin, UnknownOrigin, decide, of_record};
use super::{ASKED, MAX_PENDING, StreamKey, StreamVersions, ranked};
use crate::peers::message::{WireStreamQuery, WireStreamReply};
use crate::state::GatewayState;

/// How long replies are waited for; a round trip between regions takes 40 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// When the gateways that have not replied are asked again, since datagrams get lost.
const REPEAT_AFTER: Duration = Duration::from_millis(80);

/// How old the view of the replicas may be for this gateway to rely on the versions that it has seen. Gateways query
/// each other twice a second.
const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

/// Finds out where a stream began.
///
/// # Errors
///
/// That is not known for certain.
pub(crate) async fn find_origin(
    state: &GatewayState,
    key: StreamKey,
    service: u64,
) -> Result<StreamOrigin, UnknownOrigin> {
    if let Some(record) = state.streams.get(key, Instant::now()) {
        return of_record(&record);
    }
    let own = &state.peers.own().name;
    let directory = state.peers.directory();
    let asked = ranked(&directory, key, ASKED);
    let asked = asked.into_iter().filter(|daemon| daemon.name != *own);
    let addresses: Vec<String> = asked.map(|daemon| daemon.peers.clone()).collect();
    let replies = ask(state, key, service, &addresses).await;
    let now = Instant::now();
    let view_age = state.peers.view_age();
    let asker = Asker {
        versions: state.streams.versions_of(service, now),
        is_current: view_age.is_some_and(|age| age <= MAX_VIEW_AGE),
        asked: addresses.len(),
    };
    let replies: Vec<Knowledge> = replies.iter().map(|reply| reply.knowledge(now)).collect();
    decide(&asker, &replies)
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
