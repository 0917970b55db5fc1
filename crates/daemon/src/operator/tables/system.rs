//! Tables of daemons, engines and what they have cached.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use driftspring_language::Row;
use driftspring_limits::BreakerState;
use driftspring_telemetry::metrics::MetricLabel;
use driftspring_types::{ConfigView, EngineId, EngineIntent, MemberRecord};

use crate::state::DaemonState;

/// The rows of `engines`.
pub fn engines(state: &DaemonState) -> Vec<Row> {
    let config = state.config.load();
    let engines = state.engines.load();
    let now_ms = state.uptime_ms();
    let entries = engines.iter();
    entries
        .map(|entry| {
            let record = &entry.record;
            let load = record.load;
            let counters = &entry.counters;
            let open_here = counters.open_requests.load(Ordering::Relaxed);
            let here = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
            vec![
                record.id.as_str().into(),
                record.zone.as_str().into(),
                record.model.as_str().into(),
                record.weights_version.0.into(),
                record.health.text().into(),
                intent(&config, &record.id).into(),
                breaker_text(counters.breaker.state(now_ms)).into(),
                load.running.into(),
                load.queued.into(),
                load.pending_prefill_tokens.into(),
                open_here.into(),
                here(&counters.dispatched_requests).into(),
                here(&counters.prompt_tokens).into(),
                here(&counters.cached_tokens).into(),
                load.cached_blocks.into(),
                load.cache_capacity_blocks.into(),
                record.incarnation.0.into(),
                record.address.as_str().into(),
            ]
        })
        .collect()
}

fn intent(config: &ConfigView, engine: &EngineId) -> &'static str {
    let directive = config.engines.get(engine);
    match directive.map(|directive| directive.intent) {
        Some(EngineIntent::Drain) => "drain",
        Some(EngineIntent::Serve) | None => "serve",
    }
}

fn breaker_text(state: BreakerState) -> &'static str {
    match state {
        BreakerState::Closed => "closed",
        BreakerState::ProbeDue => "probe_due",
        BreakerState::Open { .. } => "open",
    }
}

/// The rows of `members`.
pub fn members(members: &[MemberRecord]) -> Vec<Row> {
    members
        .iter()
        .map(|member| {
            vec![
                member.id.as_str().into(),
                member.zone.as_str().into(),
                member.state.text().into(),
                member.complete_to.0.into(),
                member.incarnation.0.into(),
                member.caller_address.as_str().into(),
                member.operator_address.as_str().into(),
                member.peer_address.as_str().into(),
            ]
        })
        .collect()
}

/// The rows of `cache`.
pub fn cache(state: &DaemonState) -> Vec<Row> {
    let engines = state.engines.load();
    let residency = state.routing.directory.snapshot();
    let now = state.started_at.elapsed();
    let entries = engines.iter();
    entries
        .map(|entry| {
            let record = &entry.record;
            let known = residency
                .get(&record.id)
                .filter(|known| known.incarnation() == record.incarnation);
            vec![
                record.id.as_str().into(),
                record.model.as_str().into(),
                record.weights_version.0.into(),
                known.map(|known| known.resident_blocks(now)).into(),
                known.map(|known| milliseconds(known.lifetime())).into(),
                record.load.cached_blocks.into(),
                record.load.cache_capacity_blocks.into(),
                record.incarnation.0.into(),
            ]
        })
        .collect()
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
