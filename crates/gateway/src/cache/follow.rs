//! Follows the contents of the prompt-cache stores.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::kept::{CacheUpdate, CachedPartChange};
use crate::protocol::{CachePage, Call, UnreadableReason};
use crate::state::GatewayState;
use crate::store::Rejected;
use crate::upstream::{self, Pool};

/// How long a store may hold a call open until there are changes.
const POLL_WAIT: Duration = Duration::from_millis(1000);

/// Additional time for the answer to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(800);

/// Pause between two calls, so that changes arrive in batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Pause after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two checks for newly configured stores.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows every configured store while this gateway leads its group, in an endless loop.
pub async fn run(state: Rc<GatewayState>) {
    let followed: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
        state.peers.wait_until_leader().await;
        for store in configured_stores(&state) {
            if followed.borrow_mut().insert(store) {
                let (state, followed) = (Rc::clone(&state), Rc::clone(&followed));
                ntex::rt::spawn(async move {
                    follow(&state, store).await;
                    followed.borrow_mut().remove(&store);
                });
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the addresses of the configured stores.
pub fn configured_stores(state: &GatewayState) -> Vec<SocketAddr> {
    let configuration = state.configuration.load_full();
    configuration.map_or_else(Vec::new, |configuration| {
        let stores = configuration.kv_stores();
        stores.map(|store| store.address).collect()
    })
}

/// Follows one store while it is configured and this gateway leads its group.
async fn follow(state: &GatewayState, store: SocketAddr) {
    let pool = Pool::new(store);
    while state.peers.is_leader.get() && configured_stores(state).contains(&store) {
        let is_success = poll_once(state, &pool, store).await;
        let pause = match is_success {
            true => BATCH_INTERVAL,
            false => RETRY_INTERVAL,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Makes one call. Returns false if the call failed or its page did not follow on the known contents; the contents are
/// then unknown.
async fn poll_once(state: &GatewayState, pool: &Rc<Pool>, store: SocketAddr) -> bool {
    let (was_known, since) = state
        .cached
        .with_store(store, |kept| (kept.is_known, kept.next));
    let page = match was_known {
        true => fetch_events(state, pool, since).await,
        false => fetch_list(state, pool).await,
    };
    let is_continued = |page: &CachePage| {
        state
            .cached
            .with_store(store, |kept| kept.is_continued_by(page))
    };
    let page = page.filter(|page| !was_known || is_continued(page));
    let update = match page {
        Some(page) => CacheUpdate {
            store,
            epoch: page.epoch,
            next: page.next,
            is_known: true,
            is_from_start: !was_known,
            changes: page.events.iter().map(CachedPartChange::from).collect(),
        },
        None => CacheUpdate::unknown(store),
    };
    let is_known = update.is_known;
    if is_known || was_known {
        state.cached.apply(&update);
        state.peers.announce_cached(update);
    }
    is_known
}

/// Fetches the changes after `since`; `None` if that fails.
async fn fetch_events(state: &GatewayState, pool: &Rc<Pool>, since: u64) -> Option<CachePage> {
    let call = state.platform.cache_events(since, POLL_WAIT);
    let body = fetch_body(pool, &call).await?;
    parsed_page(state, pool, state.platform.read_cache_events(&body))
}

/// Fetches the whole contents; `None` if that fails.
async fn fetch_list(state: &GatewayState, pool: &Rc<Pool>) -> Option<CachePage> {
    let body = fetch_body(pool, &state.platform.cache_list()).await?;
    parsed_page(state, pool, state.platform.read_cache_list(&body))
}

fn parsed_page(
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

async fn fetch_body(pool: &Rc<Pool>, call: &Call) -> Option<Bytes> {
    match upstream::call(pool, call, POLL_WAIT + ANSWER_MARGIN).await {
        Ok((status, body)) if status.is_success() => Some(body),
        Ok((status, _)) => {
            log::debug!(
                "call for the contents of store {} failed with status {status}",
                pool.peer()
            );
            None
        }
        Err(error) => {
            log::debug!(
                "call for the contents of store {} failed: {error}",
                pool.peer()
            );
            None
        }
    }
}
