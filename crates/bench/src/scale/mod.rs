//! Membership and configuration over hundreds of daemons in one process.

use crate::flags::Scale;

/// Runs the experiment.
///
/// # Errors
/// Where it could not be run.
pub fn run(_options: &Scale) -> anyhow::Result<()> {
    anyhow::bail!("not built yet")
}
