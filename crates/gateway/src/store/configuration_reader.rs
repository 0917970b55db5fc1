//! Proves again and again that the configuration in force is the newest, by reading it.
//!
//! A watch tells of changes at once, but its silence proves nothing: it may be cut, deaf or slow.

use std::rc::Rc;
use std::time::{Duration, Instant};

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::client::list_all;
use super::follow::take_configuration;
use super::outage::pause_after;
use crate::protocol::ObjectKind;
use crate::state::GatewayState;

/// The time between two reads of a daemon that reads for others.
const INTERVAL: Duration = Duration::from_millis(1100);

/// Reads the configuration for ever: again and again while this daemon reads the store for its group, else
/// only where a proof is wanted.
pub async fn run(state: Rc<GatewayState>) {
    let mut is_reachable = true;
    let mut failures = 0;
    loop {
        let has_read = read(&state, &mut is_reachable).await;
        state.refresh_readiness();
        if !has_read {
            failures += 1;
            state.store_outage.begin();
            state.store_outage.wait(pause_after(failures)).await;
            needed(&state).await;
            continue;
        }
        failures = 0;
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => needed(&state).await,
            () = state.currency.wanted() => {}
        }
    }
}

/// Ends when this daemon reads for others, or a proof is wanted.
async fn needed(state: &GatewayState) {
    tokio::select! {
        () = state.peers.until_reader() => {}
        () = state.currency.wanted() => {}
    }
}

async fn read(state: &Rc<GatewayState>, is_reachable: &mut bool) -> bool {
    let began = Instant::now();
    let listing = || list_all(state, ObjectKind::Configuration);
    match state.store_outage.call(listing).await {
        Ok((objects, _)) => {
            for object in objects {
                take_configuration(state, object);
            }
            state.currency.prove(began);
            if state.peers.is_reader.get() && state.peers.follows_replicas.get() {
                state.peers.prove_view(began);
            }
            note_regained(state, is_reachable);
            true
        }
        Err(error) => {
            log_lost(is_reachable, &error.to_string());
            false
        }
    }
}

fn log_lost(is_reachable: &mut bool, error: &str) {
    if std::mem::replace(is_reachable, false) {
        log_event!(
            gateway::STORE_LOST,
            "task=configuration_reader error={error:?}"
        );
    }
}

fn note_regained(state: &GatewayState, is_reachable: &mut bool) {
    if !std::mem::replace(is_reachable, true) {
        log_event!(gateway::STORE_REGAINED, "task=configuration_reader");
        state.store_outage.end();
        state.peers.announce_store();
    }
}
