//! Failures of calls to engines, and what they say about whether the request ran.

use std::time::Duration;

use driftspring_types::{Incarnation, RetrySafety, WeightsVersion};
use ntex::client::error::{ClientError, ConnectError};
use serde::Deserialize;

/// Why an engine refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The engine lives another life than the dispatch relied on.
    IncarnationMismatch,
    /// The engine has other weights than the dispatch relied on.
    WeightsMismatch,
    /// It has too much to do.
    Overloaded,
    /// It is stopping.
    Leaving,
    /// It is loading weights.
    Loading,
    /// The request itself is at fault.
    InvalidRequest,
    /// A kind that this version does not know.
    #[serde(other)]
    Other,
}

/// An engine's own statement that it did not run a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind:?}: {message}")]
pub struct EngineRefusal {
    /// Why it refused.
    pub kind: RefusalKind,
    /// The engine's own words.
    pub message: String,
    /// How long to wait before asking this engine again.
    pub retry_after: Option<Duration>,
    /// The engine's present life.
    pub incarnation: Option<Incarnation>,
    /// The engine's present weights.
    pub weights_version: Option<WeightsVersion>,
}

/// A failed call to an engine. It carries texts, not the client's own errors, which can't leave
/// their thread.
#[derive(Debug, Clone, thiserror::Error)]
pub enum EngineError {
    /// No connection was opened, so the engine never saw the call.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The engine said that it did not run the request.
    #[error("refused: {0}")]
    Refused(EngineRefusal),
    /// The engine answered with an error that leaves open whether it ran the request.
    #[error("HTTP status {status}: {body}")]
    UnexpectedStatus {
        /// The status code.
        status: u16,
        /// The start of the answer's body.
        body: String,
    },
    /// The connection broke after it was opened.
    #[error("connection broke: {0}")]
    Broken(String),
    /// Nothing came within this time.
    #[error("nothing came for {0:?}")]
    TimedOut(Duration),
    /// The answer does not follow the protocol.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl EngineError {
    /// Whether the call may have had its effect.
    pub fn safety(&self) -> RetrySafety {
        match self {
            Self::NotConnected(_) | Self::Refused(_) => RetrySafety::NotRun,
            _ => RetrySafety::MayHaveRun,
        }
    }

    /// The error of a call that failed in the HTTP client.
    pub(super) fn from_client(error: ClientError) -> Self {
        match error {
            // The client also reports this where the peer closed before answering.
            ClientError::Connect(ConnectError::Disconnected(None)) => {
                Self::Broken("closed before answering".to_owned())
            }
            ClientError::Connect(error) => Self::NotConnected(error.to_string()),
            ClientError::Url(error) => Self::NotConnected(error.to_string()),
            other => Self::Broken(other.to_string()),
        }
    }

    /// The error of an answer with a status other than success.
    pub(super) fn from_answer(status: u16, body: &[u8]) -> Self {
        match serde_json::from_slice::<RefusalAnswer>(body) {
            Ok(answer) if answer.error.ran == Some(false) => Self::Refused(answer.error.into()),
            _ => Self::UnexpectedStatus {
                status,
                body: shortened(body),
            },
        }
    }
}

/// The start of `body` as text, for messages.
fn shortened(body: &[u8]) -> String {
    const SHOWN_BYTES: usize = 200;
    let end = body.len().min(SHOWN_BYTES);
    String::from_utf8_lossy(&body[..end]).into_owned()
}

/// The JSON of a refusal.
#[derive(Debug, Deserialize)]
struct RefusalAnswer {
    error: RefusalBody,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    #[serde(default)]
    message: String,
    #[serde(rename = "type")]
    kind: RefusalKind,
    ran: Option<bool>,
    retry_after_ms: Option<u64>,
    incarnation: Option<Incarnation>,
    weights_version: Option<WeightsVersion>,
}

impl From<RefusalBody> for EngineRefusal {
    fn from(body: RefusalBody) -> Self {
        Self {
            kind: body.kind,
            message: body.message,
            retry_after: body.retry_after_ms.map(Duration::from_millis),
            incarnation: body.incarnation,
            weights_version: body.weights_version,
        }
    }
}
