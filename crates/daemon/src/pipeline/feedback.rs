//! What answers and refusals say about the engine that sent them.
//!
//! They are the freshest reports there are, and cost nothing.

use std::sync::atomic::Ordering;

use driftspring_external::engine::{AnswerHead, EngineError, EngineRefusal, RefusalKind};
use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_types::{EngineHealth, EngineLoad, EngineRecord, Incarnation};

use super::choose_engine::EngineChoice;
use super::context::RequestContext;
use super::engine_table::put_record;
use crate::state::{DaemonState, EngineEntry};

/// The table is rebuilt for a mere change of load at most this often per engine, in milliseconds.
const LOAD_REPORT_INTERVAL_MS: u64 = 20;

/// Notes that the request goes to the engine, which will soon have its prompt cached.
pub fn dispatched(daemon: &DaemonState, context: &RequestContext, choice: &EngineChoice) {
    if let Some(residency) = &choice.residency {
        residency.dispatched(&context.fingerprint, daemon.uptime());
    }
}

/// Takes what an answer's headers say: what the engine had cached of the prompt, and its load.
pub fn answered(
    daemon: &DaemonState,
    context: &RequestContext,
    choice: &EngineChoice,
    head: &AnswerHead,
) {
    correct_residency(daemon, context, choice, head);
    let engine = &choice.engine;
    engine.counters.breaker.record_success();
    let table = daemon.engines.load();
    let Some(known) = table.get(&engine.record.id) else {
        return;
    };
    let Some(record) = reported(&known.record, head) else {
        return;
    };
    let only_load_changed = record.incarnation == known.record.incarnation
        && record.weights_version == known.record.weights_version;
    let now_ms = daemon.uptime_ms();
    let reported_at_ms = engine.counters.reported_at_ms.load(Ordering::Relaxed);
    if only_load_changed && now_ms < reported_at_ms + LOAD_REPORT_INTERVAL_MS {
        return;
    }
    engine.counters.reported(now_ms);
    put_record(daemon, &record);
}

fn correct_residency(
    daemon: &DaemonState,
    context: &RequestContext,
    choice: &EngineChoice,
    head: &AnswerHead,
) {
    if !daemon.settings.routing.use_answers {
        return;
    }
    let Some(residency) = &choice.residency else {
        return;
    };
    if head.incarnation != Some(residency.incarnation()) {
        return;
    }
    if let Some(cached_tokens) = head.cached_tokens {
        let now = daemon.uptime();
        residency.answered(&context.fingerprint, choice.overlap, cached_tokens, now);
    }
}

/// Takes what a failed attempt says about its engine.
pub fn failed(
    daemon: &DaemonState,
    context: &RequestContext,
    choice: &EngineChoice,
    error: &EngineError,
) {
    if let Some(residency) = &choice.residency {
        residency.not_computed(&context.fingerprint, choice.overlap);
    }
    let engine = &choice.engine;
    let EngineError::Refused(refusal) = error else {
        failed_to_answer(daemon, engine, error);
        return;
    };
    engine.counters.breaker.record_success();
    if let Some(record) = refused(&engine.record, refusal) {
        put_record(daemon, &record);
    }
}

/// Counts a failure against the engine's breaker. An answer of whatever kind is none.
pub fn failed_to_answer(daemon: &DaemonState, engine: &EngineEntry, error: &EngineError) {
    let is_silent = matches!(
        error,
        EngineError::NotConnected(_) | EngineError::Broken(_) | EngineError::TimedOut(_)
    );
    if is_silent && engine.counters.breaker.record_failure(daemon.uptime_ms()) {
        log_event!(
            pipeline::BREAKER_OPENED,
            "engine={} cause=\"{error}\"",
            engine.record.id
        );
    }
}

/// The record after the report in `head`; nothing where it reports nothing.
fn reported(known: &EngineRecord, head: &AnswerHead) -> Option<EngineRecord> {
    let load = head.load.unwrap_or_default();
    let incarnation = head.incarnation?;
    Some(EngineRecord {
        incarnation,
        weights_version: head.weights_version?,
        report_sequence: head.report_sequence?,
        health: health_of(known, incarnation),
        load: EngineLoad {
            cached_blocks: known.load.cached_blocks,
            cache_capacity_blocks: known.load.cache_capacity_blocks,
            ..load
        },
        ..known.clone()
    })
}

/// The health of an engine that answers: one that is leaving still finishes what it has.
fn health_of(known: &EngineRecord, incarnation: Incarnation) -> EngineHealth {
    let is_leaving = known.health == EngineHealth::Leaving && known.incarnation == incarnation;
    if is_leaving {
        EngineHealth::Leaving
    } else {
        EngineHealth::Serving
    }
}

/// The record after a refusal; nothing where the refusal says nothing lasting about the engine.
fn refused(known: &EngineRecord, refusal: &EngineRefusal) -> Option<EngineRecord> {
    let health = match refusal.kind {
        RefusalKind::IncarnationMismatch | RefusalKind::WeightsMismatch => EngineHealth::Serving,
        RefusalKind::Leaving => EngineHealth::Leaving,
        RefusalKind::Loading => EngineHealth::Loading,
        _ => return None,
    };
    let incarnation = refusal.incarnation.unwrap_or(known.incarnation);
    let same_life = incarnation == known.incarnation;
    Some(EngineRecord {
        incarnation,
        weights_version: refusal.weights_version.unwrap_or(known.weights_version),
        // A refusal carries no sequence number; it is newer than the report that was acted on.
        report_sequence: if same_life {
            known.report_sequence + 1
        } else {
            0
        },
        health,
        ..known.clone()
    })
}
