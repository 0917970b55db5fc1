//! Operations on configuration objects and what daemons hold in force.

use driftspring_types::{DaemonId, Incarnation};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::position::{StoreEra, StorePosition};

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
        /// The position that the object must have (revision 0: absent); nothing for an unconditional write.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected: Option<StorePosition>,
        /// A text that is the same exactly for equal values, such as the value itself or its
        /// `write_id`; nothing for a removal.
        value: Option<String>,
    },
}

/// On whose behalf an object is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigWriter {
    /// The operator, who writes again what a store from a copy has lost.
    #[default]
    Operator,
    /// A replica, which does so too.
    Replica,
    /// The system itself: what a store from a copy has lost of its writes is gone.
    System,
}

impl ConfigWriter {
    fn is_operator(&self) -> bool {
        *self == Self::Operator
    }

    /// Whether what it wrote is written again after the store has lost it.
    pub fn writes_again(self) -> bool {
        match self {
            Self::Operator | Self::Replica => true,
            Self::System => false,
        }
    }
}

/// An operation on one object, just before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProposal {
    /// The operation's name.
    pub operation_id: OperationId,
    /// Who sends it.
    pub client: String,
    /// On whose behalf.
    #[serde(default, skip_serializing_if = "ConfigWriter::is_operator")]
    pub writer: ConfigWriter,
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
        /// The position that it got.
        #[serde(flatten)]
        position: StorePosition,
    },
    /// The write had no effect and never will.
    Refused,
    /// The read's answer.
    Found {
        /// The object's position; revision 0 where it was never written.
        #[serde(flatten)]
        position: StorePosition,
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

/// An object as a daemon put it in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedObject {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The object's key, `<kind>/<name>`.
    pub key: String,
    /// The position at which it was read.
    #[serde(flatten)]
    pub position: StorePosition,
    /// The number that its writer gave to what it holds, which never falls, where it bears one: a version of the
    /// configuration, a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

/// The store answers again, from a copy that lacks its last changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReturn {
    /// The era in which it answers from now on.
    pub era: StoreEra,
    /// The last change that the copy holds.
    pub copy: StorePosition,
}
