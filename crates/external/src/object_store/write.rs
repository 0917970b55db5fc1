//! Conditional writes, and how one whose answer was lost is settled.

use std::fmt;

use driftspring_types::{ObjectKey, ObjectRecord, Revision, StepError};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use uuid::Uuid;

use super::messages::CurrentObject;

/// The field of a value that names the write that made it.
pub(super) const WRITE_ID_FIELD: &str = "write_id";
/// The field of a value that gives the revision that its write replaced.
pub(super) const REPLACES_FIELD: &str = "replaces";
/// The field that marks an object as deleted.
pub(super) const DELETED_FIELD: &str = "deleted";

/// Names one write over all attempts to make it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub Uuid);

impl WriteId {
    /// A new name.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

/// What a write puts into the store.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteBody {
    /// These fields.
    Object(Map<String, Value>),
    /// The mark of a deletion.
    Deletion,
}

/// A write that takes effect only where the object's revision is the expected one.
#[derive(Debug, Clone, PartialEq)]
pub struct ConditionalWrite {
    /// The object.
    pub key: ObjectKey,
    /// The revision that the object must have; 0 for absent.
    pub expected: Revision,
    /// What is written.
    pub body: WriteBody,
    /// The write's name.
    pub write_id: WriteId,
}

impl ConditionalWrite {
    /// A new write of `body`.
    pub fn new(key: ObjectKey, expected: Revision, body: WriteBody) -> Self {
        Self {
            key,
            expected,
            body,
            write_id: WriteId::generate(),
        }
    }

    /// The value as the store gets it.
    pub fn stamped_value(&self) -> Value {
        let mut fields = match &self.body {
            WriteBody::Object(fields) => fields.clone(),
            WriteBody::Deletion => Map::from_iter([(DELETED_FIELD.to_owned(), true.into())]),
        };
        fields.insert(WRITE_ID_FIELD.to_owned(), self.write_id.to_string().into());
        fields.insert(REPLACES_FIELD.to_owned(), self.expected.0.into());
        Value::Object(fields)
    }

    /// The record of this write once the store has accepted it at `revision`.
    pub fn accepted_record(&self, revision: Revision) -> ObjectRecord {
        let value = match &self.body {
            WriteBody::Object(_) => Some(self.stamped_value().to_string()),
            WriteBody::Deletion => None,
        };
        ObjectRecord {
            key: self.key.to_string(),
            revision,
            value,
        }
    }

    /// What a refusal of this write means, where earlier attempts at it may have taken effect.
    pub(super) fn settle_refusal(&self, current: CurrentObject, had_lost_answer: bool) -> Refusal {
        if current.write_id() == Some(self.write_id) {
            return Refusal::TookEffect(current.revision);
        }
        let lost_to_current = current.replaces() == Some(self.expected);
        if !had_lost_answer || lost_to_current {
            return Refusal::Definite(current);
        }
        Refusal::Undecided
    }
}

/// What a refusal says about a write.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Refusal {
    /// An earlier attempt had taken effect at this revision.
    TookEffect(Revision),
    /// No attempt has taken effect or ever can: the object has moved on.
    Definite(CurrentObject),
    /// The object was changed more than once since, so the attempt's fate can't be told.
    Undecided,
}

/// The answer to one attempt at a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// It took effect.
    Accepted(Revision),
    /// It had no effect: the object has another revision.
    Conflict(CurrentObject),
    /// It never reached the store.
    NotSent(StepError),
    /// It may have taken effect, or may yet.
    Unknown(StepError),
}

/// What became of a write after all attempts.
#[derive(Debug)]
pub enum SettledWrite {
    /// It took effect.
    Accepted(Revision),
    /// It had no effect and never will.
    Refused(CurrentObject),
    /// It had no effect, since the store was never reached.
    NotSent(StepError),
    /// It may have taken effect, or may yet.
    Unknown(StepError),
}
