//! The headers of a forwarded request and of its answer.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::protocol::SoftwareVersion;

const TOKEN: HeaderName = HeaderName::from_static("forward-token");
const FROM: HeaderName = HeaderName::from_static("forward-from");
const SERVICE: HeaderName = HeaderName::from_static("forward-service");
const KEY: HeaderName = HeaderName::from_static("forward-key");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("forward-time-left-ms");
const TRIED: HeaderName = HeaderName::from_static("forward-tried");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("forward-last-event-id");
const SOFTWARE: HeaderName = HeaderName::from_static("forward-software");
const OUTCOME: HeaderName = HeaderName::from_static("forward-outcome");
const REPLICA: HeaderName = HeaderName::from_static("forward-replica");
const REASON: HeaderName = HeaderName::from_static("forward-reason");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("forward-retry-after-ms");

/// All headers of a hop; those that a caller or a replica sends under these names are not passed on.
const ALL: [HeaderName; 12] = [
    TOKEN,
    FROM,
    SERVICE,
    KEY,
    TIME_LEFT_MS,
    TRIED,
    LAST_EVENT_ID,
    SOFTWARE,
    OUTCOME,
    REPLICA,
    REASON,
    RETRY_AFTER_MS,
];

/// What a gateway tells another one about a request that it forwards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HopRequest {
    /// The token of the other gateway's offer.
    pub token: u128,
    /// The name of the forwarding gateway.
    pub from: String,
    /// The service that the request goes to.
    pub service: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// The time that the request has left.
    pub time_left: Duration,
    /// Ids of the replicas that have been tried.
    pub tried: Vec<String>,
    /// The id of the last event that the caller has; the stream resumes after it.
    pub last_event_id: Option<String>,
    /// The only software version that may run the request.
    pub software: Option<SoftwareVersion>,
}

/// Why a request is not accepted from another gateway.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    /// A header is missing.
    #[error("{0} is missing")]
    Missing(HeaderName),
    /// A header can't be parsed.
    #[error("{0} can't be read")]
    Malformed(HeaderName),
}

impl HopRequest {
    /// Adds the headers. A value that is not valid in a header is an error.
    ///
    /// # Errors
    ///
    /// Names the header.
    pub fn write(&self, headers: &mut HeaderMap) -> Result<(), HopError> {
        remove_all(headers);
        let mut set = |name: HeaderName, value: &str| match HeaderValue::from_str(value) {
            Ok(value) => {
                headers.insert(name, value);
                Ok(())
            }
            Err(_) => Err(HopError::Malformed(name)),
        };
        set(TOKEN, &format!("{:032x}", self.token))?;
        set(FROM, &self.from)?;
        set(SERVICE, &self.service)?;
        set(TIME_LEFT_MS, &self.time_left.as_millis().to_string())?;
        if let Some(key) = &self.key {
            set(KEY, key)?;
        }
        if let Some(id) = &self.last_event_id {
            set(LAST_EVENT_ID, id)?;
        }
        if let Some(version) = self.software {
            set(SOFTWARE, &format!("{:016x}", version.0))?;
        }
        if !self.tried.is_empty() {
            set(TRIED, &self.tried.join(","))?;
        }
        Ok(())
    }

    /// Takes the headers of the hop out of `headers`.
    ///
    /// # Errors
    ///
    /// A header is missing or can't be parsed.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, HopError> {
        let required = |name: HeaderName| {
            let value = headers.get(&name).ok_or(HopError::Missing(name.clone()))?;
            let text = value.to_str().map_err(|_| HopError::Malformed(name))?;
            Ok(text.to_owned())
        };
        let optional = |name: HeaderName| match headers.contains_key(&name) {
            true => required(name).map(Some),
            false => Ok(None),
        };
        let token = u128::from_str_radix(&required(TOKEN)?, 16);
        let time_left = required(TIME_LEFT_MS)?.parse().map(Duration::from_millis);
        let tried = optional(TRIED)?.unwrap_or_default();
        let software = optional(SOFTWARE)?.map(|text| parse_software(&text));
        if software == Some(None) {
            return Err(HopError::Malformed(SOFTWARE));
        }
        let taken = Self {
            token: token.map_err(|_| HopError::Malformed(TOKEN))?,
            from: required(FROM)?,
            service: required(SERVICE)?,
            key: optional(KEY)?,
            time_left: time_left.map_err(|_| HopError::Malformed(TIME_LEFT_MS))?,
            tried: tried
                .split(',')
                .filter(|id| !id.is_empty())
                .map(str::to_owned)
                .collect(),
            last_event_id: optional(LAST_EVENT_ID)?,
            software: software.flatten(),
        };
        remove_all(headers);
        Ok(taken)
    }
}

