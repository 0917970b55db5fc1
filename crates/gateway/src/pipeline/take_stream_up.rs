//! Filter: keeps a stream that a caller takes up to the service and the software version that began it.

use std::rc::Rc;
use std::time::Duration;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::context::RequestContext;
use super::decode::Decoded;
use super::dispatch::OpenAnswer;
use super::refusal::{Reason, Refusal, Step};
use crate::authorization::Destination;
use crate::configuration::RouteKind;
use crate::state::GatewayState;
use crate::stream_versions::origin::{StreamOrigin, UnknownOrigin};
use crate::stream_versions::records::{RECORD_MARGIN, StreamRecord};
use crate::stream_versions::{OriginError, StreamKey, VersionBinding, find_origin, service_digest};

/// When a caller should retry if this gateway can't reach the others: its next connection goes to another gateway.
const ISOLATED_RETRY_AFTER: Duration = Duration::from_millis(10);

/// When a caller should retry if this gateway may learn of earlier versions soon: from the store, or from a list of replicas.
const LEARNING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns where the request goes, to `chosen` unless it takes up a stream that began at another service, and the software
/// version that may run it.
pub async fn bind_request(
    state: &Rc<GatewayState>,
    decoded: &Decoded,
    chosen: Destination,
) -> Result<(Destination, VersionBinding), Refusal> {
    let route = chosen.authorization().route();
    let is_resumable = route.kind == RouteKind::Streaming && route.is_resumable;
    match is_resumable && decoded.meta.last_event_id.is_some() {
        true => bind(state, decoded, chosen).await,
        false => Ok((chosen, VersionBinding::Free)),
    }
}

/// The same for a request that takes a stream up.
pub async fn bind(
    state: &Rc<GatewayState>,
    decoded: &Decoded,
    chosen: Destination,
) -> Result<(Destination, VersionBinding), Refusal> {
    let authorization = chosen.authorization();
    let tenant = authorization.tenant_name();
    // Without the id of the first request no record can be found; the only version in use is still known.
    let first = decoded.meta.resumes.as_deref().unwrap_or(&decoded.id);
    let key = StreamKey::new(tenant, first);
    let origin = find_origin(state, key, service_digest(chosen.service())).await;
    let metrics = &state.status.metrics.streams;
    match origin {
        Ok(StreamOrigin::OnlyVersion(version)) => {
            metrics.count_taken_up("only_version");
            Ok((chosen, VersionBinding::Bound(version)))
        }
        Ok(StreamOrigin::Recorded { service, version }) => {
            let mut backends = authorization.route().backends.iter();
            let began_at = backends.find(|backend| service_digest(&backend.service) == service);
            let began_at = began_at.and_then(|backend| authorization.to_service(&backend.service));
            let Some(began_at) = began_at else {
                metrics.count_taken_up("service_gone");
                let detail = "the route has left the service that began the stream";
                return Err(Refusal::new(Step::Resume, Reason::VersionGone, detail));
            };
            metrics.count_taken_up("recorded");
            Ok((began_at, VersionBinding::Bound(version)))
        }
        Err(error) => {
            metrics.count_taken_up(label(error.unknown));
            let detail = format!(
                "resumes={first} origin={:?} stored={:?} replies={}/{} view_age={:?}",
                error.unknown, error.stored, error.replied, error.asked, error.view_age
            );
            Err(Refusal {
                retry_after: retry_after(&error),
                ..Refusal::new(Step::Resume, Reason::VersionUnknown, detail)
            })
        }
    }
}

/// When to retry, if more may be known by then.
fn retry_after(error: &OriginError) -> Option<Duration> {
    match error.unknown {
        UnknownOrigin::Isolated => Some(ISOLATED_RETRY_AFTER),
        UnknownOrigin::HistoryTooShort { .. } if error.may_learn_more() => {
            Some(LEARNING_RETRY_AFTER)
        }
        UnknownOrigin::HistoryTooShort { .. }
        | UnknownOrigin::NotRecorded
        | UnknownOrigin::Ambiguous => None,
    }
}

fn label(unknown: UnknownOrigin) -> &'static str {
    match unknown {
        UnknownOrigin::NotRecorded => "not_recorded",
        UnknownOrigin::Ambiguous => "ambiguous",
        UnknownOrigin::Isolated => "isolated",
        UnknownOrigin::HistoryTooShort { .. } => "history_too_short",
    }
}

/// Binds the request to the version of the replica that has answered with the first event, and records it, before the
/// event is forwarded.
pub fn note_begun(state: &GatewayState, context: &RequestContext, opened: &OpenAnswer) {
    if !context.is_resumable_stream() || !opened.answer.status().is_success() {
        return;
    }
    context.binding.set(VersionBinding::to(opened.software));
    let record = StreamRecord {
        service: service_digest(context.service()),
        version: opened.software,
        expires_at: context.deadline + RECORD_MARGIN,
        is_own: true,
    };
    let resumed = context.meta.last_event_id.as_ref();
    let resumed = resumed.and(context.meta.resumes.as_deref());
    if let Some(first) = resumed {
        log_event!(
            gateway::STREAM_TAKEN_UP,
            "request={} resumes={first} after={:?} version={:?}",
            context.id,
            context.meta.last_event_id,
            opened.software
        );
    }
    for id in [Some(context.id.as_str()), resumed].into_iter().flatten() {
        let key = context.stream_key(id);
        state.streams.record_own(key, record, state);
    }
}
