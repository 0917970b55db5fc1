//! Follows the store objects of one kind: lists them, then watches for changes after the list's revision.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::StorePosition;
use super::client::{StoreError, list_all, list_recent, watch};
use super::copied_entries;
use super::follow_weights;
use super::own_entry;
use super::quarantine;
use super::rejections::Rejected;
use crate::configuration::Configuration;
use crate::peers::message::{Change, Item, ItemKey, WireDaemon};
use crate::protocol::{ObjectContent, ObjectKind, StoredObject};
use crate::rollout::{LEASE_NAME, lease_record};
use crate::state::{GatewayState, STARTUP_WINDOW};

/// How long a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay between the end of a watch and the next list.
const RELIST_DELAY: Duration = Duration::from_millis(200);

/// Delay between two watches of gateways: their changes come in bursts and are not urgent.
const DAEMONS_WATCH_DELAY: Duration = Duration::from_millis(600);

/// Delay between two watches of replicas: while new weights are loaded, an entry changes every few tens of milliseconds, and
/// each answered watch is charged for. This is a tenth of the time in which a draining replica may still get requests
/// (`drainMs`, 2 s).
const REPLICAS_WATCH_DELAY: Duration = Duration::from_millis(200);

/// Delay between two watches of quarantined requests: several may be held, tried and cleared within seconds, and gateways
/// notify each other of that. Only a release by an operator is learned this much later.
const QUARANTINE_WATCH_DELAY: Duration = Duration::from_millis(600);

/// Delay before a list that is not urgent: a reader that is replaced within that time, as happens during trouble at the store,
/// makes no list (457 instead of 484 calls a day, mean of 18 standard days).
const DEFERRED_LIST_DELAY: Duration = Duration::from_millis(2500);

/// Interval at which a pending watch checks whether the store has advanced without an answer to it. Reads of the
/// configuration, each 0.9 s, return the store's revision, so a watch whose answer was lost is repeated within 1.4 s; a
/// draining replica may get requests for 2 s (`drainMs`).
const LOST_ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows `kind` whenever this gateway reads the store for its group. When a watch ends without an answer, the objects are
/// listed again, since changes may have been missed. The same happens after an outage of the store, because a watch from
/// before may never be answered. A watch also ends when the store changes its era, see [`super::era`].
pub async fn run(state: Rc<GatewayState>, kind: ObjectKind) {
    if let Some(objects) = first_list(&state, kind).await {
        apply_list(&state, kind, objects, StorePosition::default());
    }
    let mut failures = 0;
    let mut changes_at_list = state.store_eras.changes();
    loop {
        state.peers.wait_until_reader().await;
        let has_era_changed = state.store_eras.changes() != changes_at_list;
        if is_list_deferrable(&state, kind) && !has_era_changed {
            tokio::time::sleep(DEFERRED_LIST_DELAY).await;
            if !state.peers.is_reader.get() {
                continue;
            }
        }
        let listing = || list_all(&state, kind);
        let (started_at, result) = state.store_outage.call(listing).await;
        match result {
            Ok((objects, position)) => {
                failures = 0;
                changes_at_list = state.store_eras.changes();
                apply_list(&state, kind, objects, position);
                note_following(&state, kind, Some(started_at));
                tokio::select! {
                    error = watch_from(&state, kind, position) => {
                        log::debug!("watch of {kind:?} ended: {error}");
                    }
                    () = state.peers.wait_until_follower() => {}
                    () = state.store_outage.ended() => {}
                }
                note_following(&state, kind, None);
                tokio::time::sleep(RELIST_DELAY).await;
            }
            Err(error) => {
                failures += 1;
                log::debug!("list of {kind:?} failed: {error}");
                let pause = state.store_outage.follower_backoff(failures);
                state.store_outage.wait(pause).await;
            }
        }
    }
}

/// Whether a list is not urgent: gateways tell each other what is quarantined, so one that has run for a while knows it from
/// the others.
fn is_list_deferrable(state: &GatewayState, kind: ObjectKind) -> bool {
    kind == ObjectKind::Quarantine && state.now() > STARTUP_WINDOW
}

/// The list that a restarted gateway reads at its start, whichever gateway reads the store for the group, since callers use it
/// at once. Replicas are listed from data that may be seconds old, since the gateway's source reports later changes within
/// half a second; weights are listed from current data, since their deadlines count from the time they were named. In a large
/// group only the few gateways that may read the store list the replicas.
async fn first_list(state: &GatewayState, kind: ObjectKind) -> Option<Vec<StoredObject>> {
    if state.settings.is_first_start {
        return None;
    }
    let listed = match kind {
        ObjectKind::Replicas if !state.peers.must_list_at_start().await => return None,
        ObjectKind::Replicas => list_recent(state, kind).await,
        ObjectKind::Weights => list_all(state, kind).await.map(|(objects, _)| objects),
        ObjectKind::Configuration
        | ObjectKind::Leases
        | ObjectKind::Daemons
        | ObjectKind::Quarantine
        | ObjectKind::SoftwareVersions => return None,
    };
    listed
        .inspect_err(|error| log::debug!("first list of {kind:?} failed: {error}"))
        .ok()
}

