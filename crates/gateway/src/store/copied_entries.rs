//! Entries of replicas that came back with a copy of the store, or by a late write after they had left, see
//! [`crate::replicas::GoneLives`].

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::StorePosition;
use crate::peers::message::{Change, Item, WireReplica};
use crate::state::GatewayState;

/// Whether a told entry is not to be used: that life was gone before the store came back from a copy, or had left. One that is still in use
/// without an entry has waited for it.
pub fn is_held_back(state: &GatewayState, told: &WireReplica) -> bool {
    let is_in_use = state.registry.get(&told.id).is_some();
    if is_in_use {
        return false;
    }
    let changes = state.store_eras.changes();
    let mut gone = state.gone_lives.borrow_mut();
    let was_held = gone.is_held_back(&told.id);
    let is_held = gone.holds_back(told, changes, Instant::now());
    if is_held && !was_held {
        state.status.metrics.replicas_held_back.inc();
        log_event!(
            gateway::REPLICA_HELD_BACK,
            "replica={} born={:?}",
            told.id,
            told.born
        );
    }
    is_held
}

/// Takes in that the entry of a replica is gone for good, which was `known` until then; one that was held back was not known.
pub fn note_gone(state: &GatewayState, id: &str, known: Option<&Item>) {
    let changes = state.store_eras.changes();
    let now = Instant::now();
    let mut gone = state.gone_lives.borrow_mut();
    match known {
        Some(Item::Replica(known)) => {
            gone.note_gone(id, known.born, changes, now);
            if known.is_draining {
                gone.note_left(id);
            }
        }
        _ => gone.note_removed(id, changes, now),
    }
}

/// Takes in where the store has the entry of a replica: what was written after the first answer of its era did not come with
/// the copy.
pub(super) fn note_written(state: &GatewayState, id: &str, position: StorePosition) {
    let begin = state.store_era_begin.get();
    if position.era == begin.era && position.revision > begin.revision {
        state.gone_lives.borrow_mut().forget(id);
    }
}

/// Puts entries into use that were held back for long enough: the platform has not removed them. A daemon that follows another
/// may not have heard of a removal, and asks for everything anew.
pub fn release(state: &GatewayState) {
    let released = state.gone_lives.borrow_mut().take_over(Instant::now());
    if released.is_empty() {
        return;
    }
    if !state.peers.is_reader.get() {
        state.peers.learnt_elsewhere();
        return;
    }
    for entry in released {
        state.apply(Change::Put(Item::Replica(entry)));
    }
    state.registry_changed();
}
