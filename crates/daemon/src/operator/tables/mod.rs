//! The rows of each table, from the daemon's snapshots.

mod configuration;
mod leases;
mod requests;
mod system;

use std::sync::Arc;

use driftspring_language::{Row, Table};
use driftspring_types::StepError;

use crate::state::DaemonState;

/// All rows of `table`, in no order. Must be called on an ntex thread.
///
/// # Errors
///
/// The object store, which alone knows the leases, could not be read.
pub async fn rows(state: &Arc<DaemonState>, table: Table) -> Result<Vec<Row>, StepError> {
    Ok(match table {
        Table::Routes => configuration::routes(&state.config.load()),
        Table::Tenants => configuration::tenants(&state.config.load()),
        Table::Limits => configuration::limits(&state.config.load(), &state.admission),
        Table::Models => configuration::models(&state.config.load(), &state.engines.load()),
        Table::Engines => system::engines(state),
        Table::Members => system::members(&state.members.load()),
        Table::Requests => requests::rows(state),
        Table::Cache => system::cache(state),
        Table::Leases => leases::rows(state).await?,
    })
}
