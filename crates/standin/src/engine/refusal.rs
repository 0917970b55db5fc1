//! Refusals: nothing of the request was run.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde_json::json;

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RefusalKind {
    /// The caller relies on another life of the engine.
    IncarnationMismatch,
    /// The caller relies on other weights.
    WeightsMismatch,
    /// The queue is full.
    Overloaded,
    /// A planned stop has begun.
    Leaving,
    /// A drain order is in force.
    Draining,
    /// Weights are being loaded.
    Loading,
    /// The request itself is at fault.
    InvalidRequest(String),
    /// The request to be resumed or exported is not known.
    Unknown,
}

impl RefusalKind {
    fn status(&self) -> StatusCode {
        match self {
            Self::IncarnationMismatch | Self::WeightsMismatch => StatusCode::CONFLICT,
            Self::Overloaded | Self::Leaving | Self::Draining | Self::Loading => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::InvalidRequest(_) => StatusCode::BAD_REQUEST,
            Self::Unknown => StatusCode::NOT_FOUND,
        }
    }

    fn name(&self) -> &'static str {
        match self {
            Self::IncarnationMismatch => "incarnation_mismatch",
            Self::WeightsMismatch => "weights_mismatch",
            Self::Overloaded => "overloaded",
            Self::Leaving => "leaving",
            Self::Draining => "draining",
            Self::Loading => "loading",
            Self::InvalidRequest(_) => "invalid_request",
            Self::Unknown => "unknown_request",
        }
    }

    fn message(&self) -> &str {
        match self {
            Self::IncarnationMismatch => "this is another life of the engine",
            Self::WeightsMismatch => "the engine has other weights",
            Self::Overloaded => "the queue is full",
            Self::Leaving => "the engine is stopping",
            Self::Draining => "the engine is drained",
            Self::Loading => "weights are being loaded",
            Self::InvalidRequest(message) => message,
            Self::Unknown => "no such request",
        }
    }

    /// When to ask again.
    fn retry_after_ms(&self) -> u64 {
        match self {
            Self::IncarnationMismatch | Self::WeightsMismatch => 0,
            Self::Overloaded => 250,
            Self::Leaving | Self::Draining | Self::Loading => 1_000,
            Self::InvalidRequest(_) | Self::Unknown => 0,
        }
    }
}

/// A refusal together with what the engine is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) kind: RefusalKind,
    pub(crate) incarnation: u64,
    pub(crate) weights_version: u64,
}

impl Refusal {
    /// The response that tells of it.
    pub(crate) fn response(&self) -> HttpResponse {
        HttpResponse::build(self.kind.status())
            .header("x-engine-incarnation", self.incarnation.to_string())
            .header("x-weights-version", self.weights_version.to_string())
            .json(&json!({"error": {
                "message": self.kind.message(),
                "type": self.kind.name(),
                "ran": false,
                "retry_after_ms": self.kind.retry_after_ms(),
                "incarnation": self.incarnation,
                "weights_version": self.weights_version,
            }}))
    }
}
