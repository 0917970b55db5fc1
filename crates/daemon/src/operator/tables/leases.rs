//! The table of leases, read from the object store: no daemon replicates them.

use std::sync::Arc;

use anyhow::anyhow;
use driftspring_control::LeaseRecord;
use driftspring_external::ServiceTimeouts;
use driftspring_external::object_store::{ObjectStore, StoredObject};
use driftspring_language::{Cell, Row};
use driftspring_types::{ObjectKind, Peer, Step, StepError};

use crate::state::DaemonState;

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

/// The row of a lease; one whose value is faulty shows with its name and revision only.
fn row(name: String, object: StoredObject) -> Row {
    let revision = object.revision;
    let record = object
        .value
        .and_then(|value| serde_json::from_value::<LeaseRecord>(value).ok());
    let holder = record.as_ref().and_then(|record| record.holder.as_ref());
    let token = record.as_ref().map(|record| record.token_at(revision).0);
    vec![
        Cell::from(name),
        holder.map(|holder| holder.daemon.as_str()).into(),
        holder.map(|holder| holder.incarnation.0).into(),
        token.into(),
        record.as_ref().map(|record| record.term_ms).into(),
        revision.0.into(),
    ]
}
