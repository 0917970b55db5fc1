//! Refusals: how a request that got no whole answer ends, and how that is told to its caller.

use std::time::Duration;

use anyhow::anyhow;
use driftspring_settings::MechanismSettings;
use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_types::{NotRunReason, Outcome, Peer, RequestId, RetrySafety, Step, StepError};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde::Serialize;

use super::headers;

/// When to ask again after a refusal that names no better time.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The final answer to a request that got no whole answer.
#[derive(Debug, thiserror::Error)]
#[error("{error}")]
pub struct Refusal {
    /// What the caller is told about whether the request ran.
    pub outcome: Outcome,
    /// What failed, where and why.
    pub error: StepError,
    /// The field or header of the request that is at fault.
    pub field: Option<String>,
    /// The reason as told to the caller in `code`.
    pub code: Option<NotRunReason>,
    /// The HTTP status.
    pub status: StatusCode,
}

impl Refusal {
    /// The request was not run, for `reason`; ask again after `retry_after`.
    pub fn not_run(reason: NotRunReason, retry_after: Duration, error: StepError) -> Self {
        Self {
            outcome: Outcome::NotRun {
                reason,
                retry_after,
            },
            error,
            field: None,
            code: Some(reason),
            status: status_of(reason),
        }
    }

    /// The request itself is at fault; repeating it unchanged is of no use.
    pub fn bad_request(step: Step, field: impl Into<String>, message: impl Into<String>) -> Self {
        let error = StepError::not_run(step, Peer::Caller, anyhow!(message.into()));
        let mut refusal = Self::not_run(NotRunReason::BadRequest, Duration::ZERO, error);
        refusal.field = Some(field.into());
        refusal
    }

    /// No engine is live for the model.
    pub fn no_engine(error: StepError) -> Self {
        Self::not_run(NotRunReason::NoEngine, DEFAULT_RETRY_AFTER, error)
    }

    /// An engine may have run the request.
    pub fn unknown(error: StepError) -> Self {
        Self {
            outcome: Outcome::Unknown {
                retry_after: DEFAULT_RETRY_AFTER,
            },
            error,
            field: None,
            code: None,
            status: StatusCode::BAD_GATEWAY,
        }
    }

    /// This submission was not run, but another one under the same key may have been.
    pub fn claimed_elsewhere(error: StepError) -> Self {
        let mut refusal = Self::unknown(error).with_status(StatusCode::CONFLICT);
        refusal.code = Some(NotRunReason::AlreadyClaimed);
        refusal
    }

    /// The same refusal under another HTTP status.
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// What the caller is told while outcomes are not classified, in experiments: "not run" always.
    pub fn classified(self, mechanisms: &MechanismSettings) -> Self {
        if mechanisms.classify_outcomes || self.reason().is_some() {
            return self;
        }
        let outcome = Outcome::NotRun {
            reason: NotRunReason::EnginesRefused,
            retry_after: DEFAULT_RETRY_AFTER,
        };
        Self { outcome, ..self }
    }

    /// Logs the refusal.
    pub fn log(&self, id: RequestId) {
        match &self.outcome {
            Outcome::Unknown { .. } => log_event!(
                pipeline::OUTCOME_UNKNOWN,
                "request={id} step={:?} peer=\"{}\" cause=\"{:#}\"",
                self.error.step,
                self.error.peer,
                self.error.cause
            ),
            _ => log_event!(
                pipeline::REQUEST_REFUSED,
                "request={id} step={:?} peer=\"{}\" status={} cause=\"{:#}\"",
                self.error.step,
                self.error.peer,
                self.status.as_u16(),
                self.error.cause
            ),
        }
    }

    /// The HTTP response.
    pub fn response(&self, id: RequestId) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status);
        builder.content_type("application/json");
        builder.header(headers::REQUEST_ID, id.to_string());
        if let Some(seconds) = self.retry_after_seconds() {
            builder.header("retry-after", seconds.to_string());
        }
        if self.closes_connection() {
            builder.force_close();
        }
        builder.body(self.json(id))
    }

    /// The event that ends a stream which can't be completed.
    pub fn stream_event(&self, id: RequestId) -> Bytes {
        Bytes::from(format!("data: {}\n\n", self.json(id)))
    }

    fn json(&self, id: RequestId) -> String {
        let body = ErrorBody {
            error: ErrorDetail::new(self, id),
        };
        // Texts and numbers only: writing them can't fail.
        serde_json::to_string(&body).unwrap_or_default()
    }

    fn reason(&self) -> Option<NotRunReason> {
        match self.outcome {
            Outcome::NotRun { reason, .. } => Some(reason),
            _ => None,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self.outcome {
            Outcome::NotRun { retry_after, .. } | Outcome::Unknown { retry_after } => {
                (!retry_after.is_zero()).then_some(retry_after)
            }
            Outcome::Completed => None,
        }
    }

    /// The header's whole seconds, rounded up.
    fn retry_after_seconds(&self) -> Option<u64> {
        let retry_after = self.retry_after()?;
        Some(retry_after.as_millis().div_ceil(1000) as u64)
    }

    /// A stopping daemon wants its callers elsewhere; a caller whose body was not read to its end can't
    /// use the connection again.
    fn closes_connection(&self) -> bool {
        self.reason() == Some(NotRunReason::Stopping)
            || self.status == StatusCode::PAYLOAD_TOO_LARGE
            || self.status == StatusCode::REQUEST_TIMEOUT
    }
}

fn status_of(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::BadRequest => StatusCode::BAD_REQUEST,
        NotRunReason::Unauthenticated => StatusCode::UNAUTHORIZED,
        NotRunReason::NoRoute => StatusCode::NOT_FOUND,
        NotRunReason::TenantLimit => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::AlreadyClaimed => StatusCode::CONFLICT,
        NotRunReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        NotRunReason::Overloaded
        | NotRunReason::NoEngine
        | NotRunReason::EnginesRefused
        | NotRunReason::NoClaimQuorum
        | NotRunReason::Stopping
        | NotRunReason::Starting => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The error in the shape of the OpenAI API, with the outcome added.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'a str>,
    code: Option<NotRunReason>,
    /// `not_run` or `unknown`.
    outcome: &'static str,
    /// Whether it is certain that no engine ran any part of the request.
    not_run: bool,
    retry_after_ms: Option<u64>,
    request_id: RequestId,
}

impl<'a> ErrorDetail<'a> {
    fn new(refusal: &'a Refusal, request_id: RequestId) -> Self {
        let not_run = matches!(refusal.outcome, Outcome::NotRun { .. });
        Self {
            message: format!("{:#}", refusal.error.cause),
            kind: kind_of(refusal.status),
            param: refusal.field.as_deref(),
            code: refusal.code,
            outcome: if not_run { "not_run" } else { "unknown" },
            not_run,
            retry_after_ms: refusal.retry_after().map(|time| time.as_millis() as u64),
            request_id,
        }
    }
}

/// The `type` that OpenAI clients expect beside a status.
fn kind_of(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        StatusCode::SERVICE_UNAVAILABLE => "overloaded_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

/// The refusal where `safety` tells whether the request ran.
pub fn refusal_of(error: StepError, reason: NotRunReason, retry_after: Duration) -> Refusal {
    match error.safety {
        RetrySafety::NotRun => Refusal::not_run(reason, retry_after, error),
        RetrySafety::MayHaveRun => Refusal::unknown(error),
    }
}
