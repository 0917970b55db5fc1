//! Makes this daemon known to the others through the store.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::StorePosition;
use super::client::{list_recent, write};
use super::follow::take_items;
use crate::peers::message::ItemKey;
use crate::protocol::{DaemonRecord, ObjectContent, ObjectKind, StoredObject, WriteAnswer};
use crate::state::GatewayState;

/// How long the daemons of a first start are waited for, which all come at once.
const CROWD: Duration = Duration::from_millis(700);

/// The longest random wait, which sets daemons apart.
const LONGEST_JITTER_MS: u64 = 200;

/// Adds this daemon to the list of daemons. One that was started again learns the others from a recent list; at a
/// first start they are not listed yet, and are learnt from seeds, which read the store. False where the store did
/// not answer; the others are then known from seeds, and this one to those it asks.
pub async fn join_daemons(state: &Rc<GatewayState>) -> bool {
    let earlier = match state.settings.is_first_start {
        true => Earlier::Unlisted,
        false => learn_others(state).await,
    };
    let is_listed = match earlier {
        Earlier::Same => true,
        Earlier::Other(position) => add_own(state, Some(position)).await,
        Earlier::Unlisted => add_own(state, None).await,
        Earlier::Unknown => false,
    };
    if !is_listed {
        ntex::rt::spawn(join_later(Rc::clone(state)));
        return false;
    }
    if state.settings.is_first_start && !is_seed(state) {
        let jitter = Duration::from_millis(rand::rng().random_range(0..LONGEST_JITTER_MS));
        tokio::time::sleep(CROWD + jitter).await;
    }
    true
}

/// What the list of daemons says of this one.
enum Earlier {
    /// It is there, as it is now.
    Same,
    /// Another daemon stands under its name, there.
    Other(StorePosition),
    /// It is not there.
    Unlisted,
    /// The list could not be read.
    Unknown,
}

/// Learns the other daemons from a recent list.
async fn learn_others(state: &GatewayState) -> Earlier {
    let objects = match list_recent(state, ObjectKind::Daemons).await {
        Ok(objects) => objects,
        Err(error) => {
            log::debug!("list of daemons failed: {error}");
            return Earlier::Unknown;
        }
    };
    let own = own_record(state);
    let earlier = objects.iter().find(|object| object.name == own.name);
    let earlier = match earlier {
        Some(object) if is_same(object, &own) => Earlier::Same,
        Some(object) => Earlier::Other(object.position),
        None => Earlier::Unlisted,
    };
    take_items(state, ObjectKind::Daemons, objects);
    earlier
}

/// Writes this daemon's record, in the place of the one at `expected`; true where it is there.
pub(super) async fn add_own(state: &GatewayState, expected: Option<StorePosition>) -> bool {
    let is_there = try_add_own(state, expected).await;
    if is_there {
        state.own_entry_written_at.set(state.now());
    }
    is_there
}

async fn try_add_own(state: &GatewayState, expected: Option<StorePosition>) -> bool {
    match write_own(state, expected).await {
        WriteAnswer::Accepted(_) => true,
        WriteAnswer::Conflict(Some(object)) if is_same(&object, &own_record(state)) => true,
        WriteAnswer::Conflict(Some(object)) => {
            let answer = write_own(state, Some(object.position)).await;
            matches!(answer, WriteAnswer::Accepted(_))
        }
        WriteAnswer::Conflict(None) | WriteAnswer::Busy | WriteAnswer::Unknown => false,
    }
}

async fn write_own(state: &GatewayState, expected: Option<StorePosition>) -> WriteAnswer {
    let own = own_record(state);
    let name = own.name.clone();
    let content = ObjectContent::Daemon(own);
    let answer = write(state, ObjectKind::Daemons, &name, &content, expected).await;
    log::debug!("joining the daemons: {answer:?}");
    answer
}

/// Whether the others ask this daemon first, which therefore must not wait for them.
fn is_seed(state: &GatewayState) -> bool {
    let own = state.settings.listen.peers.ip();
    state.settings.seeds.iter().any(|seed| seed.ip() == own)
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
        if add_own(&state, None).await {
            return;
        }
    }
}

fn own_record(state: &GatewayState) -> DaemonRecord {
    DaemonRecord {
        name: state.settings.name.clone(),
        peers: state.settings.listen.peers,
        zone: state.settings.zone.clone(),
        capacity: state.peers.own().capacity,
    }
}

fn is_same(object: &StoredObject, own: &DaemonRecord) -> bool {
    matches!(&object.content, Ok(ObjectContent::Daemon(known)) if known == own)
}
