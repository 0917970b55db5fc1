//! The object that an order changes, and the change from its old to its new value.

use std::collections::BTreeSet;

use driftspring_language::api::{FieldChange, Plan, Refusal};
use driftspring_types::{ObjectKey, ObjectRecord, Revision};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::PlannedChange;
use crate::control::config_writer::Proposal;
use crate::operator::effects::Effects;

/// An object before the change.
#[derive(Debug, Clone)]
pub(super) struct Target {
    key: ObjectKey,
    revision: Revision,
    /// All fields as stored, those of later versions of driftspring included.
    stored: Option<Map<String, Value>>,
}

impl Target {
    /// The object `key` as `record` has it.
    pub(super) fn new(key: ObjectKey, record: Option<&ObjectRecord>) -> Self {
        let json = record.and_then(|record| record.value.as_deref());
        Self {
            key,
            revision: record.map(|record| record.revision).unwrap_or_default(),
            stored: json.and_then(|json| serde_json::from_str(json).ok()),
        }
    }

    /// The object's value.
    ///
    /// # Errors
    ///
    /// There is no such object, or its stored fields are faulty.
    pub(super) fn existing<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        match self.value()? {
            Some(value) => Ok(value),
            None => Err(Refusal::NotFound {
                key: self.key.to_string(),
            }),
        }
    }

    /// The object's value; nothing where there is no object.
    ///
    /// # Errors
    ///
    /// Its stored fields are faulty.
    pub(super) fn value<T: DeserializeOwned>(&self) -> Result<Option<T>, Refusal> {
        let Some(stored) = &self.stored else {
            return Ok(None);
        };
        serde_json::from_value(Value::Object(stored.clone()))
            .map(Some)
            .map_err(|error| self.not_applicable(format!("its stored value is faulty: {error}")))
    }

    /// # Errors
    ///
    /// The object exists.
    pub(super) fn must_be_absent(&self) -> Result<(), Refusal> {
        match self.stored {
            None => Ok(()),
            Some(_) => Err(Refusal::AlreadyExists {
                key: self.key.to_string(),
                revision: self.revision,
            }),
        }
    }

    /// The refusal of an order that makes no sense for this object.
    pub(super) fn not_applicable(&self, explanation: impl Into<String>) -> Refusal {
        Refusal::NotApplicable {
            key: self.key.to_string(),
            explanation: explanation.into(),
        }
    }

    /// The change to `value`, from `before` where there is one. Stored fields that `value` does not know stay.
    pub(super) fn changed_to<T: Serialize>(
        self,
        before: Option<&T>,
        value: &T,
        effects: Effects,
    ) -> Result<PlannedChange, Refusal> {
        let before = before.map(|before| self.fields_of(before)).transpose()?;
        let after = self.fields_of(value)?;
        let changes = differences(&before.unwrap_or_default(), &after);
        let mut written = self.stored.clone().unwrap_or_default();
        written.extend(after);
        Ok(self.planned(Some(written), changes, effects))
    }

    /// The removal of the object, whose value is `before`.
    pub(super) fn removed<T: Serialize>(
        self,
        before: &T,
        effects: Effects,
    ) -> Result<PlannedChange, Refusal> {
        let changes = differences(&self.fields_of(before)?, &Map::new());
        Ok(self.planned(None, changes, effects))
    }

    fn fields_of<T: Serialize>(&self, value: &T) -> Result<Map<String, Value>, Refusal> {
        match serde_json::to_value(value) {
            Ok(Value::Object(fields)) => Ok(fields),
            Ok(_) => Err(self.not_applicable("its value is no JSON object")),
            Err(error) => Err(self.not_applicable(format!("its value has no JSON: {error}"))),
        }
    }

    fn planned(
        self,
        value: Option<Map<String, Value>>,
        changes: Vec<FieldChange>,
        effects: Effects,
    ) -> PlannedChange {
        let plan = Plan {
            key: self.key.to_string(),
            expected_revision: self.revision,
            changes,
            effects: effects.effects,
            warnings: effects.warnings,
        };
        let proposal = Proposal {
            key: self.key,
            expected: self.revision,
            value,
        };
        PlannedChange { proposal, plan }
    }
}

/// The fields that differ, by name.
fn differences(before: &Map<String, Value>, after: &Map<String, Value>) -> Vec<FieldChange> {
    let fields: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let text = |value: Option<&Value>| {
        value
            .filter(|value| !value.is_null())
            .map(|value| value.to_string())
    };
    fields
        .into_iter()
        .map(|field| FieldChange {
            field: field.clone(),
            before: text(before.get(field)),
            after: text(after.get(field)),
        })
        .filter(|change| change.before != change.after)
        .collect()
}
