//! What the router costs compared with calling the engine directly.
//!
//! Engines, router and callers are separate processes on loopback; the first two are this program
//! again, started by the command. Engines are fast and never compute prompts, so that the router's
//! own cost shows. The router has one worker thread.

mod children;
mod closed_loop;
mod memory;
mod process_usage;
mod result;
mod serve;
mod side_by_side;

use std::time::Duration;

use crate::flags::Overhead;

pub use serve::{serve_daemon, serve_engines};

use children::{DaemonProcess, EngineProcess};
use closed_loop::{ClosedLoop, RequestShape};
use result::OverheadResult;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 10;
const ENGINES: usize = 4;

/// The time between two tokens, apart from the measurement of memory.
const FAST_STEP: Duration = Duration::from_millis(1);

/// The share of the measured saturation at which latencies are compared.
const LATENCY_LOAD: f64 = 0.6;

/// A long prompt with a short answer: what a request costs.
const SHORT_ANSWER: RequestShape = RequestShape {
    prompt_bytes: 16 * 1024,
    max_tokens: 1,
    concurrency: 64,
};

/// A short prompt with a long answer: what a token costs.
const LONG_ANSWER: RequestShape = RequestShape {
    prompt_bytes: 1_024,
    max_tokens: 256,
    concurrency: 128,
};

/// A usual request, at which latencies are compared.
const USUAL: RequestShape = RequestShape {
    prompt_bytes: 16 * 1024,
    max_tokens: 24,
    concurrency: 128,
};

/// Runs all parts and prints the result.
///
/// # Errors
/// A process does not start, or a file can't be written.
pub fn run(options: &Overhead) -> anyhow::Result<()> {
    let seed = options.seed.unwrap_or(DEFAULT_SEED);
    let length = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let engines = EngineProcess::start(ENGINES, FAST_STEP)?;
    let daemon = DaemonProcess::start(&engines.addresses)?;
    let closed_loop = |name: &str, shape| {
        println!("{name} ...");
        ClosedLoop {
            shape,
            length,
            seed,
        }
        .run(&daemon)
    };
    let requests = closed_loop("requests per core", SHORT_ANSWER)?;
    let tokens = closed_loop("tokens per core", LONG_ANSWER)?;
    let saturation = closed_loop("saturation with usual requests", USUAL)?;
    let default_rate = saturation.requests_per_second * LATENCY_LOAD;
    let rate = options.rate.unwrap_or(default_rate);
    println!("latencies at {rate:.0} requests/s ...");
    let latency = side_by_side::run(&engines, &daemon, USUAL, rate, length, seed)?;
    println!("memory per open stream ...");
    drop((daemon, engines));
    let memory = memory::run(ENGINES, USUAL, seed)?;
    let result = OverheadResult {
        seed,
        seconds: length.as_secs(),
        requests,
        tokens,
        saturation,
        latency,
        memory,
    };
    result.print();
    if let Some(path) = &options.json {
        result.write_json(path)?;
    }
    Ok(())
}
