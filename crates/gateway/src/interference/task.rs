//! Keeps the separation and the metrics of interference up to date while no requests arrive.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::update_separation;
use crate::state::GatewayState;

/// Interval of the updates, which go through all replicas.
const INTERVAL: Duration = Duration::from_secs(1);

/// Updates forever.
pub(crate) async fn run(state: Rc<GatewayState>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        update(&state);
    }
}

fn update(state: &GatewayState) {
    let metrics = &state.status.metrics;
    if !state.interference.is_on() {
        metrics.streams_expected.set(0);
        metrics.streams_open.set(0);
        metrics.replicas_reserved.set(0);
        return;
    }
    let now = Instant::now();
    let mut expected = 0.0;
    let mut own = 0;
    for replica in state.registry.all() {
        expected += replica.work.running_streams(now);
        own += i64::from(replica.work.own_streams());
    }
    let mut reserved = 0.0;
    if state.interference.is_separating() {
        for (name, service) in state.interference.services() {
            let replicas = state.registry.of_service(&name).len();
            update_separation(&name, &service, replicas, now);
            reserved += service.reserved_replicas();
        }
    }
    metrics.streams_expected.set(expected as i64);
    metrics.streams_open.set(own);
    metrics.replicas_reserved.set(reserved.round() as i64);
}
