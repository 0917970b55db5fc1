//! Applies the store objects in which the operator names the wanted version of each model's weights.
//!
//! A naming is the write with which the operator sets a new version. Its time matters: replicas with older weights may serve
//! only for a limited time after it.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::StorePosition;
use super::follow::note_unreadable;
use crate::protocol::{ModelVersion, ObjectContent, ObjectKind, StoredObject};
use crate::state::{GatewayState, STARTUP_WINDOW};
use crate::suspected_weights::Suspicion;
use crate::weights::Since;

/// How much of the deadline for new weights is left to a gateway that has just started, whatever their age. It may use older
/// weights until it is in touch, 3 s (`contactMs`) after the start of its process, which precedes the start of its own clock
/// by up to 0.3 s; and it sends no requests to them in the last 1.5 s: 3 - 0.3 + 1.5.
const INITIAL_WEIGHTS_GRACE: Duration = Duration::from_millis(4200);

/// The version of the weights with which replicas start (operator's pages).
const FIRST_VERSION: u64 = 1;

/// Applies an object reported by a watch.
pub(super) fn apply_written(state: &GatewayState, weights: &ModelVersion, position: StorePosition) {
    note_stored_weights(state, weights, position);
    // A write that keeps a known version is no naming.
    let newest = state.weights.borrow().newest(&weights.model);
    if newest >= Some(weights.version) {
        return;
    }
    // The time of the watch's answer is not the time of the naming: an earlier answer may have been lost, or this process may
    // have been suspended (requests started on older weights 8.5 s after a naming, where 7 s are allowed).
    let since = named_after(state, position);
    let since = since.unwrap_or_else(Instant::now);
    record_wanted_weights(state, weights, Since::Known(since));
}

/// Applies a list of wanted weights.
pub(super) fn apply_list(state: &GatewayState, objects: Vec<StoredObject>) {
    let fallback = assumed_since(state);
    for object in objects {
        note_unreadable(state, ObjectKind::Weights, &object);
        if let Ok(ObjectContent::Weights(weights)) = object.content {
            apply_listed(state, &weights, object.position, fallback);
        }
    }
}

/// Applies an object from a list; `fallback` is the time from which a version counts if nothing is known of its naming.
fn apply_listed(
    state: &GatewayState,
    weights: &ModelVersion,
    position: StorePosition,
    fallback: Since,
) {
    let newest = state.weights.borrow().newest(&weights.model);
    let named_after = named_after(state, position);
    let may_hide =
        state
            .suspected_weights
            .borrow()
            .may_hide_naming(weights, newest, position, named_after);
    note_stored_weights(state, weights, position);
    if may_hide {
        let known = weights.version.max(newest.unwrap_or(0));
        suspect_next_weights(state, &weights.model, known, "hidden by a later write");
    }
    // A rewrite of the same version, as after a restore of the store from a copy, is no naming: it must not reduce the age
    // of a version whose age was assumed.
    if newest >= Some(weights.version) {
        return;
    }
    record_wanted_weights(state, weights, named_after.map_or(fallback, Since::Known));
    if let Some(skipped_version) = skipped_version(weights, newest.or(first_version(state))) {
        record_wanted_weights(state, &skipped_version, since_last_known(state, fallback));
    }
}

/// Records the store position of a model's weights. If the known version was written again, the next version may have been
/// there in between.
fn note_stored_weights(state: &GatewayState, weights: &ModelVersion, position: StorePosition) {
    let not_before = named_after(state, position);
    let is_written_again = state
        .suspected_weights
        .borrow_mut()
        .note_stored(weights, position, not_before);
    let newest = state.weights.borrow().newest(&weights.model);
    if !is_written_again || newest != Some(weights.version) {
        return;
    }
    suspect_next_weights(state, &weights.model, weights.version, "written again");
}

/// Records that the version after `known` may have been named since the time up to which all namings are known; versions
/// increase by one.
fn suspect_next_weights(state: &GatewayState, model: &str, known: u64, reason: &str) {
    let Some(version) = known.checked_add(1) else {
        return;
    };
    let model = model.to_owned();
    let since = since_last_known(state, assumed_since(state));
    let weights = ModelVersion { model, version };
    suspect_weights(state, Suspicion { weights, since }, reason);
}

