//! Names of the headers between driftspring and engines.

/// Names the request for resume and cancel.
pub const REQUEST_ID: &str = "x-request-id";
/// The urgency of the request, 0 to 9, 9 first.
pub const PRIORITY: &str = "x-priority";
/// The scope of cached work.
pub const CACHE_SALT: &str = "x-cache-salt";
/// `false`: the request starts cold.
pub const USE_CACHE: &str = "x-use-cache";
/// The engine refuses unless this is its own incarnation.
pub const EXPECT_INCARNATION: &str = "x-expect-incarnation";
/// The engine refuses unless this is its own weights version.
pub const EXPECT_WEIGHTS: &str = "x-expect-weights";
/// The caller's key, for the engine's run log only.
pub const IDEMPOTENCY_KEY: &str = "x-idempotency-key";
/// The tenant, for the engine's run log only.
pub const TENANT: &str = "x-tenant";

/// The incarnation of the engine that answers.
pub const ENGINE_INCARNATION: &str = "x-engine-incarnation";
/// The weights version of the engine that answers.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// Prompt tokens that the engine took from its cache.
pub const CACHED_TOKENS: &str = "x-cached-tokens";
/// The engine's report sequence at the time of the answer.
pub const REPORT_SEQUENCE: &str = "x-report-sequence";
/// The engine's load: `running,queued,pending_prefill_tokens`.
pub const LOAD: &str = "x-load";
