//! Operations on configuration objects and what daemons hold in force.

use driftspring_types::{DaemonId, Incarnation, Revision};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Names one operation on a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(pub Uuid);

impl OperationId {
    /// A new name.
    pub fn generate() -> Self {
        Self(Uuid::new_v4())
    }
}

/// What an operation asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "operation", rename_all = "snake_case")]
pub enum ConfigOperation {
    /// Read the object.
    Read,
    /// Write the object.
    Write {
        /// The revision that the object must have (0: absent); nothing for an unconditional write.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected: Option<Revision>,
        /// A text that is the same exactly for equal values, such as the value itself or its
        /// `write_id`; nothing for a removal.
        value: Option<String>,
    },
}

/// An operation on one object, just before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProposal {
    /// The operation's name.
    pub operation_id: OperationId,
    /// Who sends it.
    pub client: String,
    /// The object's key, `<kind>/<name>`.
    pub key: String,
    /// What is asked for.
    pub operation: ConfigOperation,
}

/// What the operator was told.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ConfigResult {
    /// The write took effect.
    Accepted {
        /// The revision that it got.
        revision: Revision,
    },
    /// The write had no effect and never will.
    Refused,
    /// The read's answer.
    Found {
        /// The object's revision; 0 where it was never written.
        revision: Revision,
        /// The value in the same form as in [`ConfigOperation::Write`]; nothing where it is absent.
        value: Option<String>,
    },
    /// No answer: a write may have taken effect, may yet take effect at any later time, or never.
    Unknown,
}

/// The end of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSettlement {
    /// The operation's name.
    pub operation_id: OperationId,
    /// What the operator was told.
    pub result: ConfigResult,
}

/// An object's revision that a daemon put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedObject {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The object's key, `<kind>/<name>`.
    pub key: String,
    /// The revision in force.
    pub revision: Revision,
}
