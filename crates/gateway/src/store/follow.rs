//! Follows the objects of one kind: a list, then watches from its revision on.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::StorePosition;
use super::client::{StoreError, list_all, list_recent, watch};
use super::copied_entries;
use super::own_entry;
use super::quarantine;
use super::rejections::Rejected;
use crate::configuration::Configuration;
use crate::peers::message::{Change, Item, ItemKey, WireDaemon};
use crate::protocol::{ModelVersion, ObjectContent, ObjectKind, StoredObject};
use crate::rollout::{LEASE_NAME, record_in};
use crate::state::{GatewayState, JUST_STARTED};
use crate::suspected_weights::Suspicion;
use crate::weights::Since;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// The pause between a watch that ended and the next list.
const PAUSE_AFTER_WATCH: Duration = Duration::from_millis(200);

/// The pause between two watches of daemons, which come in crowds and don't matter at once.
const DAEMONS_PAUSE: Duration = Duration::from_millis(600);

/// The pause between two watches of replicas: while new weights are loaded an entry changes every few ten
/// milliseconds, and each watch that returns is paid for. A tenth of the time in which a replica that is
/// leaving may still get requests (`drainMs`, 2 s).
const REPLICAS_PAUSE: Duration = Duration::from_millis(200);

/// The pause between two watches of requests that end replicas: several are held, tried and cleared within seconds, and daemons
/// tell each other of that. Only what an operator releases is heard of so much later.
const QUARANTINE_PAUSE: Duration = Duration::from_millis(600);

/// How long a list waits that may wait: what comes and goes within that time, such as a reader while the store is in trouble,
/// costs no list (457 instead of 484 calls a day, mean of 18 standard days).
const UNHURRIED_PAUSE: Duration = Duration::from_millis(2500);

/// How often a watch looks whether the store has changed without it. With a read of the configuration each
/// 0.9 s, which tells the store's revision, an answer that was lost is asked for again within 1.4 s; a replica
/// that leaves may get requests for 2 s (`drainMs`).
const LOST_ANSWER_LOOK: Duration = Duration::from_millis(500);

/// How much of the time for new weights a daemon has that has just started, whatever their age. It may use older
/// ones until it is in touch, 3 s (`contactMs`) after the start of its process; that lies up to 0.3 s before that
/// of that daemon's clock; and it sends none to them in the last 1.5 s: 3 - 0.3 + 1.5.
const FIRST_WEIGHTS_GRACE: Duration = Duration::from_millis(4200);

/// The version of a model's weights that replicas start with (operator's pages).
const FIRST_VERSION: u64 = 1;

/// Follows `kind` whenever this daemon reads the store for its group. Whenever a watch ends otherwise than
/// by an answer, the list is read anew, since changes may have been missed. So is it after trouble at the store:
/// a watch from before may be deaf. A watch also ends when the store changes its era, see [`super::era`].
pub async fn run(state: Rc<GatewayState>, kind: ObjectKind) {
    if let Some(objects) = first_list(&state, kind).await {
        take_list(&state, kind, objects, StorePosition::default());
    }
    let mut failures = 0;
    let mut listed_in = state.store_eras.changes();
    loop {
        state.peers.until_reader().await;
        let is_of_other_era = state.store_eras.changes() != listed_in;
        if is_unhurried(&state, kind) && !is_of_other_era {
            tokio::time::sleep(UNHURRIED_PAUSE).await;
            if !state.peers.is_reader.get() {
                continue;
            }
        }
        let listing = || list_all(&state, kind);
        let (began, result) = state.store_outage.call(listing).await;
        match result {
            Ok((objects, position)) => {
                failures = 0;
                listed_in = state.store_eras.changes();
                take_list(&state, kind, objects, position);
                note_following(&state, kind, Some(began));
                tokio::select! {
                    error = watch_from(&state, kind, position) => {
                        log::debug!("watch of {kind:?} ended: {error}");
                    }
                    () = state.peers.until_follower() => {}
                    () = state.store_outage.ended() => {}
                }
                note_following(&state, kind, None);
                tokio::time::sleep(PAUSE_AFTER_WATCH).await;
            }
            Err(error) => {
                failures += 1;
                log::debug!("list of {kind:?} failed: {error}");
                let pause = state.store_outage.follower_pause(failures);
                state.store_outage.wait(pause).await;
            }
        }
    }
}

/// Whether a list may wait: daemons tell each other what is quarantined, so one that has run for a while knows it from them.
fn is_unhurried(state: &GatewayState, kind: ObjectKind) -> bool {
    kind == ObjectKind::Quarantine && state.now() > JUST_STARTED
}

