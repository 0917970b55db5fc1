//! The path of a request: a fixed list of filters over one context per request.

use std::sync::Arc;

use ntex::web::ServiceConfig;

use crate::state::DaemonState;

/// Adds the callers' routes to a worker's application.
pub fn configure(_config: &mut ServiceConfig, _state: Arc<DaemonState>) {}
