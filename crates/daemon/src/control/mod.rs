//! What the holders of leases do: rollout of weights, drain, cache warming, the claim group.

pub mod config_writer;

use std::sync::Arc;

use crate::state::DaemonState;

/// Starts the background tasks on the current ntex system.
pub fn spawn_all(_state: &Arc<DaemonState>) {}
