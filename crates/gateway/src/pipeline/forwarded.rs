//! Serves a request that another gateway forwards, because it can't reach the replicas.
//!
//! Route and key are checked again, by this gateway's configuration: the key may have been revoked meanwhile. The tenant's
//! quota and share were charged by the other gateway, which also resumes broken streams.

use std::rc::Rc;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::attempts::{Attempt, Attempts, Responder};
use super::authorize::authorize;
use super::check_quarantine::note_survived;
use super::choose_replica::Choice;
use super::context::{self, RequestContext};
use super::decode::{self, Decoded, is_hop_by_hop};
use super::dispatch::OpenAnswer;
use super::event_splitter::EventEnds;
use super::refusal::{Reason, Refusal, Step};
use super::take_stream_up;
use super::time_limits::DEADLINE_GRACE;
use super::unended::note_endless;
use super::withdrawal::until_weights_too_old;
use crate::authorization::Destination;
use crate::forwarding::hop::{DeclineReason, HopOutcome, HopRequest};
use crate::held_bytes::Charge;
use crate::protocol::{ReplicaIncarnation, SoftwareVersion};
use crate::state::GatewayState;
use crate::stream_versions::VersionBinding;
use crate::upstream::AnswerError;

/// Why a forwarded request gets no answer of a replica.
#[derive(Debug)]
pub struct ForwardedRefusal {
    /// The request's id; empty if it could not be read.
    pub id: String,
    /// What the other gateway is told.
    pub outcome: HopOutcome,
    /// Details for the logs.
    pub detail: String,
}

/// The answer of a replica to a forwarded request.
pub struct ForwardedAnswer {
    state: Rc<GatewayState>,
    context: Rc<RequestContext>,
    opened: OpenAnswer,
    choice: Box<Choice>,
    from: String,
    arrived_at: Instant,
    event_ends: EventEnds,
    is_finished: bool,
}

/// Sends the request to a replica and waits for the head of its answer.
pub async fn serve_forwarded(
    state: &Rc<GatewayState>,
    head: Parts,
    hop: HopRequest,
    body: Incoming,
    arrived_at: Instant,
) -> Result<ForwardedAnswer, ForwardedRefusal> {
    let mut id = String::new();
    let served = serve(state, head, &hop, body, arrived_at, &mut id).await;
    served.map_err(|refusal| ForwardedRefusal {
        id,
        outcome: outcome(&refusal),
        detail: refusal.detail,
    })
}

async fn serve(
    state: &Rc<GatewayState>,
    head: Parts,
    hop: &HopRequest,
    body: Incoming,
    arrived_at: Instant,
    id: &mut String,
) -> Result<ForwardedAnswer, Refusal> {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut decoded = decode::decode_head(state, &head.method, path, &head.headers)?;
    id.clone_from(&decoded.id);
    log_event!(
        gateway::FORWARDED_TAKEN,
        "request={id} from={} service={} left={:?}",
        hop.from,
        hop.service,
        hop.time_left
    );
    decoded.meta.deadline = Some(hop.time_left);
    decoded.meta.key.clone_from(&hop.key);
    let authorized = authorize(state, &decoded, arrived_at).await;
    let authorization = authorized.map_err(|unauthorized| unauthorized.refusal)?;
    let destination = authorization.to_service(&hop.service).ok_or_else(|| {
        let detail = format!("the route has no service {}", hop.service);
        Refusal::new(Step::Route, Reason::NotInformed, detail)
    })?;
    let deadline = arrived_at + context::time_limits(&decoded, authorization.route()).deadline();
    let left = deadline.saturating_duration_since(Instant::now());
    let charge = Charge::new(&state.held_bytes);
    let limit = authorization.configuration().limits.max_body_bytes;
    let reading = tokio::time::timeout(left, Limited::new(body, limit).collect()).await;
    let broken = |detail: String| Refusal::new(Step::Body, Reason::BrokenBody, detail);
    let body = reading
        .map_err(|_| broken("the body is not here in the request's time".to_owned()))?
        .map_err(|error| broken(error.to_string()))?
        .to_bytes();
    charge.add(body.len()).await;
    let binding = match hop.software {
        Some(version) => VersionBinding::Bound(version),
        None => bind_unbound(state, &decoded, destination.clone(), hop).await?,
    };
    let mut context = RequestContext::new(decoded, destination, body, arrived_at);
    context.body_charge = Some(charge);
    context.binding.set(binding);
    let context = Rc::new(context);
    let attempt = open(state, &context, hop).await?;
    let Attempt {
        opened,
        responder: Responder::Replica(choice),
    } = attempt
    else {
        return Err(Refusal::new(
            Step::Dispatch,
            Reason::Unknown,
            "answered by another gateway",
        ));
    };
    Ok(ForwardedAnswer {
        state: Rc::clone(state),
        context,
        opened,
        choice,
        from: hop.from.clone(),
        arrived_at,
        event_ends: EventEnds::default(),
        is_finished: false,
    })
}

