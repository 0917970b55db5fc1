//! How a request ended, as told to its caller.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The final outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Completed,
    /// No engine ran any part of the request: repeating it is safe.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// How long the caller should wait before it asks again.
        retry_after: Duration,
    },
    /// An engine may have run the request, wholly or in part.
    Unknown {
        /// How long the caller should wait before it asks about the request again.
        retry_after: Duration,
    },
}

/// Why a request was not run. Said only where nothing was dispatched, or the engine itself said so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The request itself is at fault; repeating it unchanged is of no use.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthenticated,
    /// No route for this tenant and model.
    NoRoute,
    /// The tenant's rate or concurrency limit is reached.
    TenantLimit,
    /// The system as a whole is over its capacity.
    Overloaded,
    /// No engine is live for the model.
    NoEngine,
    /// Every engine tried refused before running.
    EnginesRefused,
    /// Another attempt holds the claim on this idempotency key.
    AlreadyClaimed,
    /// No quorum of claim holders could be reached.
    NoClaimQuorum,
    /// The caller's deadline passed before dispatch.
    DeadlinePassed,
    /// The daemon is stopping.
    Stopping,
    /// The daemon has no configuration yet.
    Starting,
}
