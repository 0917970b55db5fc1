//! Reads the configuration periodically to prove that the one in force is the newest.
//!
//! A watch reports changes at once, but the absence of reports proves nothing: its connection may be broken, or its answer
//! lost or delayed.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::client::{list_all, list_recent};
use super::follow::apply_configuration;
use super::outage::backoff_after_call;
use crate::currency::{NewerVersion, Proof};
use crate::protocol::ObjectKind;
use crate::state::GatewayState;

/// Interval between the reads of a gateway that reads the store for others. The reads show how recent its view is; the others
/// stop relying on a view that is older than 1.4 s, so that they learn in time of replicas that leave while the reader is cut
/// off.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// How long the store counts as down for all gateways after it was last known to be so: as long as a reader remembers that the
/// others have no recent view either.
const STORE_DOWN_RETENTION: Duration = Duration::from_secs(4);

/// Minimum interval between the probes of a store that is down for all, by a gateway that leaves the proof to others. Replicas
/// whose entries lapse during the outage may be retained only for `contact_seconds` less 0.2 s after a failed probe: with 4 s
/// that leaves two seconds after the store's return for entries to come back.
const PROBE_INTERVAL: Duration = Duration::from_millis(1800);

/// Maximum number of reads of possibly old data for a configuration that another gateway already has.
const MAX_RECENT_READS: u32 = 2;

/// Delay before each such read, as a share of the time within which a configuration must be in force everywhere
/// (`configuration_lag_seconds`): two reads delay it by a tenth of that time in total.
const RECENT_READ_DELAY_RATIO: f64 = 0.05;

/// Delay after a read that proves nothing because another gateway has a newer configuration than the store.
const UNPROVEN_READ_DELAY: Duration = Duration::from_millis(200);

/// Delay after asking the source gateway for a proof, in which its answer arrives.
const PROOF_REPLY_DELAY: Duration = Duration::from_millis(100);

/// Reads the configuration until the process ends: periodically while this gateway reads the store for its group, otherwise
/// only when a proof is requested.
pub async fn run(state: Rc<GatewayState>) {
    let mut is_reachable = true;
    let mut failures = 0;
    let mut probed_at = None;
    if state.settings.is_first_start {
        // There are no callers yet, and most gateways learn the configuration in force from others.
        until_read_needed(&state).await;
    }
    loop {
        let newer = apply_newer(&state).await;
        if newer == NewerOutcome::Applied {
            state.refresh_readiness();
            until_read_needed(&state).await;
            continue;
        }
        if newer == NewerOutcome::NoneKnown && is_proof_left_to_others(&state) {
            probe_store(&state, &mut probed_at).await;
            state.peers.ask_now();
            tokio::time::sleep(PROOF_REPLY_DELAY).await;
            until_read_needed(&state).await;
            continue;
        }
        let started_at = Instant::now();
        let has_read = read(&state, &mut is_reachable).await;
        state.refresh_readiness();
        if !has_read {
            failures += 1;
            state.store_outage.begin();
            let pause = backoff_after_call(failures, started_at.elapsed());
            state.store_outage.wait(pause).await;
            until_retry(&state).await;
            continue;
        }
        failures = 0;
        if !state.currency.is_within(started_at.elapsed()) {
            // Every request asks for a proof, which the store can't provide until the operator writes a newer version.
            tokio::time::sleep(UNPROVEN_READ_DELAY).await;
        }
        tokio::select! {
            () = tokio::time::sleep(READ_INTERVAL) => until_read_needed(&state).await,
            () = state.currency.proof_requested() => {}
        }
    }
}

/// The outcome of reading a newer configuration that another gateway has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NewerOutcome {
    /// No newer configuration is known.
    NoneKnown,
    /// The newer configuration is in force here.
    Applied,
    /// Reads of possibly old data did not return it, so a read of the newest data is needed.
    Missing,
}

/// Applies the configuration that another gateway has, from reads of data that may be seconds old: hundreds of gateways
/// read each change, and such a read costs the store a tenth of a current one. Each read is delayed a little, so that the
/// change has reached the older data and changes in quick succession are read once.
async fn apply_newer(state: &Rc<GatewayState>) -> NewerOutcome {
    let Some(mut newer) = state.currency.take_requested_version() else {
        return NewerOutcome::NoneKnown;
    };
    for _ in 0..MAX_RECENT_READS {
        if has_version(state, newer.version) {
            return NewerOutcome::Applied;
        }
        let pause = state
            .times
            .get()
            .configuration_lag
            .mul_f64(RECENT_READ_DELAY_RATIO);
        let Some(latest) = collect_newer(state, newer, pause).await else {
            return NewerOutcome::Missing;
        };
        newer = latest;
        let objects = match list_recent(state, ObjectKind::Configuration).await {
            Ok(objects) => objects,
            Err(error) => {
                log::debug!("list of recent configurations failed: {error}");
                return NewerOutcome::Missing;
            }
        };
        for object in objects {
            apply_configuration(state, object);
        }
        if has_version(state, newer.version) {
            // If the read returned a still later version, the proof holds for it too: `newer` was the newest version when the
            // proof's read started.
            state
                .currency
                .prove(state.configuration_version(), newer.proof);
            return NewerOutcome::Applied;
        }
    }
    NewerOutcome::Missing
}

