//! A small system in one process, with one engine killed midway.

use crate::flags::Demo;

/// Runs the experiment.
///
/// # Errors
/// Where it could not be run.
pub fn run(_options: &Demo) -> anyhow::Result<()> {
    anyhow::bail!("not built yet")
}
