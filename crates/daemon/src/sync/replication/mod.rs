//! The replica's tasks: publishing, copying from other daemons, and answering them.

mod peer_client;
mod publisher;
mod pull;
mod server;

use std::sync::Arc;

use ntex::rt::spawn;
use ntex::web::ServiceConfig;

use crate::state::DaemonState;

pub use peer_client::PeerClient;
pub use publisher::publish;
pub use server::{HoldsRequest, is_in_force};

/// The path of copies.
const PULL_PATH: &str = "/internal/replication/pull";
/// The path of questions whether a change is in force.
const HOLDS_PATH: &str = "/internal/replication/holds";

/// Adds the routes for other daemons.
pub fn configure(config: &mut ServiceConfig, state: &Arc<DaemonState>) {
    server::configure(config, state);
}

/// Publishes the bootstrap objects and starts the tasks on the current ntex system.
pub fn spawn_all(state: &Arc<DaemonState>) {
    publisher::publish_bootstrap(state);
    spawn(publisher::run(Arc::clone(state)));
    spawn(publisher::become_ready_in_time(Arc::clone(state)));
    spawn(pull::run(Arc::clone(state)));
}