/// What is listed at the start of a daemon that was started again, whichever daemon reads the store for the group:
/// callers come to it at once. Its source tells it within half a second what has changed since a recent list of
/// replicas, but weights count from when they were named. In a large group only the few that may read the store list
/// the replicas.
async fn first_list(state: &GatewayState, kind: ObjectKind) -> Option<Vec<StoredObject>> {
    if state.settings.is_first_start {
        return None;
    }
    let listed = match kind {
        ObjectKind::Replicas if !state.peers.wants_first_list().await => return None,
        ObjectKind::Replicas => list_recent(state, kind).await,
        ObjectKind::Weights => list_all(state, kind).await.map(|(objects, _)| objects),
        ObjectKind::Configuration
        | ObjectKind::Leases
        | ObjectKind::Daemons
        | ObjectKind::Quarantine => return None,
    };
    listed
        .inspect_err(|error| log::debug!("first list of {kind:?} failed: {error}"))
        .ok()
}

/// Takes in that this daemon follows `kind` from a list that was read at `listed_at`, or does not any more; the
/// others may rely on what it tells while it follows replicas.
fn note_following(state: &GatewayState, kind: ObjectKind, listed_at: Option<Instant>) {
    if kind != ObjectKind::Replicas {
        return;
    }
    state.peers.follows_replicas.set(listed_at.is_some());
    if let Some(listed_at) = listed_at.filter(|_| state.peers.is_reader.get()) {
        state.peers.prove_view(listed_at);
    }
}

/// Takes in changes until a watch fails.
async fn watch_from(
    state: &Rc<GatewayState>,
    kind: ObjectKind,
    mut position: StorePosition,
) -> StoreError {
    loop {
        let page = tokio::select! {
            page = watch(state, kind, position, WATCH_WAIT) => page,
            () = until_overtaken(state, kind) => continue,
        };
        match page {
            Ok(page) => {
                for event in page.events {
                    take_event(state, kind, event.object, event.is_deleted);
                }
                state.registry_changed();
                position = position.max(page.position);
                if kind == ObjectKind::Weights {
                    state.known_namings.note_read(position);
                }
                if let Some(pause) = pause_between_watches(kind) {
                    tokio::time::sleep(pause).await;
                }
            }
            Err(error) => return error,
        }
    }
}

/// Ends when the answer of a watch that begins now may be lost, since the store has changed without it: an answer can
/// be lost without a call that fails. The change may be one of another kind, so the watch is asked again from where it
/// stood, once for each look. Only for kinds whose changes must be known within a bound, and of which nothing else tells.
async fn until_overtaken(state: &GatewayState, kind: ObjectKind) {
    if !matches!(kind, ObjectKind::Replicas | ObjectKind::Weights) {
        return std::future::pending().await;
    }
    let position = state.store_position.get();
    loop {
        tokio::time::sleep(LOST_ANSWER_LOOK).await;
        if state.store_position.get() > position {
            return;
        }
    }
}

/// How long changes of a kind gather before the next watch asks for them.
fn pause_between_watches(kind: ObjectKind) -> Option<Duration> {
    match kind {
        ObjectKind::Daemons => Some(DAEMONS_PAUSE),
        ObjectKind::Replicas => Some(REPLICAS_PAUSE),
        ObjectKind::Quarantine => Some(QUARANTINE_PAUSE),
        ObjectKind::Configuration | ObjectKind::Weights | ObjectKind::Leases => None,
    }
}

/// Takes in the whole list of objects as it was at `position`.
fn take_list(
    state: &GatewayState,
    kind: ObjectKind,
    objects: Vec<StoredObject>,
    position: StorePosition,
) {
    if kind == ObjectKind::Leases {
        take_lease_list(state, objects);
        return;
    }
    if kind == ObjectKind::Weights {
        take_weights_list(state, objects);
        state.known_namings.note_read(position);
        return;
    }
    if matches!(kind, ObjectKind::Replicas | ObjectKind::Daemons) {
        take_items(state, kind, objects);
        return;
    }
    if kind == ObjectKind::Quarantine {
        quarantine::take_list(state, &objects, position);
    }
    for object in objects {
        take_event(state, kind, object, false);
    }
}

