//! The datagrams about streams that may be resumed ([`crate::stream_versions`]).

use std::time::Duration;

use driftspring_clock::Instant;
use musli::{Decode, Encode};

use super::convert::to_ms;
use crate::protocol::SoftwareVersion;
use crate::stream_versions::StreamKey;
use crate::stream_versions::history::Versions;
use crate::stream_versions::origin::{Knowledge, KnownVersions};
use crate::stream_versions::records::StreamRecord;

/// Limit of the time for which a record is kept, whatever its sender states.
const MAX_LIFETIME: Duration = Duration::from_secs(3600);

/// The version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireStream {
    /// The stream's key.
    pub key: u128,
    /// The digest of its service's name.
    pub service: u64,
    /// The digest of the version; none if it is not known for certain.
    pub version: Option<u64>,
    /// How much longer the record is needed, in milliseconds.
    pub lifetime_ms: u64,
}

/// Asks where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireStreamQuery {
    /// Copied into the reply.
    pub nonce: u64,
    /// The stream's key.
    pub key: u128,
    /// The digest of the name of the service that the request is to go to.
    pub service: u64,
}

/// The reply to [`WireStreamQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WireStreamReply {
    /// The nonce of the query.
    pub nonce: u64,
    /// The digest of the sender's name.
    pub daemon: u64,
    /// The sender's record of the stream.
    pub record: Option<WireStream>,
    /// The digest of the only version of the service that the sender has seen lately.
    pub sole_version: Option<u64>,
    /// Whether the sender has seen several versions of the service lately.
    pub has_several_versions: bool,
    /// How far back the sender knows all versions of the service, in milliseconds; none from a gateway of an earlier build.
    #[musli(default)]
    pub span_ms: Option<u64>,
    /// The age of the sender's view of the replicas, in milliseconds; none if it has none, and from a gateway of an earlier
    /// build.
    #[musli(default)]
    pub view_age_ms: Option<u64>,
}

impl WireStream {
    /// The record in its form for datagrams.
    pub fn new(key: StreamKey, record: &StreamRecord, now: Instant) -> Self {
        let lifetime = record.expires_at.saturating_duration_since(now);
        Self {
            key: key.number(),
            service: record.service,
            version: record.version.map(|version| version.0),
            lifetime_ms: to_ms(lifetime),
        }
    }

    /// The key and the record.
    pub fn to_record(&self, now: Instant) -> (StreamKey, StreamRecord) {
        let lifetime = Duration::from_millis(self.lifetime_ms).min(MAX_LIFETIME);
        let record = StreamRecord {
            service: self.service,
            version: self.version.map(SoftwareVersion),
            expires_at: now + lifetime,
            is_own: false,
        };
        (StreamKey::from_number(self.key), record)
    }
}

impl WireStreamReply {
    /// What the sender knows.
    pub fn knowledge(&self, now: Instant) -> Knowledge {
        let record = self.record.as_ref();
        let versions = match (self.sole_version, self.has_several_versions) {
            (_, true) => Versions::Several,
            (Some(version), false) => Versions::One(SoftwareVersion(version)),
            (None, false) => Versions::None,
        };
        Knowledge {
            record: record.map(|record| record.to_record(now).1),
            known: KnownVersions {
                versions,
                span: self.span_ms.map(Duration::from_millis).unwrap_or_default(),
                view_age: self.view_age_ms.map(Duration::from_millis),
            },
        }
    }
}
