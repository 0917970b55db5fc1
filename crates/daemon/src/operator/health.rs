//! Readiness and the metrics page.

use std::sync::atomic::Ordering;

use driftspring_telemetry::metrics::MetricLabel;
use driftspring_types::{EngineHealth, MemberState};

use crate::state::DaemonState;

/// The media type of the metrics page.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Whether callers should be sent here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Yes.
    Ready,
    /// Not yet: no configuration is in force.
    Starting,
    /// No longer: a planned stop has begun.
    Stopping,
}

/// Whether callers should be sent here.
pub fn readiness(state: &DaemonState) -> Readiness {
    if state.is_stopping() {
        return Readiness::Stopping;
    }
    match state.is_ready() {
        true => Readiness::Ready,
        false => Readiness::Starting,
    }
}

/// The page of all metrics, with gauges as of now.
pub fn metrics_page(state: &DaemonState) -> String {
    let gauges = &state.metrics.gauges;
    let open_requests = state.open_requests.load(Ordering::Relaxed);
    gauges
        .open_requests
        .set(i64::try_from(open_requests).unwrap_or(i64::MAX));
    let revision = state.config.load().complete_to;
    gauges
        .config_revision
        .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    let members = state.members.load();
    for label in MemberState::ALL {
        let count = members.iter().filter(|member| member.state == *label);
        gauges.members.set(*label, count.count() as u64);
    }
    let engines = state.engines.load();
    for label in EngineHealth::ALL {
        let count = engines
            .iter()
            .filter(|engine| engine.record.health == *label);
        gauges.engines.set(*label, count.count() as u64);
    }
    state.metrics.render()
}
