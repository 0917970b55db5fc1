//! The server for internal calls of other daemons: every route in one place.

use std::sync::Arc;

use ntex::web::ServiceConfig;

use super::replication;
use crate::claims;
use crate::state::DaemonState;

/// Adds the routes.
pub fn configure(config: &mut ServiceConfig, state: Arc<DaemonState>) {
    replication::configure(config, &state);
    claims::configure(config, &state);
}
