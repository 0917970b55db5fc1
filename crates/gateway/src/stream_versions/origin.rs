//! Decides at which version a stream began, from what gateways know of it.

use std::time::Duration;

use super::history::{VERSION_RETENTION, Versions};
use super::records::StreamRecord;
use crate::peers::view::MAX_INTERRUPTION;
use crate::protocol::SoftwareVersion;

/// How long ago a stream that is taken up can have begun.
pub const MAX_STREAM_AGE: Duration = VERSION_RETENTION;

/// How old the view of the replicas may be for a gateway to rely on the versions that it has seen. Gateways query each other
/// twice a second.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

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
    /// Nobody has a record of the stream, and it may have begun before the time since which the versions are known.
    HistoryTooShort {
        /// How far back they are known.
        span: Duration,
    },
}

/// The versions of a service that a gateway knows to have been in use, and when these were all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownVersions {
    /// The versions.
    pub versions: Versions,
    /// How far back they are known; zero for a gateway that does not say.
    pub span: Duration,
    /// The age of the gateway's view of the replicas, up to which they are known; `None` if it has none, or does not say.
    pub view_age: Option<Duration>,
}

impl KnownVersions {
    fn is_current(&self) -> bool {
        self.view_age.is_some_and(|age| age <= MAX_VIEW_AGE)
    }
}

/// What one gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Its record of the stream.
    pub record: Option<StreamRecord>,
    /// The versions of the service.
    pub known: KnownVersions,
}

/// What the asking gateway knows, and whom it has asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asker {
    /// The versions of the service.
    pub known: KnownVersions,
    /// Number of other gateways that it has asked.
    pub asked: usize,
}

/// Where the stream began, according to the replies of other gateways.
///
/// That nobody has a record shows that the stream began at the only version in use, but only if the versions are known for
/// as long as it can have run: gateways that have all just started have no records either.
///
/// # Errors
///
/// Its origin is not known for certain.
pub fn decide(asker: &Asker, replies: &[Knowledge]) -> Result<StreamOrigin, UnknownOrigin> {
    let records = replies.iter().filter_map(|reply| reply.record);
    if let Some(record) = records.reduce(StreamRecord::merge) {
        return of_record(&record);
    }
    // A gateway without a view could not have seen another version.
    let views = replies
        .iter()
        .filter(|reply| reply.known.view_age.is_some());
    let is_majority = views.count() * 2 > asker.asked;
    if !asker.known.is_current() && !is_majority {
        return Err(UnknownOrigin::Isolated);
    }
    let known = replies.iter().map(|reply| reply.known);
    let known: Vec<KnownVersions> = known.chain([asker.known]).collect();
    let Some(version) = sole_version(&known) else {
        return Err(UnknownOrigin::NotRecorded);
    };
    let span = joint_span(&known);
    match span >= MAX_STREAM_AGE {
        true => Ok(StreamOrigin::OnlyVersion(version)),
        false => Err(UnknownOrigin::HistoryTooShort { span }),
    }
}

/// The only version that anybody has seen.
fn sole_version(known: &[KnownVersions]) -> Option<SoftwareVersion> {
    let mut seen = known.iter().map(|known| known.versions);
    let sole = seen.try_fold(Versions::None, |known, other| match (known, other) {
        (Versions::None, other) => Some(other),
        (known, Versions::None) => Some(known),
        (known, other) => (known == other).then_some(known),
    });
    match sole {
        Some(Versions::One(version)) => Some(version),
        _ => None,
    }
}

/// How far back the versions are known without a gap by all together, from the most recent view on.
fn joint_span(known: &[KnownVersions]) -> Duration {
    let known = known.iter();
    let mut periods: Vec<(Duration, Duration)> = known
        .filter_map(|known| Some((known.view_age?, known.span)))
        .collect();
    periods.sort_unstable();
    let Some((_, first)) = periods.first().copied() else {
        return Duration::ZERO;
    };
    periods.into_iter().fold(first, |joint, (view_age, span)| {
        match view_age <= joint + MAX_INTERRUPTION {
            true => joint.max(span),
            false => joint,
        }
    })
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
