//! Routing policies against each other in virtual time.

use crate::flags::Compare;

/// Runs the experiment.
///
/// # Errors
/// Where it could not be run.
pub fn run(_options: &Compare) -> anyhow::Result<()> {
    anyhow::bail!("not built yet")
}
