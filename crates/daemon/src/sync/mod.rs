//! What a daemon hears: gossip, configuration, engine status and cache events.

mod cache_events;
pub mod control_cost;
pub(crate) mod duties;
mod gossip;
pub mod machines;
mod observe;
mod peer_server;
mod publication;
pub mod replication;
pub mod store_watch;

use std::net::UdpSocket;
use std::sync::Arc;

use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use ntex::rt::spawn;
use ntex::web::ServiceConfig;
use observe::Observer;

use crate::state::DaemonState;

/// Adds the routes for internal calls of other daemons.
pub fn configure_peer_server(config: &mut ServiceConfig, state: Arc<DaemonState>) {
    peer_server::configure(config, state);
}

/// Starts the gossip thread and the background tasks on the current ntex system.
///
/// # Errors
///
/// The gossip thread can't be started.
pub fn spawn_all(state: &Arc<DaemonState>, gossip_socket: UdpSocket) -> anyhow::Result<()> {
    gossip::spawn(state, gossip_socket)?;
    spawn(observe_engines(Arc::clone(state)));
    spawn(cache_events::run(Arc::clone(state)));
    replication::spawn_all(state);
    store_watch::spawn_all(state);
    Ok(())
}

/// Observes engines and reads the machine list until the process ends.
async fn observe_engines(state: Arc<DaemonState>) {
    match Observer::new(Arc::clone(&state)).await {
        Ok(observer) => {
            spawn(machines::run(state, observer.clone()));
            observer.run().await;
        }
        Err(error) => log_event!(sync::OBSERVER_FAILED, "error={error:#}"),
    }
}

/// Tells the other daemons that this one is leaving; returns once the news is on its way.
pub async fn announce_leaving(state: &Arc<DaemonState>) {
    gossip::announce_leaving(state).await;
}