/// Records that this gateway follows `kind` from a list read at `listed_at`, or no longer follows it (`None`). Other gateways
/// may rely on its view while it follows replicas.
fn note_following(state: &GatewayState, kind: ObjectKind, listed_at: Option<Instant>) {
    if kind != ObjectKind::Replicas {
        return;
    }
    state.peers.follows_replicas.set(listed_at.is_some());
    if let Some(listed_at) = listed_at.filter(|_| state.peers.is_reader.get()) {
        state.peers.prove_view(listed_at);
    }
}

/// Watches from `position` and applies changes until a watch fails; returns the error.
async fn watch_from(
    state: &Rc<GatewayState>,
    kind: ObjectKind,
    mut position: StorePosition,
) -> StoreError {
    loop {
        let page = tokio::select! {
            page = watch(state, kind, position, WATCH_TIMEOUT) => page,
            () = until_store_advances(state, kind) => continue,
        };
        match page {
            Ok(page) => {
                for event in page.events {
                    apply_event(state, kind, event.object, event.is_deleted);
                }
                state.publish_changes();
                position = position.max(page.position);
                if kind == ObjectKind::Weights {
                    state.known_namings.note_read(position);
                }
                if let Some(pause) = watch_delay(kind) {
                    tokio::time::sleep(pause).await;
                }
            }
            Err(error) => return error,
        }
    }
}

/// Waits until the store has advanced although a watch that starts now was not answered: its answer may be lost without a
/// failed call. The change may be one of another kind, so the watch is repeated from the same position, at most once per
/// check. Waits forever for kinds whose changes need not be known within a bound, or are also reported in another way.
async fn until_store_advances(state: &GatewayState, kind: ObjectKind) {
    if !matches!(kind, ObjectKind::Replicas | ObjectKind::Weights) {
        return std::future::pending().await;
    }
    let position = state.store_position.get();
    loop {
        tokio::time::sleep(LOST_ANSWER_CHECK_INTERVAL).await;
        if state.store_position.get() > position {
            return;
        }
    }
}

/// How long changes of a kind accumulate before the next watch.
fn watch_delay(kind: ObjectKind) -> Option<Duration> {
    match kind {
        ObjectKind::Daemons => Some(DAEMONS_WATCH_DELAY),
        ObjectKind::Replicas => Some(REPLICAS_WATCH_DELAY),
        ObjectKind::Quarantine => Some(QUARANTINE_WATCH_DELAY),
        ObjectKind::Configuration
        | ObjectKind::Weights
        | ObjectKind::Leases
        | ObjectKind::SoftwareVersions => None,
    }
}

/// Applies a complete list of objects as of `position`.
fn apply_list(
    state: &GatewayState,
    kind: ObjectKind,
    objects: Vec<StoredObject>,
    position: StorePosition,
) {
    if kind == ObjectKind::Leases {
        apply_lease_list(state, objects);
        return;
    }
    if kind == ObjectKind::Weights {
        follow_weights::apply_list(state, objects);
        state.known_namings.note_read(position);
        return;
    }
    if matches!(kind, ObjectKind::Replicas | ObjectKind::Daemons) {
        apply_item_list(state, kind, objects);
        return;
    }
    if kind == ObjectKind::Quarantine {
        quarantine::apply_list(state, &objects, position);
    }
    for object in objects {
        apply_event(state, kind, object, false);
    }
}

/// Applies a complete list of replicas or gateways: those missing from it are gone, except gateways that may still have to
/// rewrite their entries.
pub fn apply_item_list(state: &GatewayState, kind: ObjectKind, objects: Vec<StoredObject>) {
    state.peers.reset_followed_log();
    if kind == ObjectKind::Daemons {
        state.peers.set_daemons_known();
    }
    let listed: HashSet<ItemKey> = objects
        .iter()
        .filter(|object| object.content.is_ok())
        .filter_map(|object| item_key(kind, &object.name))
        .collect();
    let is_of_kind =
        |key: &ItemKey| matches!(key, ItemKey::Replica(_)) == (kind == ObjectKind::Replicas);
    let mut known: Vec<ItemKey> = state.peers.log.borrow().items().map(Item::key).collect();
    let held_back = state.removed_incarnations.borrow().held_back();
    known.extend(held_back.into_iter().map(ItemKey::Replica));
    let is_missing_entry_tolerated = |key: &ItemKey| {
        let changed_ago = state.store_eras.changed_ago(Instant::now());
        matches!(key, ItemKey::Daemon(_)) && own_entry::is_missing_entry_tolerated(changed_ago)
    };
    let gone = known
        .into_iter()
        .filter(|key| is_of_kind(key) && !listed.contains(key) && !is_missing_entry_tolerated(key));
    for key in gone {
        state.apply(Change::Removed(key));
    }
    for object in objects {
        apply_event(state, kind, object, false);
    }
    state.publish_changes();
}

