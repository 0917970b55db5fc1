//! Copies from other daemons whose notices say that they may know more.

use std::sync::Arc;

use driftspring_replication::{PullProgress, PullSession};
use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::StepError;

use super::peer_client::PeerClient;
use crate::state::{DaemonState, PullSource};

/// Copies from one peer at a time until the process ends. A failed copy is not repeated by itself: the
/// next notice, from this peer or another, leads to a new one.
pub(super) async fn run(state: Arc<DaemonState>) {
    let client = match PeerClient::new(&state, ControlSubsystem::Configuration).await {
        Ok(client) => client,
        Err(error) => {
            log_event!(sync::PULL_FAILED, "error={error:#}");
            return;
        }
    };
    loop {
        let (source, request) = state.replica.next_pull().await;
        let session = PullSession::new(request);
        if let Err(error) = copy(&state, &client, &source, session).await {
            log_event!(sync::PULL_FAILED, "peer={} error={error}", source.peer);
        }
    }
}

async fn copy(
    state: &DaemonState,
    client: &PeerClient,
    source: &PullSource,
    mut session: PullSession,
) -> Result<(), StepError> {
    loop {
        let request = session.request();
        let delta = client.pull(&source.peer, source.address, request).await?;
        let progress = state
            .replica
            .update(|replica| session.apply(replica, delta));
        if !matches!(progress, PullProgress::Ask(_)) {
            return Ok(());
        }
    }
}
