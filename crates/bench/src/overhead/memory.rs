//! The router's memory while many streams are open and stall.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use ntex::client::Client;
use serde::Serialize;
use serde_json::json;

use super::children::{DaemonProcess, EngineProcess};
use super::closed_loop::RequestShape;
use super::process_usage::resident_bytes;
use crate::caller::{Caller, Destination};

/// Streams held open.
const STREAMS: u64 = 2_000;

/// Tokens of each answer: more than come before the engines freeze.
const MANY_TOKENS: u32 = 100_000;

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

/// Opens the streams, freezes the engines and measures.
pub(super) fn run(
    engines: &EngineProcess,
    daemon: &DaemonProcess,
    shape: RequestShape,
    seed: u64,
) -> anyhow::Result<MemoryUse> {
    let shape = RequestShape {
        max_tokens: MANY_TOKENS,
        ..shape
    };
    let before_bytes = resident_bytes(daemon.process_id())?;
    let addresses = engines.addresses.clone();
    let address = daemon.address;
    let id = daemon.process_id();
    let system = ntex::rt::System::new("memory", ntex::rt::DefaultRuntime);
    let open_bytes = system.block_on(async move {
        freeze(&addresses, false).await?;
        let caller = Caller::new().await?;
        let open = Rc::new(Cell::new(0));
        for number in 0..STREAMS {
            let caller = caller.clone();
            let open = Rc::clone(&open);
            ntex::rt::spawn(async move {
                let call = shape.call(seed, number, Instant::now());
                let on_token = |sequence: u64, _: &str| {
                    if sequence == 0 {
                        open.set(open.get() + 1);
                    }
                };
                caller
                    .call(Destination::Daemon(address), &call, &on_token)
                    .await;
            });
        }
        let deadline = Instant::now() + DEADLINE;
        while open.get() < STREAMS {
            ensure!(
                Instant::now() < deadline,
                "only {} streams opened",
                open.get()
            );
            ntex::time::sleep(POLL).await;
        }
        freeze(&addresses, true).await?;
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

async fn freeze(engines: &[std::net::SocketAddr], freeze: bool) -> anyhow::Result<()> {
    let client = Client::new().await;
    for engine in engines {
        let request = client.post(format!("http://{engine}/standin/faults"));
        let response = request.send_json(&json!({"freeze": freeze})).await;
        response.ok().context("turn an engine's switches")?;
    }
    Ok(())
}
