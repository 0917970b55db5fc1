//! Follows what a store of cached prompt work keeps.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::protocol::CachePage;
use crate::state::GatewayState;
use crate::upstream::{self, Pool};

/// How long one call waits for changes.
const WAIT: Duration = Duration::from_millis(1000);

/// How much longer its answer may take.
const MARGIN: Duration = Duration::from_millis(800);

/// The pause between two calls, in which changes gather.
const GATHERING: Duration = Duration::from_millis(150);

/// The pause after a call that failed.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// How often it is looked for a store while there is none.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the store that serves this daemon's zone, for ever.
pub async fn run(state: Rc<GatewayState>) {
    loop {
        let Some(store) = present_store(&state) else {
            tokio::time::sleep(LOOK_INTERVAL).await;
            continue;
        };
        let pool = Pool::new(store);
        while present_store(&state) == Some(store) {
            let is_done = follow_once(&state, &pool, store).await;
            tokio::time::sleep(if is_done {
                GATHERING
            } else {
                PAUSE_AFTER_FAILURE
            })
            .await;
        }
    }
}

fn present_store(state: &GatewayState) -> Option<SocketAddr> {
    let configuration = state.configuration.load_full()?;
    state.kv_store(&configuration).map(|store| store.address)
}

/// What an answer tells; nothing where it can't be read.
fn read_page(state: &GatewayState, body: &[u8], is_informed: bool) -> Option<CachePage> {
    let page = match is_informed {
        true => state.platform.read_cache_events(body),
        false => state.platform.read_cache_list(body),
    };
    page.ok()
}

/// One call; false where it failed, and what is kept is not known any more.
async fn follow_once(state: &GatewayState, pool: &Rc<Pool>, store: SocketAddr) -> bool {
    let (is_informed, since) = state
        .cached
        .with(store, |kept| (kept.is_informed, kept.next));
    let call = match is_informed {
        true => state.platform.cache_events(since, WAIT),
        false => state.platform.cache_list(),
    };
    let answer = upstream::call(pool, &call, WAIT + MARGIN).await;
    let page = answer
        .ok()
        .filter(|(status, _)| status.is_success())
        .and_then(|(_, body)| read_page(state, &body, is_informed));
    let Some(page) = page else {
        state.cached.with(store, |kept| kept.forget());
        return false;
    };
    state.cached.with(store, |kept| match is_informed {
        true => kept.take_events(&page),
        false => {
            kept.take_list(&page);
            true
        }
    })
}