/// The key under which gateways exchange a replica or gateway; `None` for other kinds.
fn item_key(kind: ObjectKind, name: &str) -> Option<ItemKey> {
    match kind {
        ObjectKind::Replicas => Some(ItemKey::Replica(name.to_owned())),
        ObjectKind::Daemons => Some(ItemKey::Daemon(name.to_owned())),
        _ => None,
    }
}

fn apply_event(state: &GatewayState, kind: ObjectKind, object: StoredObject, is_deleted: bool) {
    if is_deleted {
        if kind == ObjectKind::Quarantine {
            quarantine::apply_deletion(state, &object.name);
        }
        if let Some(key) = item_key(kind, &object.name) {
            state.apply(Change::Removed(key));
        }
        return;
    }
    if kind == ObjectKind::Leases {
        if object.name == LEASE_NAME {
            let mut lease = state.lease.borrow_mut();
            lease.on_seen(state.now(), object.position, lease_record(&object));
        }
        return note_unreadable(state, kind, &object);
    }
    match object.content {
        Ok(ObjectContent::Configuration(_)) => apply_configuration(state, object),
        Ok(ObjectContent::Replica(entry)) => {
            copied_entries::note_written(state, &entry.incarnation.id, object.position);
            state.apply_stored_entry(&entry);
        }
        Ok(ObjectContent::Weights(weights)) => {
            follow_weights::apply_written(state, &weights, object.position);
        }
        Ok(ObjectContent::Lease(_) | ObjectContent::SoftwareVersions(_)) => {}
        Ok(ObjectContent::Daemon(daemon)) => {
            state.apply(Change::Put(Item::Daemon(WireDaemon::from(&daemon))));
        }
        Ok(ObjectContent::Quarantine(record)) => {
            quarantine::apply_record(state, &object.name, object.position, record);
        }
        Err(_) => {
            note_unreadable(state, kind, &object);
            // Whatever entry this name had before, it is no valid replica or gateway now.
            if let Some(key) = item_key(kind, &object.name) {
                state.apply(Change::Removed(key));
            }
        }
    }
}

fn apply_lease_list(state: &GatewayState, objects: Vec<StoredObject>) {
    let lease = objects.iter().find(|object| object.name == LEASE_NAME);
    let known = lease.map(|object| (object.position, lease_record(object)));
    state.lease.borrow_mut().on_list(state.now(), known);
    for object in &objects {
        note_unreadable(state, ObjectKind::Leases, object);
    }
}

/// Puts a configuration in force if it is newer than the current one.
pub fn apply_configuration(state: &GatewayState, object: StoredObject) {
    let configuration = match object.content {
        Ok(ObjectContent::Configuration(configuration)) => configuration,
        Ok(_) => return,
        Err(_) => return note_unreadable(state, ObjectKind::Configuration, &object),
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
        "version={} position={} before={:?}",
        configuration.version,
        object.position,
        known.as_ref().map(|known| known.version)
    );
    state.configuration_position.set(object.position);
    put_in_force(state, *configuration);
}

/// Puts a configuration in force that the gateway `holder` handed on, if it is newer than the current one.
pub fn apply_handed_on_configuration(
    state: &GatewayState,
    configuration: Configuration,
    holder: &str,
) {
    let before = state.configuration_version();
    if configuration.version <= before {
        return;
    }
    log_event!(
        gateway::CONFIGURATION_HANDED_ON,
        "version={} before={before} holder={holder}",
        configuration.version
    );
    state.status.metrics.configurations_handed_on.inc();
    state.configuration_position.set(StorePosition::default());
    put_in_force(state, configuration);
}

fn put_in_force(state: &GatewayState, configuration: Configuration) {
    let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
    state.status.metrics.configuration_version.set(version);
    state.status.metrics.configuration_unconfirmed.set(0);
    state
        .quotas
        .set_tenants(configuration.tenants(), Instant::now());
    state.shares.set_tenants(configuration.tenants());
    state.configuration.store(Some(configuration.into()));
    state.peers.announce_changes();
}

pub(super) fn note_unreadable(state: &GatewayState, kind: ObjectKind, object: &StoredObject) {
    if let Err(unreadable) = &object.content {
        let (kind, metrics) = (Rejected::Object(kind), &state.status.metrics);
        let rejections = &state.rejections;
        rejections.note(kind, &object.name, unreadable, metrics);
    }
}
