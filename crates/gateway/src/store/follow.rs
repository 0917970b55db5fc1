//! Follows the objects of one kind: a list, then watches from its revision on.

use std::rc::Rc;
use std::time::{Duration, Instant};

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::client::{StoreError, list_all, watch};
use crate::protocol::{ModelVersion, ObjectContent, ObjectKind, ReplicaEntry, StoredObject};
use crate::rollout::LEASE_NAME;
use crate::state::GatewayState;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// The pause after a call that failed.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(200);

/// How long a daemon that has just started may still use older weights.
const FIRST_WEIGHTS_GRACE: Duration = Duration::from_millis(4500);

/// Follows `kind` for ever. Whenever a watch ends otherwise than by an answer, the list is read anew,
/// since changes may have been missed.
pub async fn run(state: Rc<GatewayState>, kind: ObjectKind) {
    loop {
        match list_all(&state, kind).await {
            Ok((objects, revision)) => {
                take_list(&state, kind, objects);
                let error = watch_from(&state, kind, revision).await;
                log::debug!("watch of {kind:?} ended: {error}");
            }
            Err(error) => log::debug!("list of {kind:?} failed: {error}"),
        }
        tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
    }
}

/// Takes in changes until a watch fails.
async fn watch_from(state: &Rc<GatewayState>, kind: ObjectKind, mut revision: u64) -> StoreError {
    loop {
        match watch(state, kind, revision, WATCH_WAIT).await {
            Ok(page) => {
                for event in page.events {
                    take_event(state, event.object, event.is_deleted);
                }
                revision = revision.max(page.revision);
            }
            Err(error) => return error,
        }
    }
}

fn take_list(state: &GatewayState, kind: ObjectKind, objects: Vec<StoredObject>) {
    if kind == ObjectKind::Leases {
        take_lease_list(state, objects);
        return;
    }
    if kind != ObjectKind::Replicas {
        for object in objects {
            take_event(state, object, false);
        }
        return;
    }
    let mut entries: Vec<ReplicaEntry> = Vec::with_capacity(objects.len());
    for object in objects {
        match object.content {
            Ok(ObjectContent::Replica(entry)) => entries.push(entry),
            Ok(_) => {}
            Err(error) => log_rejected(&object.name, &error),
        }
    }
    state.registry.replace_all(entries);
    note_replicas(state);
}

fn take_event(state: &GatewayState, object: StoredObject, is_deleted: bool) {
    if is_deleted {
        if state.registry.get(&object.name).is_some() {
            state.registry.remove(&object.name);
            note_replicas(state);
        }
        return;
    }
    match object.content {
        Ok(ObjectContent::Configuration(_)) => take_configuration(state, object),
        Ok(ObjectContent::Replica(entry)) => {
            state.registry.put(entry);
            note_replicas(state);
        }
        Ok(ObjectContent::Weights(weights)) => take_weights(state, &weights),
        Ok(ObjectContent::Lease(record)) => {
            let mut lease = state.lease.borrow_mut();
            lease.on_seen(state.now(), object.revision, record);
        }
        Ok(ObjectContent::Daemon(_)) => {}
        Err(error) => log_rejected(&object.name, &error),
    }
}

fn take_lease_list(state: &GatewayState, objects: Vec<StoredObject>) {
    let object = objects.into_iter().find(|object| object.name == LEASE_NAME);
    let known = object.and_then(|object| match object.content {
        Ok(ObjectContent::Lease(record)) => Some((object.revision, record)),
        _ => None,
    });
    state.lease.borrow_mut().on_list(state.now(), known);
}

fn note_replicas(state: &GatewayState) {
    let count = i64::try_from(state.registry.len()).unwrap_or(i64::MAX);
    state.status.metrics.replicas.set(count);
    state.refresh_readiness();
    state.rollout_wanted.notify_one();
}

/// Puts a configuration in force, unless a newer one is.
pub fn take_configuration(state: &GatewayState, object: StoredObject) {
    let configuration = match object.content {
        Ok(ObjectContent::Configuration(configuration)) => configuration,
        Ok(_) => return,
        Err(error) => return log_rejected(&object.name, &error),
    };
    let known = state.configuration.load();
    let is_newer = known
        .as_ref()
        .is_none_or(|known| known.version < configuration.version);
    if !is_newer {
        return;
    }
    log_event!(
        gateway::CONFIGURATION_TAKEN,
        "version={} revision={} before={:?}",
        configuration.version,
        object.revision,
        known.as_ref().map(|known| known.version)
    );
    let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
    state.status.metrics.configuration_version.set(version);
    state.configuration.store(Some((*configuration).into()));
}

/// Takes in wanted weights. What the first list after a start names may be wanted for any time: it counts
/// as old, but for the time in which a daemon that has just started is not yet held to it.
fn take_weights(state: &GatewayState, weights: &ModelVersion) {
    let is_first = state.weights.borrow().newest(&weights.model).is_none();
    let age = match is_first {
        true => state
            .settings
            .times
            .weights_deadline
            .saturating_sub(FIRST_WEIGHTS_GRACE),
        false => Duration::ZERO,
    };
    name_weights(state, weights, age);
}

/// Takes in weights that have been wanted for `age`.
pub fn name_weights(state: &GatewayState, weights: &ModelVersion, age: Duration) {
    let now = Instant::now();
    let since = now.checked_sub(age).unwrap_or(now);
    if !state.weights.borrow_mut().name(weights, since) {
        return;
    }
    log_event!(
        gateway::WEIGHTS_WANTED,
        "model={} version={} age={age:?}",
        weights.model,
        weights.version
    );
    state.rollout_wanted.notify_one();
}

fn log_rejected(name: &str, error: &str) {
    log_event!(gateway::OBJECT_REJECTED, "object={name} error={error:?}");
}
