//! Follows what a store of cached prompt work keeps.

use std::cell::RefCell;
use std::collections::HashSet;
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

/// How often it is looked for new stores.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows every store that the configuration names, for ever.
pub async fn run(state: Rc<GatewayState>) {
    let followed: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
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

fn stores(state: &GatewayState) -> Vec<SocketAddr> {
    let configuration = state.configuration.load_full();
    configuration.map_or_else(Vec::new, |configuration| {
        let stores = configuration.kv_stores();
        stores.map(|store| store.address).collect()
    })
}

/// Follows one store for as long as the configuration names it.
async fn follow(state: &GatewayState, store: SocketAddr) {
    let pool = Pool::new(store);
    while stores(state).contains(&store) {
        let is_done = follow_once(state, &pool, store).await;
        let pause = match is_done {
            true => GATHERING,
            false => PAUSE_AFTER_FAILURE,
        };
        tokio::time::sleep(pause).await;
    }
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
