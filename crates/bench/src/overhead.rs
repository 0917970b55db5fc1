//! What the router costs compared with calling the engine directly.

use crate::flags::Overhead;

/// Runs the experiment.
///
/// # Errors
/// Where it could not be run.
pub fn run(_options: &Overhead) -> anyhow::Result<()> {
    anyhow::bail!("not built yet")
}
