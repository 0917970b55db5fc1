//! Membership and configuration over hundreds of daemons in one process.
//!
//! - [`plan`]: sizes, names and times; [`measure`]: what is measured, in order.
//! - [`cluster`], [`hollow`]: hollow daemons with the real state machines over real sockets.
//! - [`full_configuration`]: what 41,000 tenants cost one daemon.
//! - [`store`]: the object store, as calls; [`traffic`], [`resources`]: what is counted.
//! - [`tables`]: the printed tables.

pub mod cluster;
pub mod full_configuration;
pub mod hollow;
pub mod measure;
pub mod plan;
pub mod resources;
pub mod store;
pub mod tables;
pub mod traffic;

use std::time::Duration;

use anyhow::Context;
use serde::Serialize;

use crate::flags::Scale;
use full_configuration::FullConfiguration;
use measure::SizeResult;
use plan::Plan;

/// The sizes of a run without `--daemons`.
const DEFAULT_SIZES: &str = "10,40,120,380";

/// The engines of a run without `--engines`.
const DEFAULT_ENGINES: usize = 600;

/// The length of a quiet measurement without `--seconds`.
const DEFAULT_QUIET_SECONDS: u64 = 20;

/// What a run has measured.
#[derive(Debug, Serialize)]
pub struct ScaleResult {
    /// The seed of every random choice.
    pub seed: u64,
    /// One daemon's configuration at full size.
    pub full_configuration: FullConfiguration,
    /// The sizes run, smallest first as given.
    pub sizes: Vec<SizeResult>,
}

/// Runs every size and prints the tables.
///
/// # Errors
/// Where a size could not be run, or the result not be written.
pub fn run(options: &Scale) -> anyhow::Result<()> {
    let sizes = sizes(options.daemons.as_deref().unwrap_or(DEFAULT_SIZES))?;
    let seed = options.seed.unwrap_or(1);
    println!("seed {seed}");
    let full_configuration = full_configuration::measure()?;
    let mut results: Vec<SizeResult> = Vec::new();
    for daemons in sizes {
        eprintln!("{daemons} daemons ...");
        let quiet = options.seconds.unwrap_or(DEFAULT_QUIET_SECONDS);
        let result = measure::run(Plan {
            daemons,
            engines: options.engines.unwrap_or(DEFAULT_ENGINES),
            quiet: Duration::from_secs(quiet),
            seed,
        })?;
        results.push(result);
    }
    let result = ScaleResult {
        seed,
        full_configuration,
        sizes: results,
    };
    print!("{}", tables::render(&result));
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&result)?;
        std::fs::write(path, json).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}

fn sizes(text: &str) -> anyhow::Result<Vec<usize>> {
    text.split(',')
        .map(|size| {
            let daemons: usize = size
                .trim()
                .parse()
                .with_context(|| format!("--daemons: no number: {size:?}"))?;
            anyhow::ensure!(daemons > 0, "--daemons: must be at least 1");
            Ok(daemons)
        })
        .collect()
}
