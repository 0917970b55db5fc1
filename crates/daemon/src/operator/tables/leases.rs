//! The table of leases, read from the object store: no daemon replicates them.

use std::sync::Arc;

use anyhow::anyhow;
use driftspring_external::ServiceTimeouts;
use driftspring_external::object_store::{ObjectStore, StoredObject};
use driftspring_language::{Cell, Row};
use driftspring_types::{ObjectKind, Peer, Step, StepError};
use serde::Deserialize;

use crate::state::DaemonState;

/// The fields of a lease that are shown.
#[derive(Debug, Default, Deserialize)]
struct LeaseFields {
    #[serde(default)]
    holder: Option<String>,
    #[serde(default)]
    expires_ms: Option<u64>,
}

/// The rows of `leases`. Must be called on an ntex thread.
///
/// # Errors
///
/// There is no object store, or it did not answer.
pub async fn rows(state: &Arc<DaemonState>) -> Result<Vec<Row>, StepError> {
    let not_run = |cause| StepError::not_run(Step::Operate, Peer::ObjectStore, cause);
    let address = state.settings.platform.object_store;
    let address = address.ok_or_else(|| not_run(anyhow!("the settings name no object store")))?;
    let store = ObjectStore::new(address, ServiceTimeouts::default()).await;
    let store = store.map_err(not_run)?;
    let prefix = format!("{}/", ObjectKind::Leases.prefix());
    let list = store.list(&prefix).await?;
    let rows = list.objects.into_iter().filter_map(|object| {
        let name = object.key.strip_prefix(&prefix)?.to_owned();
        Some(row(name, object))
    });
    Ok(rows.collect())
}

fn row(name: String, object: StoredObject) -> Row {
    let fields = object
        .value
        .and_then(|value| serde_json::from_value(value).ok());
    let fields: LeaseFields = fields.unwrap_or_default();
    vec![
        Cell::from(name),
        fields.holder.into(),
        object.revision.0.into(),
        fields.expires_ms.into(),
    ]
}
