//! Makes this daemon known to the others through the store.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::client::{list_all, write};
use super::follow::take_items;
use crate::peers::message::ItemKey;
use crate::protocol::{DaemonRecord, ObjectContent, ObjectKind, StoredObject};
use crate::state::GatewayState;

/// How long the daemons of a first start are waited for, which all come at once.
const CROWD: Duration = Duration::from_millis(700);

/// The longest random wait, which sets daemons apart.
const LONGEST_JITTER_MS: u64 = 200;

/// Lists the daemons, and adds this one where it is not among them. False where the store did not answer;
/// the others are then known from seeds, and this one to those it asks.
pub async fn join_daemons(state: &Rc<GatewayState>) -> bool {
    let Ok((objects, _)) = list_all(state, ObjectKind::Daemons).await else {
        ntex::rt::spawn(join_later(Rc::clone(state)));
        return false;
    };
    let own = own_record(state);
    let earlier = objects.iter().find(|object| object.name == own.name);
    let is_known = earlier.is_some_and(|object| is_same(object, &own));
    let revision = earlier.map(|object| object.revision);
    take_items(state, ObjectKind::Daemons, objects);
    if is_known {
        return true;
    }
    let name = own.name.clone();
    let content = ObjectContent::Daemon(own);
    let answer = write(state, ObjectKind::Daemons, &name, &content, revision).await;
    log::debug!("joining the daemons: {answer:?}");
    let jitter = Duration::from_millis(rand::rng().random_range(0..LONGEST_JITTER_MS));
    tokio::time::sleep(CROWD + jitter).await;
    if let Ok((objects, _)) = list_all(state, ObjectKind::Daemons).await {
        take_items(state, ObjectKind::Daemons, objects);
    }
    true
}

/// Joins once the store answers.
async fn join_later(state: Rc<GatewayState>) {
    let own = state.peers.own().name.clone();
    loop {
        tokio::time::sleep(CROWD).await;
        let is_listed = state
            .peers
            .log
            .borrow()
            .get(&ItemKey::Daemon(own.clone()))
            .is_some();
        if is_listed {
            return;
        }
        if !state.currency.is_within(CROWD * 3) {
            continue;
        }
        let content = ObjectContent::Daemon(own_record(&state));
        let answer = write(&state, ObjectKind::Daemons, &own, &content, None).await;
        log::debug!("joining the daemons late: {answer:?}");
    }
}

fn own_record(state: &GatewayState) -> DaemonRecord {
    DaemonRecord {
        name: state.settings.name.clone(),
        peers: state.settings.listen.peers,
        zone: state.settings.zone.clone(),
    }
}

fn is_same(object: &StoredObject, own: &DaemonRecord) -> bool {
    matches!(&object.content, Ok(ObjectContent::Daemon(known)) if known == own)
}
