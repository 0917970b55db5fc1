//! Follows what a store of cached prompt work keeps.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::kept::{CachedNews, KeptChange};
use crate::protocol::{CachePage, Call, UnreadableReason};
use crate::state::GatewayState;
use crate::store::Rejected;
use crate::upstream::{self, Pool};

/// How long one call waits for changes.
const WAIT: Duration = Duration::from_millis(1000);

/// How much longer its answer may take.
const MARGIN: Duration = Duration::from_millis(800);

/// The pause between two calls, in which changes gather.
const GATHERING: Duration = Duration::from_millis(150);

/// The pause after a call that failed.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How often it is looked for new stores.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows every store that the configuration names while this daemon leads its group, for ever.
pub async fn run(state: Rc<GatewayState>) {
    let followed: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
        state.peers.wait_until_leader().await;
        for store in stores(&state) {
            if followed.borrow_mut().insert(store) {
                let (state, followed) = (Rc::clone(&state), Rc::clone(&followed));
                ntex::rt::spawn(async move {
                    follow(&state, store).await;
                    followed.borrow_mut().remove(&store);
                });
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// The stores that the configuration names.
pub fn stores(state: &GatewayState) -> Vec<SocketAddr> {
    let configuration = state.configuration.load_full();
    configuration.map_or_else(Vec::new, |configuration| {
        let stores = configuration.kv_stores();
        stores.map(|store| store.address).collect()
    })
}

/// Follows one store for as long as the configuration names it and this daemon leads its group.
async fn follow(state: &GatewayState, store: SocketAddr) {
    let pool = Pool::new(store);
    while state.peers.is_leader.get() && stores(state).contains(&store) {
        let is_done = follow_once(state, &pool, store).await;
        let pause = match is_done {
            true => GATHERING,
            false => RECEIVE_RETRY_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

/// One call; false where it failed, and what is kept is not known any more.
async fn follow_once(state: &GatewayState, pool: &Rc<Pool>, store: SocketAddr) -> bool {
    let (is_informed, since) = state
        .cached
        .with(store, |kept| (kept.is_informed, kept.next));
    let page = match is_informed {
        true => events(state, pool, since).await,
        false => list(state, pool).await,
    };
    let goes_on = |page: &CachePage| state.cached.with(store, |kept| kept.goes_on_with(page));
    let page = page.filter(|page| !is_informed || goes_on(page));
    let news = match page {
        Some(page) => CachedNews {
            store,
            epoch: page.epoch,
            next: page.next,
            is_known: true,
            is_from_start: !is_informed,
            changes: page.events.iter().map(KeptChange::from).collect(),
        },
        None => CachedNews::unknown(store),
    };
    let is_known = news.is_known;
    if is_known || is_informed {
        state.cached.take(&news);
        state.peers.announce_cached(news);
    }
    is_known
}

/// The changes after `since`; nothing where they can't be had.
async fn events(state: &GatewayState, pool: &Rc<Pool>, since: u64) -> Option<CachePage> {
    let call = state.platform.cache_events(since, WAIT);
    let body = body_of(pool, &call).await?;
    readable(state, pool, state.platform.read_cache_events(&body))
}

/// All that is kept; nothing where it can't be had.
async fn list(state: &GatewayState, pool: &Rc<Pool>) -> Option<CachePage> {
    let body = body_of(pool, &state.platform.cache_list()).await?;
    readable(state, pool, state.platform.read_cache_list(&body))
}

fn readable(
    state: &GatewayState,
    pool: &Pool,
    page: Result<CachePage, String>,
) -> Option<CachePage> {
    let reject = |error: &String| {
        let (name, reason) = (pool.peer().to_string(), UnreadableReason::Fields);
        state.reject(Rejected::CachePage, &name, reason, error.clone());
    };
    page.inspect_err(reject).ok()
}

async fn body_of(pool: &Rc<Pool>, call: &Call) -> Option<Bytes> {
    match upstream::call(pool, call, WAIT + MARGIN).await {
        Ok((status, body)) if status.is_success() => Some(body),
        Ok((status, _)) => {
            log::debug!("{} answered {status} for what it keeps", pool.peer());
            None
        }
        Err(error) => {
            log::debug!("{} did not say what it keeps: {error}", pool.peer());
            None
        }
    }
}