/// Takes in the whole list of replicas or daemons: what is not in it is gone, but for daemons that may have to write their
/// entries again.
pub fn take_items(state: &GatewayState, kind: ObjectKind, objects: Vec<StoredObject>) {
    state.peers.learnt_elsewhere();
    if kind == ObjectKind::Daemons {
        state.peers.note_daemons_known();
    }
    let listed: HashSet<ItemKey> = objects
        .iter()
        .filter(|object| object.content.is_ok())
        .filter_map(|object| item_key(kind, &object.name))
        .collect();
    let is_of_kind =
        |key: &ItemKey| matches!(key, ItemKey::Replica(_)) == (kind == ObjectKind::Replicas);
    let mut known: Vec<ItemKey> = state.peers.log.borrow().items().map(Item::key).collect();
    let held_back = state.gone_lives.borrow().held_back();
    known.extend(held_back.into_iter().map(ItemKey::Replica));
    let is_awaited = |key: &ItemKey| {
        let changed_ago = state.store_eras.changed_ago(Instant::now());
        matches!(key, ItemKey::Daemon(_)) && own_entry::is_awaited(changed_ago)
    };
    let gone = known
        .into_iter()
        .filter(|key| is_of_kind(key) && !listed.contains(key) && !is_awaited(key));
    for key in gone {
        state.apply(Change::Gone(key));
    }
    for object in objects {
        take_event(state, kind, object, false);
    }
    state.registry_changed();
}

/// What replicas and daemons are called among daemons.
fn item_key(kind: ObjectKind, name: &str) -> Option<ItemKey> {
    match kind {
        ObjectKind::Replicas => Some(ItemKey::Replica(name.to_owned())),
        ObjectKind::Daemons => Some(ItemKey::Daemon(name.to_owned())),
        _ => None,
    }
}

fn take_event(state: &GatewayState, kind: ObjectKind, object: StoredObject, is_deleted: bool) {
    if is_deleted {
        if kind == ObjectKind::Quarantine {
            quarantine::take_deleted(state, &object.name);
        }
        if let Some(key) = item_key(kind, &object.name) {
            state.apply(Change::Gone(key));
        }
        return;
    }
    if kind == ObjectKind::Leases {
        if object.name == LEASE_NAME {
            let mut lease = state.lease.borrow_mut();
            lease.on_seen(state.now(), object.position, record_in(&object));
        }
        return note_unreadable(state, kind, &object);
    }
    match object.content {
        Ok(ObjectContent::Configuration(_)) => take_configuration(state, object),
        Ok(ObjectContent::Replica(entry)) => {
            copied_entries::note_written(state, &entry.life.id, object.position);
            state.apply_stored(&entry);
        }
        Ok(ObjectContent::Weights(weights)) => {
            note_stored_weights(state, &weights, object.position);
            // A change of an object whose version is known is no naming.
            let newest = state.weights.borrow().newest(&weights.model);
            if newest >= Some(weights.version) {
                return;
            }
            // When a watch tells of it says nothing: its answer may have been lost before, or have waited for a process
            // that stood still (8.5 s after a naming requests began on older weights, where 7 s are allowed).
            let since = named_after(state, object.position);
            let since = since.unwrap_or_else(Instant::now);
            name_weights(state, &weights, Since::Known(since));
        }
        Ok(ObjectContent::Lease(_)) => {}
        Ok(ObjectContent::Daemon(daemon)) => {
            state.apply(Change::Put(Item::Daemon(WireDaemon::from(&daemon))));
        }
        Ok(ObjectContent::Quarantine(record)) => {
            quarantine::take_record(state, &object.name, object.position, record);
        }
        Err(_) => {
            note_unreadable(state, kind, &object);
            // Whatever its name meant before, it names no replica and no daemon now.
            if let Some(key) = item_key(kind, &object.name) {
                state.apply(Change::Gone(key));
            }
        }
    }
}

fn take_lease_list(state: &GatewayState, objects: Vec<StoredObject>) {
    let lease = objects.iter().find(|object| object.name == LEASE_NAME);
    let known = lease.map(|object| (object.position, record_in(object)));
    state.lease.borrow_mut().on_list(state.now(), known);
    for object in &objects {
        note_unreadable(state, ObjectKind::Leases, object);
    }
}