/// Why a gateway has not sent a forwarded request to a replica, or no replica has run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineReason {
    /// It takes no further requests: it is stopping, or has taken as many as it may.
    NoRoom,
    /// It does not know a current configuration, or its configuration does not allow the request.
    Configuration,
    /// It can't reach the replicas either.
    Unreachable,
    /// No replica would start the request in time.
    Overloaded,
    /// Every replica has asked for a pause.
    Paused,
    /// The request is quarantined.
    Quarantined,
    /// The replicas have refused it.
    NotRun,
    /// No replica of the software version that began its stream is left.
    VersionGone,
}

/// The names of the reasons in the header.
const REASONS: [(DeclineReason, &str); 8] = [
    (DeclineReason::NoRoom, "no-room"),
    (DeclineReason::Configuration, "configuration"),
    (DeclineReason::Unreachable, "unreachable"),
    (DeclineReason::Overloaded, "overloaded"),
    (DeclineReason::Paused, "paused"),
    (DeclineReason::Quarantined, "quarantined"),
    (DeclineReason::NotRun, "not-run"),
    (DeclineReason::VersionGone, "version-gone"),
];

impl DeclineReason {
    /// Whether another gateway may serve the request nevertheless.
    pub fn concerns_gateway_only(self) -> bool {
        matches!(self, Self::NoRoom | Self::Configuration | Self::Unreachable)
    }

    /// Its name in the header.
    pub fn name(self) -> &'static str {
        let mut all = REASONS.iter();
        let known = all.find(|(reason, _)| *reason == self);
        known.map_or("not-run", |(_, name)| name)
    }
}

/// What became of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HopOutcome {
    /// A replica has answered.
    Answered {
        /// The id of the replica.
        replica: String,
        /// The version of its software, if that is known for certain.
        software: Option<SoftwareVersion>,
    },
    /// No replica has run it, and none will.
    NotRun {
        /// The reason.
        reason: DeclineReason,
        /// When the caller should retry.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Unknown,
}

impl HopOutcome {
    /// Adds the headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        remove_all(headers);
        let outcome = match self {
            Self::Answered { replica, software } => {
                if let Some(version) = software {
                    let text = format!("{:016x}", version.0);
                    if let Ok(value) = HeaderValue::from_str(&text) {
                        headers.insert(SOFTWARE, value);
                    }
                }
                if let Ok(replica) = HeaderValue::from_str(replica) {
                    headers.insert(REPLICA, replica);
                }
                "answered"
            }
            Self::NotRun {
                reason,
                retry_after,
            } => {
                headers.insert(REASON, HeaderValue::from_static(reason.name()));
                if let Some(time) = retry_after {
                    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                    headers.insert(RETRY_AFTER_MS, HeaderValue::from(ms));
                }
                "not-run"
            }
            Self::Unknown => "unknown",
        };
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    }

    /// Takes the headers out of `headers`. Whatever is not clearly an answer or a refusal may have run.
    pub fn take(headers: &mut HeaderMap) -> Self {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let reason = text(&REASON)
            .and_then(|name| REASONS.iter().find(|(_, known)| *known == name))
            .map_or(DeclineReason::NotRun, |(reason, _)| *reason);
        let retry_after = text(&RETRY_AFTER_MS).and_then(|ms| ms.parse().ok());
        let outcome = match text(&OUTCOME) {
            Some("answered") => Self::Answered {
                replica: text(&REPLICA).unwrap_or_default().to_owned(),
                software: text(&SOFTWARE).and_then(parse_software),
            },
            Some("not-run") => Self::NotRun {
                reason,
                retry_after: retry_after.map(Duration::from_millis),
            },
            _ => Self::Unknown,
        };
        remove_all(headers);
        outcome
    }
}

fn parse_software(text: &str) -> Option<SoftwareVersion> {
    u64::from_str_radix(text, 16).ok().map(SoftwareVersion)
}

fn remove_all(headers: &mut HeaderMap) {
    for name in &ALL {
        headers.remove(name);
    }
}
