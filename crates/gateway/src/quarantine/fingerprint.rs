//! Identifies all attempts of the same request, and all requests with the same part in their prompts.

use std::fmt;
use std::str::FromStr;

use http::Method;

/// The length of a fingerprint in bytes. With 128 bits of a cryptographic hash no caller can construct a
/// second request with the same fingerprint, and so none can get another caller's request quarantined.
const BYTES: usize = 16;

/// The first bytes of the fingerprints of prompt parts. A request's fingerprint begins so by chance once in 2^32; it is
/// then only judged like a part.
const PART_TAG: [u8; 4] = *b"part";

/// Separates the digests of parts from those of requests.
const PART_CONTEXT: &str = "driftspring gateway quarantine prompt part";

/// A digest of a request's method, host, path, caller and body, or of a part of prompts. The id and the other headers of
/// a request are left out: a caller that retries uses a new id.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request; `caller` is the tenant, empty if there is none.
    pub fn new(method: &Method, host: &str, path: &str, caller: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [method.as_str(), host, path, caller] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(body);
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..BYTES]);
        Self(bytes)
    }

    /// Computes the fingerprint of a part of prompts for `model`. Parts of the same name are equal among all callers that
    /// share a cache `partition`.
    pub fn of_part(partition: &str, model: &str, part: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(PART_CONTEXT);
        for field in [partition, model, part] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..BYTES]);
        bytes[..PART_TAG.len()].copy_from_slice(&PART_TAG);
        Self(bytes)
    }

    /// Whether it identifies a part of prompts rather than a request.
    pub fn is_part(self) -> bool {
        self.0.starts_with(&PART_TAG)
    }

    /// Converts from the number that gateways exchange.
    pub fn from_number(number: u128) -> Self {
        Self(number.to_be_bytes())
    }

    /// The fingerprint as a number.
    pub fn number(self) -> u128 {
        u128::from_be_bytes(self.0)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.number())
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// The text does not represent a fingerprint.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{0:?} is not a fingerprint: expected 32 hexadecimal digits")]
pub struct InvalidFingerprint(String);

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_well_formed = text.len() == BYTES * 2 && !text.starts_with('+');
        let number = u128::from_str_radix(text, 16).ok();
        number
            .filter(|_| is_well_formed)
            .map(Self::from_number)
            .ok_or_else(|| InvalidFingerprint(text.to_owned()))
    }
}
