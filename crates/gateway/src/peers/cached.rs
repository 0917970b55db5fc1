//! Replicates the contents of prompt-cache stores to the gateways of a group.
//!
//! The leader of the group follows the events of the stores and sends them to the members in batches. A member that has
//! just started, or missed that a store was restarted, fetches the whole contents page by page. The only cost of a lost
//! datagram is that a part of a prompt is copied or prefilled again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::message::{CachedQuery, CachedReply, Message, Report, WireCached};
use super::send::send;
use super::socket::PeerSocket;
use super::spread::spread;
use crate::cache::{CacheUpdate, CachedPartChange, configured_stores};
use crate::state::GatewayState;

/// The number of changes in a datagram, which keeps it below 1,200 bytes: a change takes up to 17 of them.
pub const MAX_CHANGES: usize = 56;

/// The size of the other fields of one store's entry in a datagram, counted in changes.
const HEADER_CHANGES: usize = 5;

/// How long changes are batched. Copying a prompt to a store takes several hundred milliseconds, so few requests could
/// use the information sooner.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// How long to wait for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// The initial pause between two checks for stores with unknown contents.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);

/// The maximum such pause: a store that doesn't answer stays unknown until the leader reaches it again, and the leader
/// then sends its whole contents.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Sends to the group what this gateway learns of the stores, in an endless loop.
pub(super) async fn send_updates(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    loop {
        state.peers.cached_news_added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let gathered = std::mem::take(&mut *state.peers.cached_news.borrow_mut());
        for datagram in pack(gathered) {
            spread(&state, &socket, Report::Cached(datagram)).await;
        }
    }
}

/// Distributes changes among datagrams, in order.
pub fn pack(gathered: Vec<CacheUpdate>) -> Vec<Vec<WireCached>> {
    let mut datagrams: Vec<Vec<WireCached>> = Vec::new();
    let mut remaining = 0;
    for news in gathered {
        let mut rest = news.changes.as_slice();
        let mut is_first = true;
        while is_first || !rest.is_empty() {
            if remaining <= HEADER_CHANGES {
                datagrams.push(Vec::new());
                remaining = MAX_CHANGES + HEADER_CHANGES;
            }
            let (part, later) = rest.split_at(rest.len().min(remaining - HEADER_CHANGES));
            let mut wire = WireCached::from(&news);
            wire.is_from_start &= is_first;
            wire.changes = wire_changes(part);
            if let Some(datagram) = datagrams.last_mut() {
                datagram.push(wire);
            }
            remaining = remaining.saturating_sub(HEADER_CHANGES + part.len());
            rest = later;
            is_first = false;
        }
    }
    datagrams
}

/// Applies changes from the leader.
pub(super) fn apply(state: &GatewayState, updates: &[WireCached]) {
    for news in updates.iter().filter_map(WireCached::to_news) {
        state.cached.apply(&news);
    }
}

/// The requested page, or `None` if the store's address is invalid.
pub(super) fn answer(state: &GatewayState, query: &CachedQuery) -> Option<CachedReply> {
    let store: SocketAddr = query.store.parse().ok()?;
    let page = state.cached.with_store(store, |kept| CachedReply {
        nonce: query.nonce,
        epoch: kept.epoch,
        next: kept.next,
        is_known: kept.is_known,
        changes: wire_changes(&kept.page(query.after, MAX_CHANGES)),
    });
    Some(page)
}

/// Fetches the contents of unknown stores from this gateway's source, in an endless loop.
pub(super) async fn catch_up(
    state: Rc<GatewayState>,
    socket: Rc<PeerSocket>,
    mut pages: UnboundedReceiver<CachedReply>,
) {
    let mut pause = INITIAL_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        let is_informed = |store: &SocketAddr| state.cached.is_known(*store);
        let unknown: Vec<SocketAddr> = configured_stores(&state)
            .into_iter()
            .filter(|store| !is_informed(store))
            .collect();
        if unknown.is_empty() {
            pause = INITIAL_PAUSE;
            continue;
        }
        pause = (pause * 2).min(MAX_PAUSE);
        for store in unknown {
            fetch(&state, &socket, store, &mut pages).await;
        }
    }
}

/// Fetches the contents of `store` page by page; stops when a page doesn't arrive or the source doesn't know the
/// contents.
async fn fetch(
    state: &GatewayState,
    socket: &PeerSocket,
    store: SocketAddr,
    pages: &mut UnboundedReceiver<CachedReply>,
) {
    let mut after = None;
    loop {
        let Some(source) = state.peers.source_address() else {
            return;
        };
        let nonce = state.peers.next_nonce();
        let query = CachedQuery {
            nonce,
            store: store.to_string(),
            after,
        };
        send(socket, &Message::CachedQuery(query), &source).await;
        let page = tokio::time::timeout(PAGE_TIMEOUT, matching_reply(pages, nonce)).await;
        let Ok(Some(page)) = page else {
            log::debug!(
                "no page of the contents of {store} arrived from {source} within {PAGE_TIMEOUT:?}"
            );
            return;
        };
        if !page.is_known {
            return;
        }
        let changes: Vec<CachedPartChange> = page.changes.iter().map(kept_change).collect();
        let news = CacheUpdate {
            store,
            epoch: page.epoch,
            next: page.next,
            is_known: true,
            is_from_start: after.is_none(),
            changes,
        };
        state.cached.apply(&news);
        match news.changes.last() {
            Some(last) if news.changes.len() == MAX_CHANGES => after = Some(last.part),
            _ => return,
        }
    }
}

async fn matching_reply(
    pages: &mut UnboundedReceiver<CachedReply>,
    nonce: u64,
) -> Option<CachedReply> {
    loop {
        let page = pages.recv().await?;
        if page.nonce == nonce {
            return Some(page);
        }
    }
}

impl From<&CacheUpdate> for WireCached {
    /// The fields without the changes.
    fn from(news: &CacheUpdate) -> Self {
        Self {
            store: news.store.to_string(),
            epoch: news.epoch,
            next: news.next,
            is_known: news.is_known,
            is_from_start: news.is_from_start,
            changes: Vec::new(),
        }
    }
}

impl WireCached {
    /// The changes, or `None` if the address is invalid.
    pub fn to_news(&self) -> Option<CacheUpdate> {
        Some(CacheUpdate {
            store: self.store.parse().ok()?,
            epoch: self.epoch,
            next: self.next,
            is_known: self.is_known,
            is_from_start: self.is_from_start,
            changes: self.changes.iter().map(kept_change).collect(),
        })
    }
}

fn wire_changes(changes: &[CachedPartChange]) -> Vec<(u64, u32)> {
    changes
        .iter()
        .map(|change| (change.part, change.tokens))
        .collect()
}

fn kept_change(change: &(u64, u32)) -> CachedPartChange {
    CachedPartChange {
        part: change.0,
        tokens: change.1,
    }
}
