//! The messages between `driftctl` and a daemon's operators' interface, as JSON.
//!
//! - `POST /operator/statement`: [`StatementRequest`] → [`StatementAnswer`]
//! - `GET /operator/in-force?key=K&revision=R` → [`InForceAnswer`]

use std::fmt;

use driftspring_types::{DaemonId, Revision};
use serde::{Deserialize, Serialize};

use crate::error::ParseError;
use crate::select::Row;

/// The path of statements.
pub const STATEMENT_PATH: &str = "/operator/statement";
/// The path of questions where a change is in force.
pub const IN_FORCE_PATH: &str = "/operator/in-force";

/// Asks a daemon to execute a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementRequest {
    /// The statement.
    pub statement: String,
    /// Whether an order is only to be planned, not carried out.
    #[serde(default)]
    pub dry_run: bool,
}

/// What became of a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum StatementAnswer {
    /// The rows that a question asked for.
    Rows {
        /// The names of the columns.
        columns: Vec<String>,
        /// The rows, with a cell for each column.
        rows: Vec<Row>,
    },
    /// What an order would do; nothing was changed.
    Planned {
        /// The change.
        plan: Plan,
    },
    /// The order is accepted: it is in force in this daemon and spreads to the others.
    Accepted {
        /// Its place in the order of all changes.
        revision: Revision,
        /// The change.
        plan: Plan,
    },
    /// The order was not applied and never will be.
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The order may have been applied, or may yet.
    Unknown {
        /// The name of the write; the object's `write_id` field shows whether it was applied.
        write_id: String,
        /// Why its fate is not known.
        cause: String,
        /// The change.
        plan: Plan,
    },
    /// The statement could not be read.
    Invalid {
        /// Where and why.
        error: ParseError,
    },
}

/// What an order changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The key of the object.
    pub key: String,
    /// The revision of the object on which the plan rests; 0 where there was none.
    pub expected_revision: Revision,
    /// The fields that change; none where the object is already as ordered.
    pub changes: Vec<FieldChange>,
    /// What the change means for engines and traffic, a sentence each.
    pub effects: Vec<String>,
    /// What an operator should look at before going on, a sentence each.
    pub warnings: Vec<String>,
}

/// The change of one field, with values as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The field.
    pub field: String,
    /// Its value before; nothing where it had none.
    pub before: Option<String>,
    /// Its value after; nothing where it has none.
    pub after: Option<String>,
}

/// Why an order was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// The object that the order names does not exist.
    NotFound {
        /// The object's key.
        key: String,
    },
    /// The object to be added exists.
    AlreadyExists {
        /// The object's key.
        key: String,
        /// The revision of its last change.
        revision: Revision,
    },
    /// Another change of the object came first.
    Conflict {
        /// The object's key.
        key: String,
        /// The revision on which the order rested.
        expected: Revision,
        /// The revision of the change that won.
        winning: Revision,
        /// The object as the winner left it, as JSON; nothing where it was removed.
        winning_value: Option<String>,
    },
    /// The order makes no sense for the object as it is.
    NotApplicable {
        /// The object's key.
        key: String,
        /// Why.
        explanation: String,
    },
    /// The object store could not be reached, so nothing was sent to it.
    StoreUnreachable {
        /// Why.
        cause: String,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound { key } => write!(formatter, "{key} does not exist"),
            Self::AlreadyExists { key, revision } => {
                write!(formatter, "{key} exists already, as of revision {revision}")
            }
            Self::Conflict {
                key,
                expected,
                winning,
                winning_value,
            } => {
                let value = winning_value.as_deref().unwrap_or("removed");
                write!(
                    formatter,
                    "conflict on {key}: the order rested on revision {expected}, \
                     but revision {winning} came first: {value}"
                )
            }
            Self::NotApplicable { key, explanation } => write!(formatter, "{key}: {explanation}"),
            Self::StoreUnreachable { cause } => {
                write!(formatter, "the object store can't be reached: {cause}")
            }
        }
    }
}

/// In which daemons a change is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// The object's key.
    pub key: String,
    /// The revision of the change.
    pub revision: Revision,
    /// Every daemon that serves, as known to the one asked.
    pub members: Vec<MemberInForce>,
}

impl InForceAnswer {
    /// Whether the change is in force in every daemon.
    pub fn is_everywhere(&self) -> bool {
        self.members.iter().all(|member| member.in_force)
    }
}

/// Whether a change is in force in one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInForce {
    /// The daemon.
    pub id: DaemonId,
    /// Whether the change, or a later one of the same object, is in force there. A daemon that
    /// does not answer counts as false.
    pub in_force: bool,
}
