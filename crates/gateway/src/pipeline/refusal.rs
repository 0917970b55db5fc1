//! The gateway's own answers, and what they promise.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use http::StatusCode;
use ntex::http::ResponseBuilder;
use ntex::web::HttpResponse;
use serde::Serialize;

use super::account::RequestTracker;
use crate::state::GatewayState;

/// Step of the path at which a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reading the head.
    Decode,
    /// Finding the route.
    Route,
    /// Checking the key.
    Authenticate,
    /// Checking the tenant's quota.
    Quota,
    /// Checking the tenant's share of an overloaded service.
    Share,
    /// Reading the body.
    Body,
    /// Finding out where a stream that is taken up began.
    Resume,
    /// Choosing a replica.
    Choose,
    /// Sending the request.
    Dispatch,
    /// Reading the answer.
    Answer,
}

/// Why a request is not answered by a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The head can't be read.
    MalformedHead,
    /// The head is too large.
    HeadTooLarge,
    /// The caller's version of HTTP can't carry the answer.
    UnsupportedVersion,
    /// There is no such route.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// It exceeds its tenant's quota for now.
    OverQuota,
    /// It is larger than its tenant's quota ever allows.
    BeyondQuota,
    /// The service is overloaded, and its tenant asks for more than its share.
    OverShare,
    /// The body is too large.
    BodyTooLarge,
    /// The body had not arrived when the request's time was over.
    BodyTooSlow,
    /// The body broke off, or is malformed.
    BrokenBody,
    /// No configuration is known, or it is not known to be current.
    NotInformed,
    /// A planned stop is nearly over.
    Stopping,
    /// The route has no replica that could serve it.
    NoReplica,
    /// Every replica that could serve it has asked for a pause.
    Paused,
    /// It would begin at no replica before its caller gives it up.
    Overloaded,
    /// Neither this gateway nor another one reaches a replica that could serve it.
    Unreachable,
    /// The replicas that were asked are full or leaving, and have not run it.
    NotRun,
    /// It crashed the replicas that ran it, and is sent to none any more.
    Quarantined,
    /// It takes up a stream that began at a software version that is not known here.
    VersionUnknown,
    /// It takes up a stream, and no replica of the software version that began it is left.
    VersionGone,
    /// It may have run.
    Unknown,
    /// Its time is over.
    TimedOut,
}

/// When a caller should retry if this gateway can't serve it for lack of a proof: at once, since its next connection
/// goes to another gateway, which usually has one.
const NOT_INFORMED_RETRY_AFTER: Duration = Duration::from_millis(10);

/// When a caller should retry if no replica of its stream's version is left: replicas that have crashed are back within
/// seconds.
const VERSION_GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Reason {
    /// Status that callers receive. 429, 503, 408 and 421 promise that the request never runs.
    fn status(self) -> StatusCode {
        match self {
            Self::MalformedHead | Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota | Self::BeyondQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NotInformed
            | Self::Stopping
            | Self::NoReplica
            | Self::Unreachable
            | Self::Paused
            | Self::Overloaded
            | Self::OverShare
            | Self::NotRun
            | Self::VersionUnknown
            | Self::VersionGone
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the request has certainly not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Unknown | Self::TimedOut)
    }

    /// Explanation in the body, for refusals that the status does not explain.
    fn explanation(self) -> Option<Explanation> {
        match self {
            Self::Quarantined => Some(Explanation::new(
                "request_quarantined",
                "Replicas that ran this request, or others with a part of its prompt, have ended, so no replica gets it \
                 any more. It was not run this time. \
                 Coming again does not help; an operator can release it.",
            )),
            Self::VersionUnknown => Some(Explanation::new(
                "stream_origin_unknown",
                "The software version that began this stream is not known, so it can't go on. It was not run. \
                 Without Last-Event-Id the request begins a new stream.",
            )),
            Self::VersionGone => Some(Explanation::new(
                "stream_version_gone",
                "No replica of the software version that began this stream is left, so it can't go on now. \
                 It was not run. Without Last-Event-Id the request begins a new stream.",
            )),
            _ => None,
        }
    }

    /// When the caller should retry, if that can help.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Stopping => Some(Duration::ZERO),
            Self::NotInformed => Some(NOT_INFORMED_RETRY_AFTER),
            Self::NoReplica => Some(Duration::from_millis(250)),
            Self::NotRun => Some(Duration::from_millis(120)),
            Self::VersionGone => Some(VERSION_GONE_RETRY_AFTER),
            _ => None,
        }
    }
}

/// Body of an answer with an explanation.
#[derive(Debug, Serialize)]
struct Explanation {
    error: ErrorBody,
}

#[derive(Debug, Serialize)]
struct ErrorBody {
    #[serde(rename = "type")]
    kind: &'static str,
    message: &'static str,
    not_run: bool,
}

impl Explanation {
    fn new(kind: &'static str, message: &'static str) -> Self {
        Self {
            error: ErrorBody {
                kind,
                message,
                not_run: true,
            },
        }
    }
}

/// Filter: refuses requests that arrive when a planned stop is nearly over.
pub fn refuse_while_stopping(state: &GatewayState) -> Result<(), Refusal> {
    match state.status.is_refusing_requests() {
        true => Err(Refusal::new(Step::Decode, Reason::Stopping, "stopping")),
        false => Ok(()),
    }
}

/// An answer of the gateway itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Step that refused the request.
    pub step: Step,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Replica that it concerns.
    pub peer: Option<SocketAddr>,
    /// Details for the logs.
    pub detail: String,
    /// Estimated delay after which the caller should retry; if there is none, the reason's default applies.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that concerns no replica.
    pub fn new(step: Step, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            step,
            reason,
            peer: None,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Whether the caller should use another connection although this one could carry its next request: that would be
    /// refused too.
    fn closes_connection(&self) -> bool {
        self.reason == Reason::NotInformed
    }

    /// Converts the refusal into an answer, logs it and records it in the tracker. `has_whole_body` says whether the body
    /// was read to its end; otherwise the connection can't be used again.
    pub fn into_response(
        self,
        state: &GatewayState,
        tracker: &mut RequestTracker,
        has_whole_body: bool,
    ) -> HttpResponse {
        let status = self.reason.status();
        let retry_after = self.retry_after.or(self.reason.retry_after());
        log_event!(
            gateway::CALLER_REFUSED,
            "request={} route={} status={} step={:?} reason={:?} peer={:?} retry_after={:?} elapsed={:?} detail={:?}",
            tracker.id(),
            tracker.route(),
            status.as_u16(),
            self.step,
            self.reason,
            self.peer,
            retry_after,
            tracker.arrived_at().elapsed(),
            self.detail
        );
        tracker.record_refusal();
        match self.reason {
            Reason::Overloaded => drop(state.status.metrics.overloaded.inc()),
            Reason::Paused => drop(state.status.metrics.paused.inc()),
            Reason::OverQuota | Reason::BeyondQuota => drop(state.status.metrics.over_quota.inc()),
            _ => {}
        }
        let mut builder = ResponseBuilder::new(status);
        if !tracker.id().is_empty() {
            let header = state.platform.request_id_header();
            builder.header(header, tracker.id());
        }
        if let Some(time) = retry_after {
            builder.header("retry-after", format!("{:.3}", time.as_secs_f64()));
        }
        if !has_whole_body || self.closes_connection() {
            builder.force_close();
        }
        match self.reason.explanation() {
            Some(explanation) => builder.json(&explanation),
            None => builder.finish(),
        }
    }
}
