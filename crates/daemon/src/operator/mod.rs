//! The operators' interface: statements, metrics and health checks.

use std::sync::Arc;

use ntex::web::ServiceConfig;

use crate::state::DaemonState;

/// Adds the operators' routes to a worker's application.
pub fn configure(_config: &mut ServiceConfig, _state: Arc<DaemonState>) {}
