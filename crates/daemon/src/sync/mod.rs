//! What a daemon hears: gossip, configuration, engine status and cache events.

pub mod replication;
pub mod store_watch;

use std::net::UdpSocket;
use std::sync::Arc;

use ntex::web::ServiceConfig;

use crate::state::DaemonState;

/// Adds the routes for internal calls of other daemons.
pub fn configure_peer_server(config: &mut ServiceConfig, state: Arc<DaemonState>) {
    replication::configure(config, &state);
}

/// Starts the gossip thread and the background tasks on the current ntex system.
///
/// # Errors
///
/// The gossip thread can't be started.
pub fn spawn_all(state: &Arc<DaemonState>, _gossip_socket: UdpSocket) -> anyhow::Result<()> {
    replication::spawn_all(state);
    store_watch::spawn_all(state);
    Ok(())
}

/// Tells the other daemons that this one is leaving; returns once the news is on its way.
pub async fn announce_leaving(_state: &Arc<DaemonState>) {}
