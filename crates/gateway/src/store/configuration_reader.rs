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

/// The time between two reads.
const INTERVAL: Duration = Duration::from_millis(1200);

/// The time after a read that failed.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(250);

/// Reads the configuration for ever.
pub async fn run(state: Rc<GatewayState>) {
    let mut is_reachable = true;
    loop {
        let began = Instant::now();
        let pause = match list_all(&state, ObjectKind::Configuration).await {
            Ok((objects, _)) => {
                for object in objects {
                    take_configuration(&state, object);
                }
                if state.configuration.load().is_some() {
                    state.currency.prove(began);
                }
                log_regained(&mut is_reachable);
                INTERVAL
            }
            Err(error) => {
                log_lost(&mut is_reachable, &error.to_string());
                PAUSE_AFTER_FAILURE
            }
        };
        state.refresh_readiness();
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.currency.wanted() => {}
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
