//! Open-loop load on daemons over HTTP.

use crate::flags::Run;

/// Runs the experiment.
///
/// # Errors
/// Where it could not be run.
pub fn run(_options: &Run) -> anyhow::Result<()> {
    anyhow::bail!("not built yet")
}