/// Records versions above the known ones that replica entries show: for each model the lowest one.
pub fn note_shown_weights(state: &GatewayState, shown: &HashMap<String, u64>) {
    let now = Instant::now();
    let shown_for_long = state.suspected_weights.borrow_mut().note_shown(shown, now);
    for weights in shown_for_long {
        let since = assumed_since(state);
        suspect_weights(state, Suspicion { weights, since }, "shown by a replica");
    }
}

/// Records weights that may have been named; the gateway that may give orders to replicas tries them.
pub fn suspect_weights(state: &GatewayState, suspicion: Suspicion, reason: &str) {
    let weights = suspicion.weights.clone();
    let newest = state.weights.borrow().newest(&weights.model);
    if newest >= Some(weights.version) {
        return;
    }
    if !state.suspected_weights.borrow_mut().suspect(suspicion) {
        return;
    }
    log_event!(
        gateway::WEIGHTS_SUSPECTED,
        "model={} version={} newest={newest:?} reason={reason:?}",
        weights.model,
        weights.version
    );
    state.peers.announce_changes();
    state.rollout_wanted.notify_one();
}

/// The version that replicas have of a model without any naming. `None` unless all namings are known up to some time: then
/// the first list of a model counts as complete, without skipped versions.
fn first_version(state: &GatewayState) -> Option<u64> {
    let progress = state.store_progress.borrow();
    state
        .known_namings
        .known_until(&progress)
        .map(|_| FIRST_VERSION)
}

/// The oldest version that was named between the newest known one and `listed`; versions increase by one.
fn skipped_version(listed: &ModelVersion, newest: Option<u64>) -> Option<ModelVersion> {
    let version = newest?.checked_add(1)?;
    (version < listed.version).then(|| ModelVersion {
        model: listed.model.clone(),
        version,
    })
}

/// The time from which a version counts that was named at an unknown time after the one up to which all namings are known;
/// `fallback` if there is no such time. That its naming was not seen must not let older weights serve longer.
fn since_last_known(state: &GatewayState, fallback: Since) -> Since {
    let progress = state.store_progress.borrow();
    let known_until = state.known_namings.known_until(&progress);
    known_until.map_or(fallback, Since::Known)
}

/// The time from which listed weights count if no read before their naming is known. They may have been wanted for any length
/// of time, so they count as old, except that a gateway that has just started gets some time to switch to them.
fn assumed_since(state: &GatewayState) -> Since {
    let deadline = state.times.get().weights_deadline;
    // If the store did not answer at first, nothing could be loaded before it did; and a gateway that lists weights late
    // after its start has learned of them from others.
    let now = Instant::now();
    let had_recent_failure = state.store_outage.had_recent_failure(now);
    let listing_possible_for = match had_recent_failure || state.now() > STARTUP_WINDOW {
        true => Duration::ZERO,
        false => state.now(),
    };
    let age = initial_weights_age(deadline, listing_possible_for);
    let assumed = now.checked_sub(age).unwrap_or(now);
    // In a new era of the store, all namings before the last read of the previous era are known: replicas with older
    // weights must not all go out of use at once because the naming itself was not seen.
    let progress = state.store_progress.borrow();
    let known_at = progress.last_read_before_era(state.store_eras.known());
    Since::Assumed(known_at.map_or(assumed, |known_at| assumed.max(known_at)))
}

/// The latest time that is known to precede the change at `position`, if any: changes may be reported late.
fn named_after(state: &GatewayState, position: StorePosition) -> Option<Instant> {
    state.store_progress.borrow().last_read_before(position)
}

/// The age given to weights that are listed for the first time, by a gateway that could have listed them for
/// `listing_possible_for`.
pub fn initial_weights_age(deadline: Duration, listing_possible_for: Duration) -> Duration {
    deadline.saturating_sub(INITIAL_WEIGHTS_GRACE.saturating_sub(listing_possible_for))
}

/// Records weights that are wanted since `since`.
pub fn record_wanted_weights(state: &GatewayState, weights: &ModelVersion, since: Since) {
    let age = since.moment().elapsed();
    let is_newest = state.weights.borrow_mut().add(weights, since);
    state.weights_updated.notify_waiters();
    if !is_newest {
        return;
    }
    let era = state.store_eras.known();
    state
        .suspected_weights
        .borrow_mut()
        .note_known(weights, Instant::now(), era);
    log_event!(
        gateway::WEIGHTS_WANTED,
        "model={} version={} age={age:?} assumed={}",
        weights.model,
        weights.version,
        since.is_assumed()
    );
    state.peers.announce_changes();
    state.rollout_wanted.notify_one();
}
