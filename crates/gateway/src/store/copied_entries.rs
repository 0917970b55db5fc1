//! Entries of replicas that reappear although the replica is gone: because the store was restored from a copy, or because of a
//! late write after the replica had left. See [`crate::replicas::RemovedIncarnations`].

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::StorePosition;
use crate::peers::message::{Change, Item, WireReplica};
use crate::state::GatewayState;

/// Whether a reported entry must not be used because that incarnation was gone before the store was restored from a copy, or
/// had left. The entry of a replica that is still in use is never held back.
pub fn is_held_back(state: &GatewayState, entry: &WireReplica) -> bool {
    let is_in_use = state.registry.get(&entry.id).is_some();
    if is_in_use {
        return false;
    }
    let changes = state.store_eras.changes();
    let mut gone = state.removed_incarnations.borrow_mut();
    let was_held = gone.is_held_back(&entry.id);
    let is_held = gone.hold_back(entry, changes, Instant::now());
    if is_held && !was_held {
        state.status.metrics.replicas_held_back.inc();
        log_event!(
            gateway::REPLICA_HELD_BACK,
            "replica={} born={:?}",
            entry.id,
            entry.born
        );
    }
    is_held
}

/// Records that the entry of a replica was removed. `known` is the entry that was in use until then; an entry that was held
/// back was not.
pub fn note_gone(state: &GatewayState, id: &str, known: Option<&Item>) {
    let changes = state.store_eras.changes();
    let now = Instant::now();
    let mut gone = state.removed_incarnations.borrow_mut();
    match known {
        Some(Item::Replica(known)) => {
            gone.record_removal(id, known.born, changes, now);
            if known.is_draining {
                gone.record_leaving(id);
            }
        }
        _ => gone.record_repeated_removal(id, changes, now),
    }
}

/// Records the store position of a replica's entry: an entry written after the first answer of its era does not come from the
/// copy, so it is no longer held back.
pub(super) fn note_written(state: &GatewayState, id: &str, position: StorePosition) {
    let start = state.store_era_start.get();
    if position.era == start.era && position.revision > start.revision {
        state.removed_incarnations.borrow_mut().record_rewrite(id);
    }
}

/// Puts entries into use that were held back for long enough without being removed by the platform. A gateway that follows
/// another may have missed a removal, so it requests the complete state instead.
pub fn release(state: &GatewayState) {
    let released = state
        .removed_incarnations
        .borrow_mut()
        .release_expired(Instant::now());
    if released.is_empty() {
        return;
    }
    if !state.peers.is_reader.get() {
        state.peers.reset_followed_log();
        return;
    }
    for entry in released {
        state.apply(Change::Put(Item::Replica(entry)));
    }
    state.publish_changes();
}
