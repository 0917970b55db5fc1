//! The store's JSON.

use driftspring_types::{ObjectRecord, Revision};
use serde::Deserialize;
use serde_json::Value;

use super::write::{DELETED_FIELD, REPLACES_FIELD, WRITE_ID_FIELD, WriteId};

/// One object as the store holds it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredObject {
    /// Its key, `<kind>/<name>`.
    pub key: String,
    /// The revision of its last write.
    pub revision: Revision,
    /// Its value; nothing in a watch after a removal.
    #[serde(default)]
    pub value: Option<Value>,
}

impl StoredObject {
    /// The object as a record, in which a deletion marker is no value.
    pub fn into_record(self) -> ObjectRecord {
        let value = self.value.filter(|value| !is_deletion(value));
        ObjectRecord {
            key: self.key,
            revision: self.revision,
            value: value.map(|value| value.to_string()),
        }
    }
}

/// The objects as of one revision.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ObjectList {
    /// The revision of which this is the state.
    pub revision: Revision,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// What a refused writer found in its object's place.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct CurrentObject {
    /// The object's revision; 0 where it is absent.
    pub revision: Revision,
    /// Its value.
    #[serde(default)]
    pub value: Option<Value>,
}

impl CurrentObject {
    /// Whether there is no object: it was never written, was removed, or is marked as deleted.
    pub fn is_absent(&self) -> bool {
        self.value.as_ref().is_none_or(is_deletion)
    }

    /// The write that made this value.
    pub(super) fn write_id(&self) -> Option<WriteId> {
        let text = self.value.as_ref()?.get(WRITE_ID_FIELD)?.as_str()?;
        text.parse().ok().map(WriteId)
    }

    /// The revision that the write of this value replaced.
    pub(super) fn replaces(&self) -> Option<Revision> {
        let revision = self.value.as_ref()?.get(REPLACES_FIELD)?.as_u64()?;
        Some(Revision(revision))
    }
}

fn is_deletion(value: &Value) -> bool {
    value.get(DELETED_FIELD).and_then(Value::as_bool) == Some(true)
}
