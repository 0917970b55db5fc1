//! Proves again and again that the configuration in force is the newest, by reading it.
//!
//! A watch tells of changes at once, but its silence proves nothing: it may be cut, deaf or slow.

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

/// The time between two reads of a daemon that reads for others. They tell how recent its view is; others leave it
/// where that is older than 1.4 s, so that they hear in time of replicas that leave while it is cut off.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// For how long after the store was last known to be down for all it is taken for down: as long as a reader remembers
/// that others know nothing recent either.
const STORE_DOWN_RETENTION: Duration = Duration::from_secs(4);

/// The shortest time between two looks for a store that is down for all, by a daemon that leaves the proof to others. It
/// may keep replicas whose entries lapse in the outage only for a while after a look that failed (`contact_seconds` less
/// 0.2 s): with 4 s that is two seconds from the store's return on, in which entries come back.
const PROBE_INTERVAL: Duration = Duration::from_millis(1800);

/// How often a read that may be seconds old is tried for a configuration that another daemon has_version.
const MAX_RECENT_READS: u32 = 2;

/// The pause before each such read, as a part of the time within which a configuration must be in force everywhere
/// (`configuration_lag_seconds`): with two reads a tenth of that time in all.
const RECENT_READ_DELAY_RATIO: f64 = 0.05;

/// The pause after a read that proved nothing, since another daemon has_version a newer configuration than the store.
const UNPROVEN_READ_DELAY: Duration = Duration::from_millis(200);

/// The pause after the source was asked for a proof, in which its answer comes.
const PROOF_REPLY_DELAY: Duration = Duration::from_millis(100);

/// Reads the configuration for ever: again and again while this daemon reads the store for its group, else
/// only where a proof is wanted.
pub async fn run(state: Rc<GatewayState>) {
    let mut is_reachable = true;
    let mut failures = 0;
    let mut probed_at = None;
    if state.settings.is_first_start {
        // Nobody calls yet, and most daemons learn from others what is in force.
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
        let began = Instant::now();
        let has_read = read(&state, &mut is_reachable).await;
        state.refresh_readiness();
        if !has_read {
            failures += 1;
            state.store_outage.begin();
            let pause = backoff_after_call(failures, began.elapsed());
            state.store_outage.wait(pause).await;
            until_retry(&state).await;
            continue;
        }
        failures = 0;
        if !state.currency.is_within(began.elapsed()) {
            // Every request wants a proof that the store can't give until the operator has written again.
            tokio::time::sleep(UNPROVEN_READ_DELAY).await;
        }
        tokio::select! {
            () = tokio::time::sleep(READ_INTERVAL) => until_read_needed(&state).await,
            () = state.currency.proof_requested() => {}
        }
    }
}

/// What became of a newer configuration that another daemon has_version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NewerOutcome {
    /// None is known of.
    NoneKnown,
    /// It is in force here.
    Applied,
    /// A read that may be seconds old did not bring it, so the newest one has to be read.
    Missing,
}

/// Takes in the configuration that another daemon has_version, from reads that may be seconds old: hundreds of daemons
/// read each change, and such a read costs the store a tenth. Each read waits a little, so that the store has something recent
/// to show and changes that come together are read once.
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
                log::debug!("recent configuration not read: {error}");
                return NewerOutcome::Missing;
            }
        };
        for object in objects {
            apply_configuration(state, object);
        }
        if has_version(state, newer.version) {
            // A still newer one is the newest at a later moment: this one was so when it was proved.
            state.currency.prove(state.held_version(), newer.proof);
            return NewerOutcome::Applied;
        }
    }
    NewerOutcome::Missing
}

/// Waits for `pause`; the newest configuration that was told by then, `newer` or a later one. Nothing where a request wants a
/// proof meanwhile, which then can't wait.
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

/// Whether the configuration in force is of `version` or a later one.
fn has_version(state: &GatewayState, version: u64) -> bool {
    state.configuration.load().is_some() && state.held_version() >= version
}

/// Whether a proof is left to the daemons that may call the store: while it is down for all, every request wants one.
/// Where it is not, it may refuse just these few, and this daemon reads for itself.
fn is_proof_left_to_others(state: &GatewayState) -> bool {
    let reads = state.peers.is_reader.get() || state.peers.may_read.get();
    let down_at = state.weights.borrow().last_store_down_at();
    !reads && down_at.is_some_and(|at| at.elapsed() < STORE_DOWN_RETENTION)
}

/// Looks whether the store fails this daemon too, by a read that costs the store a tenth. Others tell when it is back,
/// so only a failure matters, which is remembered with the lists that failed.
async fn probe_store(state: &GatewayState, probed_at: &mut Option<Instant>) {
    if probed_at.is_some_and(|at| at.elapsed() < PROBE_INTERVAL) {
        return;
    }
    *probed_at = Some(Instant::now());
    let listing = || list_recent(state, ObjectKind::Configuration);
    if let (_, Err(error)) = state.store_outage.call(listing).await {
        log::debug!("the store fails this daemon too: {error}");
    }
}

/// Ends when this daemon reads for others, or a proof is wanted.
async fn until_read_needed(state: &GatewayState) {
    tokio::select! {
        () = state.peers.until_reader() => {}
        () = state.currency.proof_requested() => {}
    }
}

/// Waits until the store, which has failed this daemon, is to be tried again. Where another daemon reads it meanwhile, one call
/// now and then shows whether it is back for this one.
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
    let (began, result) = state.store_outage.call(listing).await;
    match result {
        Ok((objects, position)) => {
            for object in objects {
                apply_configuration(state, object);
            }
            let position = Some(position);
            let proof = Proof { began, position };
            state.currency.prove(state.held_version(), proof);
            if state.held_version() < highest {
                state.currency.note_lost_version(highest);
            }
            let was_lost = note_store_regained(state, is_reachable);
            // After an outage the replicas are listed anew, which proves the view: watches from before may be deaf.
            if !was_lost && state.peers.is_reader.get() && state.peers.follows_replicas.get() {
                state.peers.prove_view(began);
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

/// Announces that the store answers again where it did not before; true in that case.
fn note_store_regained(state: &GatewayState, is_reachable: &mut bool) -> bool {
    let was_lost = !std::mem::replace(is_reachable, true);
    if was_lost {
        log_event!(gateway::STORE_REGAINED, "task=configuration_reader");
        state.store_outage.end();
        state.peers.announce_store();
    }
    was_lost
}
