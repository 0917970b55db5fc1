//! Puts the replica in force: builds the view that the request path reads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_history::{Event, ObservedObject, StorePosition};
use driftspring_replication::{Change, Replica};
use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::{ConfigView, Revision};
use ntex::time::{sleep, timeout};

use crate::state::DaemonState;

/// How long a daemon that has bootstrap objects waits for newer ones before it serves by them.
const BOOTSTRAP_GRACE: Duration = Duration::from_millis(250);
/// The pause after a publication, for each object in force: building a view takes one to two microseconds
/// per object.
const PAUSE_PER_OBJECT: Duration = Duration::from_micros(10);
/// How long a mere rise of `complete_to` waits, for each object in force: it copies the view.
const COMPLETE_TO_PAUSE_PER_OBJECT: Duration = Duration::from_micros(100);

/// Publishes each change until the process ends. Changes that come meanwhile are published together.
pub(super) async fn run(state: Arc<DaemonState>) {
    loop {
        next_publication(&state).await;
        publish(&state);
        sleep(per_object(&state, PAUSE_PER_OBJECT)).await;
    }
}

/// Waits until something is to be published. A mere rise of `complete_to`, as each renewal of a lease
/// brings about, waits for other changes for a while.
async fn next_publication(state: &DaemonState) {
    state.replica.changed().await;
    let deadline = Instant::now() + per_object(state, COMPLETE_TO_PAUSE_PER_OBJECT);
    while state.is_ready() && !state.replica.has_unpublished_records() {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() || timeout(time_left, state.replica.changed()).await.is_err() {
            return;
        }
    }
}

fn per_object(state: &DaemonState, pause: Duration) -> Duration {
    let objects = state.config.load().revisions.len();
    pause.saturating_mul(u32::try_from(objects).unwrap_or(u32::MAX))
}

/// Publishes the bootstrap objects. They are in force at once where nothing newer can be heard of.
pub(super) fn publish_bootstrap(state: &DaemonState) {
    let everything = Change {
        records: true,
        complete_to: true,
    };
    state.replica.update(|_| (everything, ()));
    state
        .replica
        .publish(|replica, _| publish_records(state, replica));
    let settings = &state.settings;
    if settings.seeds.is_empty() && settings.platform.object_store.is_none() {
        state.set_ready();
    }
}

/// Serves by the bootstrap objects once newer ones had time to come.
pub(super) async fn become_ready_in_time(state: Arc<DaemonState>) {
    let bootstrap = &state.settings.bootstrap;
    if bootstrap.tenants.is_empty() && bootstrap.routes.is_empty() {
        return;
    }
    sleep(BOOTSTRAP_GRACE).await;
    state.set_ready();
}

/// Publishes what has changed since the last call.
pub fn publish(state: &DaemonState) {
    let _timer = state.metrics.control.time(ControlSubsystem::Configuration);
    state.replica.publish(|replica, change| {
        if change.records {
            publish_records(state, replica);
        } else {
            publish_complete_to(state, replica.complete_to());
        }
        let is_first = replica.complete_to() > Revision(0) && !state.is_ready();
        if is_first {
            state.set_ready();
        }
    });
}

fn publish_records(state: &DaemonState, replica: &Replica) {
    let (view, rejected) = ConfigView::build(replica.complete_to(), replica.records());
    for key in rejected {
        log_event!(sync::OBJECT_REJECTED, "key={key}");
    }
    record_observations(state, &view);
    log_event!(
        sync::CONFIGURATION_IN_FORCE,
        "complete_to={} objects={}",
        view.complete_to,
        view.revisions.len()
    );
    state.config.store(Arc::new(view));
}

fn publish_complete_to(state: &DaemonState, complete_to: Revision) {
    let mut view = ConfigView::clone(&state.config.load());
    view.complete_to = complete_to;
    state.config.store(Arc::new(view));
}

/// Tells the history which revisions are new in `view`.
fn record_observations(state: &DaemonState, view: &ConfigView) {
    if !state.recorder.is_enabled() {
        return;
    }
    let in_force = state.config.load();
    for (key, revision) in &view.revisions {
        if in_force.revisions.get(key) == Some(revision) {
            continue;
        }
        state.recorder.record(Event::ConfigObserved(ObservedObject {
            daemon: state.settings.id.clone(),
            incarnation: state.incarnation,
            key: key.clone(),
            position: StorePosition::unnamed(*revision),
            version: None,
        }));
    }
}
