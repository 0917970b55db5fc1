//! The watch of the object store, held by the readers of each zone only.

use std::sync::Arc;
use std::time::Duration;

use driftspring_external::ServiceTimeouts;
use driftspring_external::object_store::{ObjectStore, WatchItem, WatchStream};
use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use driftspring_types::{Peer, Revision, Step, StepError};
use ntex::rt::spawn;
use ntex::time::{sleep, timeout};

use super::duties::{is_alone, is_zone_reader};
use crate::state::DaemonState;

/// How often a daemon that is no reader looks whether it has become one, on average.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a daemon that has seeds waits at the start, on average, before it reads the store by
/// itself: in a herd start most daemons meet others, and configuration, in this time.
const ALONE_PATIENCE: Duration = Duration::from_secs(1);
/// The longest silence of a watch; bookmarks come every second.
const WATCH_SILENCE: Duration = Duration::from_secs(4);
/// The first and the longest pause after a failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Starts the task on the current ntex system, where there is a store.
pub fn spawn_all(state: &Arc<DaemonState>) {
    spawn(run(Arc::clone(state)));
}

async fn run(state: Arc<DaemonState>) {
    let Some(address) = state.settings.platform.object_store else {
        return;
    };
    let store = match ObjectStore::new(address, ServiceTimeouts::default()).await {
        Ok(store) => store,
        Err(error) => {
            log_event!(sync::STORE_UNREACHABLE, "error={error:#}");
            return;
        }
    };
    if !state.settings.seeds.is_empty() {
        wait_for_members(&state).await;
    }
    let mut failures = 0;
    while !state.is_terminated() {
        if !is_zone_reader(&state) {
            sleep(jittered(READER_CHECK_INTERVAL)).await;
            continue;
        }
        match read(&state, &store, &mut failures).await {
            Ok(()) => failures = 0,
            Err(error) => {
                log_event!(sync::STORE_UNREACHABLE, "failures={failures} error={error}");
                sleep(backoff(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Waits until another member is known, for about [`ALONE_PATIENCE`] at the most.
async fn wait_for_members(state: &DaemonState) {
    const CHECKS: u32 = 10;
    let pause = jittered(ALONE_PATIENCE) / CHECKS;
    for _ in 0..CHECKS {
        if !is_alone(state, &state.members.load()) {
            return;
        }
        sleep(pause).await;
    }
}

fn knows_anything(state: &DaemonState) -> bool {
    state.replica.read(|replica| replica.complete_to()) > Revision(0)
}

/// Watches, after a list where nothing is known yet, for as long as this daemon is a reader.
async fn read(
    state: &DaemonState,
    store: &ObjectStore,
    failures: &mut u32,
) -> Result<(), StepError> {
    if !knows_anything(state) {
        list(state, store).await?;
    }
    let mut cursor = state.replica.read(|replica| replica.begin_watch());
    let mut watch = store.watch(cursor.from()).await?;
    if watch.is_compacted() {
        return list(state, store).await;
    }
    *failures = 0;
    log_event!(sync::STORE_WATCHED, "from={}", cursor.from());
    while is_zone_reader(state) {
        let Some(item) = next_item(&mut watch).await? else {
            return Ok(());
        };
        state.replica.update(|replica| {
            let change = match item {
                WatchItem::Change(record) => replica.apply_watch_event(&mut cursor, record),
                WatchItem::Bookmark(revision) => replica.apply_bookmark(&mut cursor, revision),
            };
            (change, ())
        });
    }
    Ok(())
}

async fn list(state: &DaemonState, store: &ObjectStore) -> Result<(), StepError> {
    let list = store.list("").await?;
    let records = list.objects.into_iter().map(|object| object.into_record());
    let records = records.collect();
    state
        .replica
        .update(|replica| (replica.apply_list(list.revision, records), ()));
    state.set_ready();
    Ok(())
}

async fn next_item(watch: &mut WatchStream) -> Result<Option<WatchItem>, StepError> {
    match timeout(WATCH_SILENCE, watch.next()).await {
        Ok(item) => item,
        Err(()) => {
            let cause = anyhow::anyhow!("no change and no bookmark for {WATCH_SILENCE:?}");
            Err(StepError::not_run(Step::Watch, Peer::ObjectStore, cause))
        }
    }
}

/// Between half and one and a half of `duration`, so that daemons do not act in step.
fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(rand::random_range(0.5..1.5))
}

fn backoff(failures: u32) -> Duration {
    let (first, longest) = BACKOFF;
    jittered(first.saturating_mul(1 << failures.min(10)).min(longest))
}
