//! Identifiers: one type per role, so that an engine's name can't be passed for a tenant's.

use std::fmt;
use std::sync::Arc;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// The longest name of a daemon, zone, tenant, route, model or engine, in bytes.
pub const MAX_NAME_BYTES: usize = 100;

/// Whether `text` may name something in settings and operators' statements: letters, digits, `.`, `_`
/// and `-`, [`MAX_NAME_BYTES`] at the most.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Declares a cheaply cloned text identifier.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
        )]
        #[serde(transparent)]
        #[musli(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text`, which is not checked here: settings and the operator language check it.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

/// Declares an ordered numeric identifier.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize,
            Deserialize, Encode, Decode,
        )]
        #[serde(transparent)]
        #[musli(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, formatter)
            }
        }
    };
}

text_id!(
    /// A tenant: the owner of requests, limits and cached prompt work.
    TenantId
);
text_id!(
    /// A model served by engines, as callers name it in `model`.
    ModelName
);
text_id!(
    /// One engine replica, stable over its restarts.
    EngineId
);
text_id!(
    /// One daemon's configured name, stable over its restarts.
    DaemonId
);
text_id!(
    /// A failure domain: machines that can be cut off together.
    ZoneName
);
text_id!(
    /// A caller's key that names one logical request over all its retries.
    IdempotencyKey
);
number_id!(
    /// One life of an engine or daemon process. A later life has a higher number; both sides use
    /// the start time in milliseconds since the Unix epoch.
    Incarnation
);
number_id!(
    /// The version of a model's weights. Cached work of one version is worthless for another.
    WeightsVersion
);
number_id!(
    /// A position in the object store's single order of accepted writes.
    Revision
);
number_id!(
    /// A number that rises with every acquisition of a lease; engines refuse orders under a lower one.
    FencingToken
);

/// One attempt of a caller to have a request served; a UUID version 7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Uuid);

impl RequestId {
    /// A new identifier that carries the present time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}
