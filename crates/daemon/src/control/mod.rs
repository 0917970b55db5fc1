//! What the holder of the control lease does: rollout of weights, drain, cache warming, the claim group.
//!
//! - [`config_writer`]: operators' writes of configuration objects; needs no lease.
//! - [`lease_task`]: keeps the lease, where this daemon is a candidate for it.
//! - [`orders`]: sends orders to engines; checks the lease right before each one.
//! - [`claim_group_task`]: keeps the group of claim holders.
//! - [`engine_control`]: tells engines to drain or serve, and has them load weights.
//! - [`warming`]: brings hot prefixes to engines that come up cold; needs no lease.

mod claim_group_task;
pub mod config_writer;
mod engine_control;
mod lease_task;
mod ordered_loads;
mod orders;
mod warming;

use std::sync::Arc;

use driftspring_telemetry::events::control;
use driftspring_telemetry::log_event;
use ntex::rt::spawn;

use crate::state::DaemonState;

/// Starts the background tasks on the current ntex system; those that need the lease only where there
/// is a store to hold it in.
pub fn spawn_all(state: &Arc<DaemonState>) {
    spawn(reporting(warming::run(Arc::clone(state))));
    let Some(store) = state.settings.platform.object_store else {
        return;
    };
    let state = Arc::clone(state);
    spawn(async move {
        let lease = lease_task::ControlLease::new(&state);
        spawn(lease_task::run(Arc::clone(&state), store, lease.clone()));
        spawn(reporting(claim_group_task::run(
            Arc::clone(&state),
            lease.clone(),
        )));
        reporting(engine_control::run(state, lease)).await;
    });
}

/// Runs a task and logs where it could not start.
async fn reporting(task: impl Future<Output = anyhow::Result<()>>) {
    if let Err(error) = task.await {
        log_event!(control::CONTROL_NOT_STARTED, "error={error:#}");
    }
}
