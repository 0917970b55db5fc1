//! Idempotency keys and their time of issue.

use driftspring_types::{IdempotencyKey, TenantId};
use musli::{Decode, Encode};
use uuid::Uuid;

/// The request header that carries the key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The request header that carries the time of issue of a key that is no UUID version 7.
pub const ISSUED_AT_HEADER: &str = "x-idempotency-issued-at";

/// A wall-clock time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// The time `duration` later.
    pub fn plus(self, duration: std::time::Duration) -> Self {
        Self(self.0.saturating_add(duration_millis(duration)))
    }

    /// The time `duration` earlier.
    pub fn minus(self, duration: std::time::Duration) -> Self {
        Self(self.0.saturating_sub(duration_millis(duration)))
    }
}

fn duration_millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The name under which a claim is held: a hash of tenant and key, so that no tenant can block
/// another one's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct ClaimKey(u64);

impl ClaimKey {
    /// The claim key of a tenant's idempotency key.
    ///
    /// Two keys that share a hash exclude each other: a needless refusal, never a second run.
    pub fn new(tenant: &TenantId, key: &IdempotencyKey) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(tenant.as_str().len() as u64).to_le_bytes());
        hasher.update(tenant.as_str().as_bytes());
        hasher.update(key.as_str().as_bytes());
        let mut first_bytes = [0; 8];
        hasher.finalize_xof().fill(&mut first_bytes);
        Self::from_hash(u64::from_le_bytes(first_bytes))
    }

    /// The claim key with the given hash; 0 is mapped to 1, because it marks empty slots.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash.max(1))
    }

    /// The hash; never 0.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// A caller's idempotency key with the time at which it was issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuedKey {
    /// The key as the caller sent it.
    pub key: IdempotencyKey,
    /// When it was issued, by the issuer's clock. The same for every attempt under this key.
    pub issued_at: UnixMillis,
}

/// Why an idempotency key can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key carries no time of issue and the header for it is missing.
    #[error(
        "header {KEY_HEADER}: the key must be a UUID version 7, or header {ISSUED_AT_HEADER} must \
         give its time of issue in milliseconds since the Unix epoch"
    )]
    NoIssueTime,
    /// The header with the time of issue is no number.
    #[error("header {ISSUED_AT_HEADER}: expected milliseconds since the Unix epoch, got {0:?}")]
    InvalidIssueTime(String),
    /// The key is empty or too long.
    #[error("header {KEY_HEADER}: expected 1 to {MAX_KEY_BYTES} bytes, got {0}")]
    InvalidLength(usize),
}

/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

impl IssuedKey {
    /// Reads a key and its time of issue from the values of [`KEY_HEADER`] and
    /// [`ISSUED_AT_HEADER`]. The time inside a UUID version 7 goes first.
    pub fn parse(key: &str, issued_at: Option<&str>) -> Result<Self, KeyError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(KeyError::InvalidLength(key.len()));
        }
        let issued_at = match (uuid_time(key), issued_at) {
            (Some(time), _) => time,
            (None, Some(text)) => parse_time(text)?,
            (None, None) => return Err(KeyError::NoIssueTime),
        };
        Ok(Self {
            key: IdempotencyKey::from(key),
            issued_at,
        })
    }
}

fn uuid_time(key: &str) -> Option<UnixMillis> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != UUID_VERSION_WITH_TIME {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(UnixMillis(
        seconds * 1000 + u64::from(nanoseconds) / 1_000_000,
    ))
}

/// The UUID version whose first 48 bits are a Unix time.
const UUID_VERSION_WITH_TIME: usize = 7;

fn parse_time(text: &str) -> Result<UnixMillis, KeyError> {
    let millis = text.trim().parse();
    millis
        .map(UnixMillis)
        .map_err(|_| KeyError::InvalidIssueTime(text.to_owned()))
}
