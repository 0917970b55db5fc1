//! The headers between callers and driftspring, and reading them.

use std::time::Duration;

use driftspring_claims::IssuedKey;
use driftspring_types::{IdempotencyKey, RequestId, Step};
use ntex::http::HeaderMap;
use uuid::Uuid;

use super::refusal::Refusal;

/// Names one attempt; a UUID. The caller may choose it, anew for each attempt.
pub const REQUEST_ID: &str = "x-request-id";
/// Names one logical request over all its attempts.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// When the key was issued, in milliseconds since the Unix epoch; not needed for a UUID version 7.
pub const ISSUED_AT: &str = "x-idempotency-issued-at";
/// `false`: the request may run at most once.
pub const REPEATABLE: &str = "x-repeatable";
/// The time from now within which the answer is of use, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The urgency, 0 to 9, 9 first.
pub const PRIORITY: &str = "x-priority";
/// The engine that answers.
pub const ENGINE: &str = "x-engine";

pub use driftspring_external::engine::headers::{
    CACHED_TOKENS, ENGINE_INCARNATION, WEIGHTS_VERSION,
};

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The longest deadline; longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
/// The highest priority.
const MAX_PRIORITY: u8 = 9;

/// The caller's key of a logical request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Idempotency {
    /// The key.
    pub key: IdempotencyKey,
    /// When it was issued, in milliseconds since the Unix epoch, where the caller or the key says so.
    pub issued_at_ms: Option<u64>,
}

/// What a caller's headers ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The key of the logical request.
    pub idempotency: Option<Idempotency>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The time within which the answer is of use.
    pub deadline: Option<Duration>,
    /// The urgency, 0 to 9.
    pub priority: Option<u8>,
}

impl CallerHeaders {
    /// Reads the headers; an unreadable one is refused by its name.
    pub fn read(map: &HeaderMap) -> Result<Self, Refusal> {
        let headers = Self {
            idempotency: idempotency(map)?,
            repeatable: parsed(map, REPEATABLE, "true or false")?.unwrap_or(true),
            deadline: parsed(map, DEADLINE_MS, "a number of milliseconds")?
                .map(|milliseconds| Duration::from_millis(milliseconds).min(MAX_DEADLINE)),
            priority: parsed(map, PRIORITY, "a number from 0 to 9")?,
        };
        if headers
            .priority
            .is_some_and(|priority| priority > MAX_PRIORITY)
        {
            return Err(malformed(PRIORITY, "a number from 0 to 9"));
        }
        Ok(headers)
    }
}

/// The caller's identifier of this attempt, or a new one where it named none that is a UUID.
pub fn request_id(map: &HeaderMap) -> RequestId {
    text(map, REQUEST_ID)
        .and_then(|text| Uuid::try_parse(text).ok())
        .map_or_else(RequestId::generate, RequestId)
}

/// The text of the header `name`, where it is ASCII.
pub fn text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

fn idempotency(map: &HeaderMap) -> Result<Option<Idempotency>, Refusal> {
    let Some(value) = map.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let expected = "1 to 256 ASCII characters";
    let key = value
        .to_str()
        .ok()
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)
        .ok_or_else(|| malformed(IDEMPOTENCY_KEY, expected))?;
    let named = parsed(map, ISSUED_AT, "milliseconds since the Unix epoch")?;
    Ok(Some(Idempotency {
        key: IdempotencyKey::from(key),
        // The time inside the key goes first: it is the same in every attempt.
        issued_at_ms: time_of_uuid(key).or(named),
    }))
}

/// The time in a UUID version 7, in milliseconds since the Unix epoch.
fn time_of_uuid(key: &str) -> Option<u64> {
    let issued = IssuedKey::parse(key, None).ok()?;
    Some(issued.issued_at.0)
}

fn parsed<T: std::str::FromStr>(
    map: &HeaderMap,
    name: &'static str,
    expected: &str,
) -> Result<Option<T>, Refusal> {
    let Some(value) = map.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| malformed(name, expected))?;
    let value = text.trim().parse().map_err(|_| malformed(name, expected))?;
    Ok(Some(value))
}

fn malformed(name: &'static str, expected: &str) -> Refusal {
    let message = format!("header `{name}` must be {expected}");
    Refusal::bad_request(Step::Decode, name, message)
}
