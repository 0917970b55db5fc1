//! Registers this gateway in the store, through which the others discover it.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use super::StorePosition;
use super::client::{list_recent, write};
use super::follow::apply_item_list;
use crate::peers::message::ItemKey;
use crate::protocol::{DaemonRecord, ObjectContent, ObjectKind, StoredObject, WriteAnswer};
use crate::state::GatewayState;

/// How long to wait at the first start of a site for the other gateways, which all start at once.
const FIRST_START_DELAY: Duration = Duration::from_millis(700);

/// Maximum random delay that spreads the gateways over time.
const MAX_JITTER_MS: u64 = 200;

/// Adds this gateway's entry to the store. A restarted gateway learns the others from a list that may be seconds old; at the
/// first start of a site they are not listed yet, and are learned from the seeds, which read the store. Returns false if the
/// store did not answer; then the others are known from the seeds, and this one only to those it contacts.
pub async fn register_gateway(state: &Rc<GatewayState>) -> bool {
    let listing = match state.settings.is_first_start {
        true => OwnListing::Unlisted,
        false => learn_others(state).await,
    };
    let is_listed = match listing {
        OwnListing::Current => true,
        OwnListing::Different(position) => write_own_entry(state, Some(position)).await,
        OwnListing::Unlisted => write_own_entry(state, None).await,
        OwnListing::Unknown => false,
    };
    if !is_listed {
        ntex::rt::spawn(retry_registration(Rc::clone(state)));
        return false;
    }
    if state.settings.is_first_start && !is_seed(state) {
        let jitter = Duration::from_millis(rand::rng().random_range(0..MAX_JITTER_MS));
        tokio::time::sleep(FIRST_START_DELAY + jitter).await;
    }
    true
}

/// This gateway's entry in a list of gateways.
enum OwnListing {
    /// The entry is there and up to date.
    Current,
    /// A different entry has this gateway's name, at this position.
    Different(StorePosition),
    /// There is no such entry.
    Unlisted,
    /// The list could not be read.
    Unknown,
}

/// Learns the other gateways from a list that may be seconds old.
async fn learn_others(state: &GatewayState) -> OwnListing {
    let objects = match list_recent(state, ObjectKind::Daemons).await {
        Ok(objects) => objects,
        Err(error) => {
            log::debug!("list of gateways failed: {error}");
            return OwnListing::Unknown;
        }
    };
    let own = own_record(state);
    let listing = objects.iter().find(|object| object.name == own.name);
    let listing = match listing {
        Some(object) if is_same(object, &own) => OwnListing::Current,
        Some(object) => OwnListing::Different(object.position),
        None => OwnListing::Unlisted,
    };
    apply_item_list(state, ObjectKind::Daemons, objects);
    listing
}

/// Writes this gateway's entry in place of the one at `expected`; returns whether the entry is in the store.
pub(super) async fn write_own_entry(state: &GatewayState, expected: Option<StorePosition>) -> bool {
    let is_there = try_write_own_entry(state, expected).await;
    if is_there {
        state.own_entry_written_at.set(state.now());
    }
    is_there
}

async fn try_write_own_entry(state: &GatewayState, expected: Option<StorePosition>) -> bool {
    match write_own_record(state, expected).await {
        WriteAnswer::Accepted(_) => true,
        WriteAnswer::Conflict(Some(object)) if is_same(&object, &own_record(state)) => true,
        WriteAnswer::Conflict(Some(object)) => {
            let answer = write_own_record(state, Some(object.position)).await;
            matches!(answer, WriteAnswer::Accepted(_))
        }
        WriteAnswer::Conflict(None) | WriteAnswer::Busy | WriteAnswer::Unknown => false,
    }
}

async fn write_own_record(state: &GatewayState, expected: Option<StorePosition>) -> WriteAnswer {
    let own = own_record(state);
    let name = own.name.clone();
    let content = ObjectContent::Daemon(own);
    let answer = write(state, ObjectKind::Daemons, &name, &content, expected).await;
    log::debug!("write of own entry {name}: {answer:?}");
    answer
}

/// Whether this gateway is a seed: the others contact it first, so it must not wait for them.
fn is_seed(state: &GatewayState) -> bool {
    let own = state.settings.listen.peers.ip();
    state.settings.seeds.iter().any(|seed| seed.ip() == own)
}

/// Writes this gateway's entry as soon as the store answers, unless it is listed by then.
async fn retry_registration(state: Rc<GatewayState>) {
    let own = state.peers.own().name.clone();
    loop {
        tokio::time::sleep(FIRST_START_DELAY).await;
        let is_listed = state
            .peers
            .log
            .borrow()
            .get(&ItemKey::Daemon(own.clone()))
            .is_some();
        if is_listed {
            return;
        }
        if !state.currency.is_within(FIRST_START_DELAY * 3) {
            continue;
        }
        if write_own_entry(&state, None).await {
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
