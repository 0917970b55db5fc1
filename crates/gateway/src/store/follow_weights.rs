//! Takes in the objects that name the weights of models.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::StorePosition;
use super::follow::note_unreadable;
use crate::protocol::{ModelVersion, ObjectContent, ObjectKind, StoredObject};
use crate::state::{GatewayState, JUST_STARTED};
use crate::suspected_weights::Suspicion;
use crate::weights::Since;

/// How much of the time for new weights a daemon has that has just started, whatever their age. It may use older
/// ones until it is in touch, 3 s (`contactMs`) after the start of its process; that lies up to 0.3 s before that
/// of that daemon's clock; and it sends none to them in the last 1.5 s: 3 - 0.3 + 1.5.
const INITIAL_WEIGHTS_GRACE: Duration = Duration::from_millis(4200);

/// The version of a model's weights that replicas start with (operator's pages).
const FIRST_VERSION: u64 = 1;

/// Takes in an object as a watch tells of it.
pub(super) fn apply_written(state: &GatewayState, weights: &ModelVersion, position: StorePosition) {
    note_stored_weights(state, weights, position);
    // A change of an object whose version is known is no naming.
    let newest = state.weights.borrow().newest(&weights.model);
    if newest >= Some(weights.version) {
        return;
    }
    // When a watch tells of it says nothing: its answer may have been lost before, or have waited for a process
    // that stood still (8.5 s after a naming requests began on older weights, where 7 s are allowed).
    let since = named_after(state, position);
    let since = since.unwrap_or_else(Instant::now);
    name_weights(state, weights, Since::Known(since));
}

/// Takes in a list of wanted weights.
pub(super) fn apply_list(state: &GatewayState, objects: Vec<StoredObject>) {
    let fallback = assumed_since(state);
    for object in objects {
        note_unreadable(state, ObjectKind::Weights, &object);
        if let Ok(ObjectContent::Weights(weights)) = object.content {
            apply_listed(state, &weights, object.position, fallback);
        }
    }
}

/// Takes in an object as a list shows it; `fallback` is since when weights count of whose naming nothing is known.
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
            .may_hide_a_naming(weights, newest, position, named_after);
    note_stored_weights(state, weights, position);
    if may_hide {
        let known = weights.version.max(newest.unwrap_or(0));
        suspect_next_weights(state, &weights.model, known, "hidden by a later write");
    }
    // An object that is written again, as after the store's return from a copy, is no naming: it must not make a
    // version younger whose age was assumed.
    if newest >= Some(weights.version) {
        return;
    }
    name_weights(state, weights, named_after.map_or(fallback, Since::Known));
    if let Some(skipped_version) = skipped_version(weights, newest.or(first_version(state))) {
        name_weights(state, &skipped_version, since_last_known(state, fallback));
    }
}

/// Takes in the object of a model's weights: where the version that is known was written again, the one after it may have
/// stood there in between.
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

/// Takes in that the version after `known` may have been named since all namings were last known: versions count up by one.
fn suspect_next_weights(state: &GatewayState, model: &str, known: u64, reason: &str) {
    let Some(version) = known.checked_add(1) else {
        return;
    };
    let model = model.to_owned();
    let since = since_last_known(state, assumed_since(state));
    let weights = ModelVersion { model, version };
    suspect_weights(state, Suspicion { weights, since }, reason);
}

/// Takes in versions above those known that entries of replicas show, of each model the lowest.
pub fn note_shown_weights(state: &GatewayState, shown: &HashMap<String, u64>) {
    let now = Instant::now();
    let shown_for_long = state.suspected_weights.borrow_mut().note_shown(shown, now);
    for weights in shown_for_long {
        let since = assumed_since(state);
        suspect_weights(state, Suspicion { weights, since }, "shown by a replica");
    }
}

/// Takes in weights that may have been named; the daemon that may order replicas tries them.
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
    state.peers.nudge();
    state.rollout_wanted.notify_one();
}

/// The version that replicas have of a model of which nothing is named, as far as all namings are known: none was passed over
/// at the first list.
fn first_version(state: &GatewayState) -> Option<u64> {
    let progress = state.store_progress.borrow();
    state.known_namings.until(&progress).map(|_| FIRST_VERSION)
}

/// The oldest version that was named between the newest one that is known and `listed`: versions count up by one.
fn skipped_version(listed: &ModelVersion, newest: Option<u64>) -> Option<ModelVersion> {
    let version = newest?.checked_add(1)?;
    (version < listed.version).then(|| ModelVersion {
        model: listed.model.clone(),
        version,
    })
}

/// Since when a version counts that was named at an fallback moment after all namings had been known, as far as that is
/// known: weights that it follows must not serve longer since its own naming was not seen.
fn since_last_known(state: &GatewayState, fallback: Since) -> Since {
    let progress = state.store_progress.borrow();
    let known_until = state.known_namings.until(&progress);
    known_until.map_or(fallback, Since::Known)
}

/// Since when weights count that are listed and of which no read before their naming is known. They may be wanted
/// for any time: they count as old, but for the time in which a daemon that has just started is not yet held to
/// them.
fn assumed_since(state: &GatewayState) -> Since {
    let deadline = state.times.get().weights_deadline;
    // Where the store did not answer at first, nobody could load anything before it did; and a daemon that lists
    // them late in its life has known of weights from others.
    let now = Instant::now();
    let was_in_trouble = state.store_outage.had_recent_failure(now);
    let listing_possible_for = match was_in_trouble || state.now() > JUST_STARTED {
        true => Duration::ZERO,
        false => state.now(),
    };
    let age = initial_weights_age(deadline, listing_possible_for);
    let assumed = now.checked_sub(age).unwrap_or(now);
    // In a new era of the store, what was named before the last read of the era before is known: replicas with older weights
    // must not all go out of use at once because the naming itself was not seen.
    let progress = state.store_progress.borrow();
    let known_at = progress.last_read_before_era(state.store_eras.known());
    Since::Assumed(known_at.map_or(assumed, |known_at| assumed.max(known_at)))
}

/// The moment after which an object got its position, as far as that is known: they may be heard of late.
fn named_after(state: &GatewayState, position: StorePosition) -> Option<Instant> {
    state.store_progress.borrow().last_read_before(position)
}

/// The age at which weights count that are listed for the first time, by a daemon that could have listed them
/// `since` so long.
pub fn initial_weights_age(deadline: Duration, since: Duration) -> Duration {
    deadline.saturating_sub(INITIAL_WEIGHTS_GRACE.saturating_sub(since))
}

/// Takes in weights that are wanted since `since`.
pub fn name_weights(state: &GatewayState, weights: &ModelVersion, since: Since) {
    let age = since.moment().elapsed();
    let is_newest = state.weights.borrow_mut().add(weights, since);
    state.weights_named.notify_waiters();
    if !is_newest {
        return;
    }
    let era = state.store_eras.known();
    state
        .suspected_weights
        .borrow_mut()
        .note_heard(weights, Instant::now(), era);
    log_event!(
        gateway::WEIGHTS_WANTED,
        "model={} version={} age={age:?} assumed={}",
        weights.model,
        weights.version,
        since.is_assumed()
    );
    state.peers.nudge();
    state.rollout_wanted.notify_one();
}
