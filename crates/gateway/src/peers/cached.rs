//! Tells the daemons of a group what stores of cached prompt work keep.
//!
//! The leader of the group follows the events of the stores, gathers them and sends them to the members in
//! datagrams. A member that has just started, or has missed that a store began a new life, asks for all that is
//! kept, page by page. A datagram that is lost costs a part that is copied or read again, nothing else.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::message::{CachedQuery, CachedReply, Message, Report, WireCached};
use super::send::send;
use super::spread::spread;
use crate::cache::{CachedNews, KeptChange, stores};
use crate::state::GatewayState;

/// Changes of one datagram, which so stays below 1,200 bytes: a change takes up to 17 of them.
pub const MAX_CHANGES: usize = 56;

/// What the fields of one store's news take beside its changes, counted in changes.
const HEADER_CHANGES: usize = 5;

/// How long changes gather before they are told. Copying a prompt to a store takes some hundred milliseconds, so
/// few requests could use the news sooner.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// How long a page is waited for.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause between two looks for stores of which nothing is known.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);

/// The longest such pause: a store that does not answer stays unknown until the leader hears of it again, and then
/// the leader tells all that it keeps.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Tells the group what this daemon learns of the stores, for ever.
pub(super) async fn send_updates(state: Rc<GatewayState>, socket: Rc<tokio::net::UdpSocket>) {
    loop {
        state.peers.cached_news_added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let gathered = std::mem::take(&mut *state.peers.cached_news.borrow_mut());
        for datagram in pack(gathered) {
            spread(&state, &socket, Report::Cached(datagram)).await;
        }
    }
}

/// Shares out news among datagrams, in their order.
pub fn pack(gathered: Vec<CachedNews>) -> Vec<Vec<WireCached>> {
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

/// Takes in what the leader tells.
pub(super) fn apply(state: &GatewayState, told: &[WireCached]) {
    for news in told.iter().filter_map(WireCached::to_news) {
        state.cached.take(&news);
    }
}

/// The page that is asked for.
pub(super) fn answer(state: &GatewayState, query: &CachedQuery) -> Option<CachedReply> {
    let store: SocketAddr = query.store.parse().ok()?;
    let page = state.cached.with(store, |kept| CachedReply {
        nonce: query.nonce,
        epoch: kept.epoch,
        next: kept.next,
        is_known: kept.is_informed,
        changes: wire_changes(&kept.page(query.after, MAX_CHANGES)),
    });
    Some(page)
}

/// Asks the source of this daemon for what stores keep of which nothing is known here, for ever.
pub(super) async fn catch_up(
    state: Rc<GatewayState>,
    socket: Rc<tokio::net::UdpSocket>,
    mut pages: UnboundedReceiver<CachedReply>,
) {
    let mut pause = INITIAL_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        let is_informed = |store: &SocketAddr| state.cached.is_informed(*store);
        let unknown: Vec<SocketAddr> = stores(&state)
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

/// Fetches all that `store` keeps, page by page; ends where a page does not come or the source knows nothing.
async fn fetch(
    state: &GatewayState,
    socket: &tokio::net::UdpSocket,
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
            log::debug!("no page of what {store} keeps came from {source}");
            return;
        };
        if !page.is_known {
            return;
        }
        let changes: Vec<KeptChange> = page.changes.iter().map(kept_change).collect();
        let news = CachedNews {
            store,
            epoch: page.epoch,
            next: page.next,
            is_known: true,
            is_from_start: after.is_none(),
            changes,
        };
        state.cached.take(&news);
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

impl From<&CachedNews> for WireCached {
    /// The news without their changes.
    fn from(news: &CachedNews) -> Self {
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
    /// The news; nothing where the address can't be read.
    pub fn to_news(&self) -> Option<CachedNews> {
        Some(CachedNews {
            store: self.store.parse().ok()?,
            epoch: self.epoch,
            next: self.next,
            is_known: self.is_known,
            is_from_start: self.is_from_start,
            changes: self.changes.iter().map(kept_change).collect(),
        })
    }
}

fn wire_changes(changes: &[KeptChange]) -> Vec<(u64, u32)> {
    changes
        .iter()
        .map(|change| (change.part, change.tokens))
        .collect()
}

fn kept_change(change: &(u64, u32)) -> KeptChange {
    KeptChange {
        part: change.0,
        tokens: change.1,
    }
}