/// Puts a configuration in force, unless a newer one is.
pub fn take_configuration(state: &GatewayState, object: StoredObject) {
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

/// Takes in a configuration that the daemon `holder` handed on, unless it is no newer than the one in force.
pub fn take_handed_configuration(state: &GatewayState, configuration: Configuration, holder: &str) {
    let before = state.held_version();
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
    state.configuration.store(Some(configuration.into()));
    state.peers.nudge();
}

/// Takes in a list of wanted weights.
fn take_weights_list(state: &GatewayState, objects: Vec<StoredObject>) {
    let unknown = listed_weights_since(state);
    for object in objects {
        note_unreadable(state, ObjectKind::Weights, &object);
        if let Ok(ObjectContent::Weights(weights)) = object.content {
            let newest = state.weights.borrow().newest(&weights.model);
            let may_hide = state.suspected_weights.borrow().may_hide_a_naming(
                &weights,
                newest,
                object.position,
                named_after(state, object.position),
            );
            note_stored_weights(state, &weights, object.position);
            if may_hide {
                let known = weights.version.max(newest.unwrap_or(0));
                suspect_next_weights(state, &weights.model, known, "hidden by a later write");
            }
            // An object that is written again, as after the store's return from a copy, is no naming: it must not make a
            // version younger whose age was assumed.
            if newest >= Some(weights.version) {
                continue;
            }
            let known = named_after(state, object.position).map(Since::Known);
            name_weights(state, &weights, known.unwrap_or(unknown));
            if let Some(passed_over) = passed_over(&weights, newest.or(first_version(state))) {
                name_weights(state, &passed_over, since_last_known(state, unknown));
            }
        }
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
    let since = since_last_known(state, listed_weights_since(state));
    let weights = ModelVersion { model, version };
    suspect_weights(state, Suspicion { weights, since }, reason);
}

/// Takes in versions above those known that entries of replicas show, of each model the lowest.
pub fn note_shown_weights(state: &GatewayState, shown: &HashMap<String, u64>) {
    let now = Instant::now();
    let shown_for_long = state.suspected_weights.borrow_mut().note_shown(shown, now);
    for weights in shown_for_long {
        let since = listed_weights_since(state);
        suspect_weights(state, Suspicion { weights, since }, "shown by a replica");
    }
}

/// Takes in weights that may have been named; whoever may order replicas tries them.
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
fn passed_over(listed: &ModelVersion, newest: Option<u64>) -> Option<ModelVersion> {
    let version = newest?.checked_add(1)?;
    (version < listed.version).then(|| ModelVersion {
        model: listed.model.clone(),
        version,
    })
}

/// Since when a version counts that was named at an unknown moment after all namings had been known, as far as that is
/// known: weights that it follows must not serve longer since its own naming was not seen.
fn since_last_known(state: &GatewayState, unknown: Since) -> Since {
    let progress = state.store_progress.borrow();
    let known_until = state.known_namings.until(&progress);
    known_until.map_or(unknown, Since::Known)
}

/// Since when weights count that are listed and of which no read before their naming is known. They may be wanted
/// for any time: they count as old, but for the time in which a daemon that has just started is not yet held to
/// them.
fn listed_weights_since(state: &GatewayState) -> Since {
    let deadline = state.times.get().weights_deadline;
    // Where the store did not answer at first, nobody could load anything before it did; and a daemon that lists
    // them late in its life has known of weights from others.
    let now = Instant::now();
    let was_in_trouble = state.store_outage.was_lately(now);
    let listing_possible_for = match was_in_trouble || state.now() > JUST_STARTED {
        true => Duration::ZERO,
        false => state.now(),
    };
    let age = first_weights_age(deadline, listing_possible_for);
    let assumed = now.checked_sub(age).unwrap_or(now);
    // In a new era of the store, what was named before the last read of the era before is known: replicas with older weights
    // must not all go out of use at once because the naming itself was not seen.
    let progress = state.store_progress.borrow();
    let known_at = progress.last_before(state.store_eras.known());
    Since::Assumed(known_at.map_or(assumed, |known_at| assumed.max(known_at)))
}

/// The moment after which an object got its position, as far as that is known: they may be heard of late.
fn named_after(state: &GatewayState, position: StorePosition) -> Option<Instant> {
    state.store_progress.borrow().not_before(position)
}

/// The age at which weights count that are listed for the first time, by a daemon that could have listed them
/// `since` so long.
pub fn first_weights_age(deadline: Duration, since: Duration) -> Duration {
    deadline.saturating_sub(FIRST_WEIGHTS_GRACE.saturating_sub(since))
}

/// Takes in weights that are wanted since `since`.
pub fn name_weights(state: &GatewayState, weights: &ModelVersion, since: Since) {
    let age = since.moment().elapsed();
    let is_newest = state.weights.borrow_mut().name(weights, since);
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

fn note_unreadable(state: &GatewayState, kind: ObjectKind, object: &StoredObject) {
    if let Err(unreadable) = &object.content {
        let (kind, metrics) = (Rejected::Object(kind), &state.status.metrics);
        let rejections = &state.rejections;
        rejections.note(kind, &object.name, unreadable, metrics);
    }
}
