//! The router's memory while many slow streams are open.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::ensure;
use serde::Serialize;

use super::children::{DaemonProcess, EngineProcess};
use super::closed_loop::RequestShape;
use super::process_usage::resident_bytes;
use crate::caller::{Caller, Destination};

/// Streams held open.
const STREAMS: u64 = 2_000;

/// Tokens of each answer: more than come before the measurement.
const MANY_TOKENS: u32 = 10_000;

/// The time between two tokens.
const SLOW_STEP: Duration = Duration::from_millis(500);

/// Streams opened between two pauses.
const AT_ONCE: u64 = 50;

const DEADLINE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// Memory with and without open streams.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct MemoryUse {
    /// Streams held open.
    pub(super) streams: u64,
    /// The length of each request's prompt.
    pub(super) prompt_bytes: usize,
    /// Resident bytes before.
    pub(super) before_bytes: u64,
    /// Resident bytes while they are open.
    pub(super) open_bytes: u64,
    /// The difference per stream.
    pub(super) bytes_per_stream: f64,
}

/// Opens the streams to a fresh daemon over `engines` slow engines, and measures while they go on.
pub(super) fn run(engines: usize, shape: RequestShape, seed: u64) -> anyhow::Result<MemoryUse> {
    let engines = EngineProcess::start(engines, SLOW_STEP)?;
    let daemon = DaemonProcess::start(&engines.addresses)?;
    let shape = RequestShape {
        max_tokens: MANY_TOKENS,
        ..shape
    };
    let before_bytes = resident_bytes(daemon.process_id())?;
    let system = ntex::rt::System::new("memory", ntex::rt::DefaultRuntime);
    let address = daemon.address;
    let id = daemon.process_id();
    let open_bytes = system.block_on(async move {
        open_streams(address, shape, seed).await?;
        resident_bytes(id)
    })?;
    Ok(MemoryUse {
        streams: STREAMS,
        prompt_bytes: shape.prompt_bytes,
        before_bytes,
        open_bytes,
        bytes_per_stream: (open_bytes as f64 - before_bytes as f64) / STREAMS as f64,
    })
}

/// Returns once each stream has given its first token.
async fn open_streams(address: SocketAddr, shape: RequestShape, seed: u64) -> anyhow::Result<()> {
    let caller = Caller::new().await?;
    let open = Rc::new(Cell::new(0));
    let failure = Rc::new(RefCell::new(None));
    for number in 0..STREAMS {
        if number % AT_ONCE == 0 {
            ntex::time::sleep(POLL).await;
        }
        let caller = caller.clone();
        let open = Rc::clone(&open);
        let failure = Rc::clone(&failure);
        ntex::rt::spawn(async move {
            let call = shape.call(seed, number, Instant::now());
            let on_token = |sequence: u64, _: &str| {
                if sequence == 0 {
                    open.set(open.get() + 1);
                }
            };
            let destination = Destination::Daemon(address);
            let record = caller.call(destination, &call, &on_token).await;
            *failure.borrow_mut() = Some(record.ending);
        });
    }
    let deadline = Instant::now() + DEADLINE;
    while open.get() < STREAMS {
        ensure!(
            Instant::now() < deadline,
            "only {} streams opened; last failure: {:?}",
            open.get(),
            failure.borrow()
        );
        ntex::time::sleep(POLL).await;
    }
    Ok(())
}