/// Waits for `pause` and returns the newest version reported by then, `newer` or a later one. Returns `None` if a request asks
/// for a proof meanwhile, since that can't wait.
async fn collect_newer(
    state: &GatewayState,
    mut newer: NewerVersion,
    pause: Duration,
) -> Option<NewerVersion> {
    let pause = tokio::time::sleep(pause);
    tokio::pin!(pause);
    loop {
        tokio::select! {
            () = &mut pause => return Some(newer),
            () = state.currency.proof_requested() => newer = state.currency.take_requested_version()?,
        }
    }
}

/// Whether the configuration in force has `version` or a later one.
fn has_version(state: &GatewayState, version: u64) -> bool {
    state.configuration.load().is_some() && state.configuration_version() >= version
}

/// Whether this gateway leaves the proof to those that may call the store: while the store is down for all, every request asks
/// for a proof. Otherwise the store may be failing only those few, and this gateway reads for itself.
fn is_proof_left_to_others(state: &GatewayState) -> bool {
    let may_call_store = state.peers.is_reader.get() || state.peers.may_read.get();
    let down_at = state.weights.borrow().last_store_down_at();
    !may_call_store && down_at.is_some_and(|at| at.elapsed() < STORE_DOWN_RETENTION)
}

/// Probes whether the store fails this gateway too, by a read of possibly old data, which costs the store a tenth of a current
/// one. Others announce the store's return, so only a failure matters; it is recorded as a failed list.
async fn probe_store(state: &GatewayState, probed_at: &mut Option<Instant>) {
    if probed_at.is_some_and(|at| at.elapsed() < PROBE_INTERVAL) {
        return;
    }
    *probed_at = Some(Instant::now());
    let listing = || list_recent(state, ObjectKind::Configuration);
    if let (_, Err(error)) = state.store_outage.call(listing).await {
        log::debug!("probe of the store failed: {error}");
    }
}

/// Waits until this gateway reads for others or a proof is requested.
async fn until_read_needed(state: &GatewayState) {
    tokio::select! {
        () = state.peers.wait_until_reader() => {}
        () = state.currency.proof_requested() => {}
    }
}

/// Waits until the next attempt at a store that has failed this gateway. While another gateway reads it, an occasional call
/// shows whether the store answers this one again.
async fn until_retry(state: &GatewayState) {
    if !state.peers.may_read.get() {
        return until_read_needed(state).await;
    }
    tokio::select! {
        () = until_read_needed(state) => {}
        () = state.store_outage.wait_as_follower() => {}
    }
}

async fn read(state: &Rc<GatewayState>, is_reachable: &mut bool) -> bool {
    let listing = || list_all(state, ObjectKind::Configuration);
    let highest = state.currency.highest();
    let (started_at, result) = state.store_outage.call(listing).await;
    match result {
        Ok((objects, position)) => {
            for object in objects {
                apply_configuration(state, object);
            }
            let position = Some(position);
            let proof = Proof {
                started_at,
                position,
            };
            state.currency.prove(state.configuration_version(), proof);
            if state.configuration_version() < highest {
                state.currency.note_lost_version(highest);
            }
            let was_lost = note_store_regained(state, is_reachable);
            // After an outage the view is proved by listing the replicas again: watches from before may never be answered.
            if !was_lost && state.peers.is_reader.get() && state.peers.follows_replicas.get() {
                state.peers.prove_view(started_at);
            }
            true
        }
        Err(error) => {
            log_store_lost(is_reachable, &error.to_string());
            false
        }
    }
}

fn log_store_lost(is_reachable: &mut bool, error: &str) {
    if std::mem::replace(is_reachable, false) {
        log_event!(
            gateway::STORE_LOST,
            "task=configuration_reader error={error:?}"
        );
    }
}

/// Ends the outage and announces it to the other gateways if the store did not answer before; returns true in that case.
fn note_store_regained(state: &GatewayState, is_reachable: &mut bool) -> bool {
    let was_lost = !std::mem::replace(is_reachable, true);
    if was_lost {
        log_event!(gateway::STORE_REGAINED, "task=configuration_reader");
        state.store_outage.end();
        state.peers.announce_store();
    }
    was_lost
}
