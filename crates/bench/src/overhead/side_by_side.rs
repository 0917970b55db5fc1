//! The same requests through the router and straight to the engines, in turn, in one run.

use std::time::{Duration, Instant};

use anyhow::anyhow;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::children::{DaemonProcess, EngineProcess};
use super::closed_loop::RequestShape;
use crate::caller::{Call, CallRecord, Caller, Destination};
use crate::report::{LatencyHistogram, LatencySummary};

const THREADS: usize = 4;
const RUN_UP: Duration = Duration::from_millis(200);

/// The latencies of one way.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct WayLatency {
    /// Requests answered whole.
    pub(super) whole: u64,
    /// Requests that ended otherwise.
    pub(super) failed: u64,
    /// From the intended sending to the first token.
    pub(super) time_to_first_token: LatencySummary,
    /// Between two tokens.
    pub(super) between_tokens: LatencySummary,
}

/// Both ways.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct SideBySide {
    /// Requests per second of each way.
    pub(super) requests_per_second: f64,
    /// Straight to the engines.
    pub(super) direct: WayLatency,
    /// Through the router.
    pub(super) routed: WayLatency,
}

#[derive(Debug, Clone)]
struct PlannedCall {
    number: u64,
    intended_at: Instant,
    destination: Destination,
}

/// Sends `rate` requests per second each way for `length`.
pub(super) fn run(
    engines: &EngineProcess,
    daemon: &DaemonProcess,
    shape: RequestShape,
    rate: f64,
    length: Duration,
    seed: u64,
) -> anyhow::Result<SideBySide> {
    let planned = plan(engines, daemon, rate, length, seed);
    let threads: Vec<_> = (0..THREADS)
        .map(|index| {
            let part: Vec<PlannedCall> = planned
                .iter()
                .skip(index)
                .step_by(THREADS)
                .cloned()
                .collect();
            std::thread::spawn(move || run_thread(part, shape, seed))
        })
        .collect();
    let mut routed = Vec::new();
    let mut direct = Vec::new();
    for thread in threads {
        let records = thread.join().map_err(|_| anyhow!("a caller panicked"))?;
        for (destination, record) in records? {
            match destination {
                Destination::Daemon(_) => routed.push(record),
                Destination::Engine(_) => direct.push(record),
            }
        }
    }
    Ok(SideBySide {
        requests_per_second: rate,
        direct: way_latency(&direct)?,
        routed: way_latency(&routed)?,
    })
}

/// Arrivals of a Poisson process, alternating between both ways.
fn plan(
    engines: &EngineProcess,
    daemon: &DaemonProcess,
    rate: f64,
    length: Duration,
    seed: u64,
) -> Vec<PlannedCall> {
    let mut random = SmallRng::seed_from_u64(seed);
    let began_at = Instant::now() + RUN_UP;
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    while at < length {
        let number = planned.len();
        let engine = engines.addresses[number / 2 % engines.addresses.len()];
        planned.push(PlannedCall {
            number: number as u64,
            intended_at: began_at + at,
            destination: if number.is_multiple_of(2) {
                Destination::Daemon(daemon.address)
            } else {
                Destination::Engine(engine)
            },
        });
        let chance: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-chance.ln() / (rate * 2.0));
    }
    planned
}

fn run_thread(
    planned: Vec<PlannedCall>,
    shape: RequestShape,
    seed: u64,
) -> anyhow::Result<Vec<(Destination, CallRecord)>> {
    let system = ntex::rt::System::new("side-by-side", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let caller = Caller::new().await?;
        let calls = planned.into_iter().map(|planned| {
            let caller = caller.clone();
            async move {
                tokio::time::sleep_until(planned.intended_at.into()).await;
                // The time that the timer overslept is the caller's own.
                let call: Call = shape.call(seed, planned.number, Instant::now());
                let record = caller.call(planned.destination, &call, &|_, _| {}).await;
                (planned.destination, record)
            }
        });
        Ok(futures_util::future::join_all(calls).await)
    })
}

fn way_latency(records: &[CallRecord]) -> anyhow::Result<WayLatency> {
    let whole = records.iter().filter(|record| record.is_whole()).count();
    let first_tokens = records.iter().filter_map(|record| record.first_token);
    let gaps = records
        .iter()
        .flat_map(|record| &record.token_gaps)
        .copied();
    Ok(WayLatency {
        whole: whole as u64,
        failed: (records.len() - whole) as u64,
        time_to_first_token: LatencyHistogram::of(first_tokens)?.summary(),
        between_tokens: LatencyHistogram::of(gaps)?.summary(),
    })
}
