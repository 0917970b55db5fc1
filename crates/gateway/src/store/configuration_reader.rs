//! Proves again and again that the configuration in force is the newest, by reading it.
//!
//! A watch tells of changes at once, but its silence proves nothing: it may be cut, deaf or slow.

use std::rc::Rc;
use std::time::{Duration, Instant};

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::client::list_all;
use super::follow::take_configuration;
use crate::protocol::ObjectKind;
use crate::state::GatewayState;

/// The time between two reads of a daemon that reads for others.
const INTERVAL: Duration = Duration::from_millis(1100);

/// The time after the first read that failed; each further one in a row twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest such time.
const LONGEST_PAUSE: Duration = Duration::from_millis(900);

/// Reads the configuration for ever: again and again while this daemon reads the store for its group, else
/// only where a proof is wanted.
pub async fn run(state: Rc<GatewayState>) {
    let mut is_reachable = true;
    let mut pause = FIRST_PAUSE;
    loop {
        let has_read = read(&state, &mut is_reachable).await;
        state.refresh_readiness();
        pause = match has_read {
            true => FIRST_PAUSE,
            false => (pause * 2).min(LONGEST_PAUSE),
        };
        let interval = if has_read { INTERVAL } else { pause };
        tokio::select! {
            () = due(&state, interval) => {}
            () = state.currency.wanted() => {}
        }
    }
}

/// Ends when the next read of a reader is due.
async fn due(state: &GatewayState, interval: Duration) {
    tokio::time::sleep(interval).await;
    state.peers.until_reader().await;
}

async fn read(state: &Rc<GatewayState>, is_reachable: &mut bool) -> bool {
    let began = Instant::now();
    match list_all(state, ObjectKind::Configuration).await {
        Ok((objects, _)) => {
            for object in objects {
                take_configuration(state, object);
            }
            state.currency.prove(began);
            if state.peers.is_reader.get() && state.peers.follows_replicas.get() {
                state.peers.prove_view(began);
            }
            log_regained(is_reachable);
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

fn log_regained(is_reachable: &mut bool) {
    if !std::mem::replace(is_reachable, true) {
        log_event!(gateway::STORE_REGAINED, "task=configuration_reader");
    }
}
