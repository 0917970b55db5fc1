//! Reads and writes the records of software versions in use, so that they survive the restart of every gateway.
//!
//! The records are not watched: a gateway reads them after its start when it begins a stream that may be resumed, when one is
//! taken up whose origin can't be found otherwise, and before it writes one.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::client::{list_all, list_recent, write};
use super::follow::note_unreadable;
use crate::protocol::{ObjectContent, ObjectKind, StoredObject, WriteAnswer};
use crate::quarantine::{WRITE_TURN, is_write_turn};
use crate::state::GatewayState;
use crate::stream_versions::stored::StoredRecord;
use crate::stream_versions::{is_view_current, service_digest, writer_rank};

/// Delay after a failed write before the next one of the same record.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Interval of the check for versions that are no longer in use, and for knowledge that has become complete.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// How long after its start a gateway writes nothing: by then it knows the other gateways, and so whose turn it is.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Reads the records whenever that is wanted, until the process ends.
pub(super) async fn serve_reads(state: Rc<GatewayState>) {
    loop {
        tokio::select! {
            () = state.streams.read_wanted.notified() => {
                read_newest(&state).await;
            }
            () = state.streams.recent_read_wanted.notified() => read_recent(&state).await,
        }
    }
}

/// Learns the versions from records that may be seconds old, which prove nothing of later ones.
async fn read_recent(state: &GatewayState) {
    let read_at = Instant::now();
    match list_recent(state, ObjectKind::SoftwareVersions).await {
        Ok(objects) => apply(state, &objects, false, read_at),
        Err(error) => log::debug!("recent list of software versions failed: {error}"),
    }
}

/// Reads the newest records; returns whether the store answered.
async fn read_newest(state: &GatewayState) -> bool {
    let read_at = Instant::now();
    let result = list_all(state, ObjectKind::SoftwareVersions).await;
    match &result {
        Ok((objects, _)) => apply(state, objects, true, read_at),
        Err(error) => log::debug!("list of software versions failed: {error}"),
    }
    state.streams.note_read(read_at, result.is_ok());
    result.is_ok()
}

fn apply(state: &GatewayState, objects: &[StoredObject], is_proof: bool, read_at: Instant) {
    let mut records = HashMap::new();
    for object in objects {
        note_unreadable(state, ObjectKind::SoftwareVersions, object);
        let record = match &object.content {
            Ok(ObjectContent::SoftwareVersions(record)) => Some(record.clone()),
            Ok(_) | Err(_) => None,
        };
        let stored = StoredRecord {
            record,
            position: object.position,
        };
        records.insert(service_digest(&object.name), stored);
    }
    state
        .streams
        .apply_stored(records, is_proof, state, read_at);
}

/// A service whose record is not up to date.
#[derive(Debug, Clone, Copy)]
struct Unstored {
    since: Duration,
    next_attempt: Duration,
}

/// Writes the records that are not up to date, until the process ends.
pub(super) async fn write_records(state: Rc<GatewayState>) {
    let mut unstored: HashMap<String, Unstored> = HashMap::new();
    let mut pause = SETTLING_TIME;
    loop {
        // Ends early when versions have changed.
        let _ = tokio::time::timeout(pause, state.streams.versions_changed.notified()).await;
        for service in due_services(&state, &mut unstored) {
            let is_stored = store(&state, &service).await;
            if let Some(unstored) = unstored.get_mut(&service).filter(|_| !is_stored) {
                unstored.next_attempt = state.now() + WRITE_RETRY_DELAY;
            }
        }
        pause = match unstored.is_empty() {
            true => IDLE_INTERVAL,
            false => WRITE_TURN,
        };
    }
}

/// Updates the list of services whose records are not up to date; returns those that it is this gateway's turn to write.
fn due_services(state: &GatewayState, unstored: &mut HashMap<String, Unstored>) -> Vec<String> {
    let now = state.now();
    let outdated = outdated_services(state);
    unstored.retain(|service, _| outdated.contains(service));
    let mut due = Vec::new();
    let is_settled = now >= SETTLING_TIME && state.peers.are_daemons_known();
    let directory = state.peers.directory();
    for service in outdated {
        let known = unstored.entry(service.clone()).or_insert(Unstored {
            since: now,
            next_attempt: now,
        });
        let rank = writer_rank(&directory, service_digest(&service), state.peers.own());
        let is_turn = is_write_turn(rank, now.saturating_sub(known.since));
        if is_settled && is_view_current(state) && is_turn && now >= known.next_attempt {
            due.push(service);
        }
    }
    due
}

/// The services with resumable streams whose records this gateway would write differently.
fn outdated_services(state: &GatewayState) -> Vec<String> {
    let Some(configuration) = state.configuration.load_full() else {
        return Vec::new();
    };
    let now = Instant::now();
    let directory = state.peers.directory();
    let services = configuration.resumable_services().into_iter();
    let outdated = services.filter(|service| {
        let digest = service_digest(service);
        let is_writer = writer_rank(&directory, digest, state.peers.own()).is_some();
        is_writer && state.streams.unstored_record(state, digest, now).is_some()
    });
    outdated.map(str::to_owned).collect()
}

/// Writes the record of a service in place of the newest one; returns whether it is known to be up to date.
async fn store(state: &GatewayState, service: &str) -> bool {
    if !read_newest(state).await {
        return false;
    }
    let digest = service_digest(service);
    let Some(record) = state.streams.unstored_record(state, digest, Instant::now()) else {
        return true;
    };
    let expected = state.streams.stored_position(digest);
    let content = ObjectContent::SoftwareVersions(record.clone());
    let kind = ObjectKind::SoftwareVersions;
    let answer = write(state, kind, service, &content, expected).await;
    let metrics = &state.status.metrics.streams;
    if let WriteAnswer::Accepted(position) = answer {
        metrics.count_record("written");
        log_event!(
            gateway::SOFTWARE_VERSIONS_STORED,
            "service={service} position={position} {record:?}"
        );
        state.streams.note_stored(digest, record, position);
        return true;
    }
    metrics.count_record("not_written");
    log_event!(
        gateway::SOFTWARE_VERSIONS_NOT_STORED,
        "service={service} answer={answer:?} {record:?}"
    );
    false
}
