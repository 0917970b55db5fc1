//! Decides at which version a stream began, from what gateways know of it.

use super::history::Versions;
use super::records::StreamRecord;
use crate::protocol::SoftwareVersion;

/// Where a stream that is taken up began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamOrigin {
    /// According to its record.
    Recorded {
        /// The digest of the service's name.
        service: u64,
        /// The version.
        version: SoftwareVersion,
    },
    /// At the only version in use: no record was needed.
    OnlyVersion(SoftwareVersion),
}

/// Why it is not known at which version a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// Several versions are in use, and nobody has a record of the stream.
    NotRecorded,
    /// The gateway that relayed it could not tell the version, or the request's id was used for several streams.
    Ambiguous,
    /// Too few other gateways answer, and this one may have missed replicas of another version.
    Isolated,
}

/// What one gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Its record of the stream.
    pub record: Option<StreamRecord>,
    /// The versions of the service that it has seen.
    pub versions: Versions,
}

/// What the asking gateway knows, and whom it has asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asker {
    /// The versions of the service that it has seen.
    pub versions: Versions,
    /// Whether its view of the replicas is recent.
    pub is_current: bool,
    /// Number of other gateways that it has asked.
    pub asked: usize,
}

/// Where the stream began, according to the replies of other gateways.
///
/// # Errors
///
/// Its origin is not known for certain.
pub fn decide(asker: &Asker, replies: &[Knowledge]) -> Result<StreamOrigin, UnknownOrigin> {
    let records = replies.iter().filter_map(|reply| reply.record);
    if let Some(record) = records.reduce(StreamRecord::merge) {
        return of_record(&record);
    }
    let is_majority = replies.len() * 2 > asker.asked;
    if !asker.is_current && !is_majority {
        return Err(UnknownOrigin::Isolated);
    }
    let mut seen = replies.iter().map(|reply| reply.versions);
    let sole = seen.try_fold(asker.versions, |known, other| match (known, other) {
        (Versions::None, other) => Some(other),
        (known, Versions::None) => Some(known),
        (known, other) => (known == other).then_some(known),
    });
    match sole {
        Some(Versions::One(version)) => Ok(StreamOrigin::OnlyVersion(version)),
        _ => Err(UnknownOrigin::NotRecorded),
    }
}

/// Where the stream of this record began.
///
/// # Errors
///
/// The record does not name a version.
pub fn of_record(record: &StreamRecord) -> Result<StreamOrigin, UnknownOrigin> {
    match record.version {
        Some(version) => Ok(StreamOrigin::Recorded {
            service: record.service,
            version,
        }),
        None => Err(UnknownOrigin::Ambiguous),
    }
}
