//! Identifiers, configuration objects, records and errors shared by every driftspring crate.
//!
//! Nothing here performs input or output. A type lives here only when two or more crates need it.

pub mod config;
pub mod error;
pub mod ids;
pub mod outcome;
pub mod records;
pub mod suggest;

pub use config::{
    ClaimGroup, ClaimGroupMember, ConfigObject, ConfigView, EngineDirective, EngineIntent, KeyHash,
    LegacyUpstream, ModelRollout, ObjectKey, ObjectKind, Route, Tenant, VersionShift,
};
pub use error::{Peer, RetrySafety, Step, StepError};
pub use ids::{
    DaemonId, EngineId, FencingToken, IdempotencyKey, Incarnation, MAX_NAME_BYTES, ModelName,
    RequestId, Revision, TenantId, WeightsVersion, ZoneName, is_valid_name,
};
pub use outcome::{NotRunReason, Outcome};
pub use records::{
    EngineHealth, EngineLoad, EngineRecord, MemberRecord, MemberState, ObjectRecord,
};
pub use suggest::closest_word;