/// The binding of a request that states none. A gateway of an earlier build states none for resumed streams either.
async fn bind_unbound(
    state: &Rc<GatewayState>,
    decoded: &Decoded,
    destination: Destination,
    hop: &HopRequest,
) -> Result<VersionBinding, Refusal> {
    let is_resumed = decoded.meta.last_event_id.is_some() || hop.last_event_id.is_some();
    if !is_resumed || !destination.authorization().route().is_resumable {
        return Ok(VersionBinding::Free);
    }
    let (began_at, binding) = take_stream_up::bind(state, decoded, destination).await?;
    match began_at.service() == hop.service {
        true => Ok(binding),
        false => {
            let detail = "the stream began at another service";
            Err(Refusal::new(Step::Resume, Reason::VersionGone, detail))
        }
    }
}

async fn open(
    state: &Rc<GatewayState>,
    context: &Rc<RequestContext>,
    hop: &HopRequest,
) -> Result<Attempt, Refusal> {
    let tried = hop.tried.iter().filter_map(|id| state.registry.get(id));
    let tried: Vec<ReplicaIncarnation> = tried.map(|replica| replica.incarnation.clone()).collect();
    let mut attempts = Attempts::for_forwarded(state, context, tried);
    let limit = context.time_left() + DEADLINE_GRACE;
    let opening = attempts.next(hop.last_event_id.as_deref());
    let opened = tokio::time::timeout(limit, opening).await;
    opened.map_err(|_| {
        Refusal::new(
            Step::Answer,
            Reason::TimedOut,
            "no answer in the request's time",
        )
    })?
}

impl ForwardedAnswer {
    /// The id of the replica.
    pub fn replica(&self) -> &str {
        self.choice.replica.id()
    }

    /// The version of the replica's software, if that is known for certain.
    pub fn software(&self) -> Option<SoftwareVersion> {
        self.opened.software
    }

    /// Takes the status and the headers that are forwarded.
    pub fn take_head(&mut self) -> (StatusCode, HeaderMap) {
        let all = self.opened.answer.take_headers();
        let mut headers = HeaderMap::with_capacity(all.len());
        for (name, value) in &all {
            if !is_hop_by_hop(name) {
                headers.append(name.clone(), value.clone());
            }
        }
        (self.opened.answer.status(), headers)
    }

    /// The next bytes of the body, or `None` at its end. A request that has not begun when its replica's weights become
    /// too old is withdrawn.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        let has_begun = self.opened.has_begun();
        let read = tokio::select! {
            biased;
            read = self.opened.answer.next() => read.map_err(|error| {
                if let AnswerError::Endless(endless) = &error {
                    note_endless(&self.choice.replica, endless);
                }
                error.to_string()
            }),
            () = until_weights_too_old(&self.state, &self.context, &self.choice), if !has_begun => {
                Err("the weights of its replica have become too old".to_owned())
            }
        };
        self.opened.record_activity();
        match &read {
            Ok(Some(piece)) => {
                if self.event_ends.is_in(piece) {
                    self.opened.answer.note_progress();
                }
                self.opened
                    .note_begun(&self.state, &self.context, &self.choice);
            }
            Ok(None) => {
                self.opened
                    .note_begun(&self.state, &self.context, &self.choice);
                note_survived(&self.state, &self.context);
                self.choice.replica.health.record_whole_answer();
                self.finish("complete");
            }
            Err(cause) => {
                let outcome = format!("broke off: {cause}");
                self.finish(&outcome);
            }
        }
        read
    }

    fn finish(&mut self, outcome: &str) {
        self.is_finished = true;
        log_event!(
            gateway::FORWARDED_ENDED,
            "request={} from={} replica={} status={} outcome={outcome:?} elapsed={:?}",
            self.context.id,
            self.from,
            self.replica(),
            self.opened.answer.status().as_u16(),
            self.arrived_at.elapsed()
        );
    }
}

impl Drop for ForwardedAnswer {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish("the other gateway has left");
        }
    }
}

/// What the other gateway is told of a refusal.
fn outcome(refusal: &Refusal) -> HopOutcome {
    let reason = match refusal.reason {
        reason if !reason.is_not_run() => return HopOutcome::Unknown,
        Reason::Stopping => DeclineReason::NoRoom,
        Reason::NotInformed | Reason::NoRoute | Reason::UnknownKey | Reason::BodyTooLarge => {
            DeclineReason::Configuration
        }
        Reason::Unreachable => DeclineReason::Unreachable,
        Reason::Overloaded => DeclineReason::Overloaded,
        Reason::Paused => DeclineReason::Paused,
        Reason::Quarantined => DeclineReason::Quarantined,
        Reason::VersionGone => DeclineReason::VersionGone,
        _ => DeclineReason::NotRun,
    };
    HopOutcome::NotRun {
        reason,
        retry_after: refusal.retry_after,
    }
}
