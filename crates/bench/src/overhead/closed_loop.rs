//! As many requests as the router answers, by a fixed number of callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::anyhow;
use driftspring_types::{ModelName, RequestId};
use serde::Serialize;

use super::children::DaemonProcess;
use super::process_usage::processor_time;
use super::serve::MODEL;
use crate::caller::{Call, CallRecord, Caller, Destination};
use crate::embedded::tenant_name;
use crate::workload::Segment;

const THREADS: usize = 4;

/// The kind of request and the number of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) struct RequestShape {
    /// The length of the prompt; its first seven eighths are shared by all.
    pub(super) prompt_bytes: usize,
    /// Tokens of the answer.
    pub(super) max_tokens: u32,
    /// Callers, each with one request at a time.
    pub(super) concurrency: usize,
}

impl RequestShape {
    /// The request number `number` of a run, to be sent at `intended_at`.
    pub(super) fn call(&self, seed: u64, number: u64, intended_at: Instant) -> Call {
        let shared_bytes = self.prompt_bytes / 8 * 7;
        let shared = Segment {
            seed,
            bytes: shared_bytes,
        };
        let own = Segment {
            seed: seed ^ (number + 1),
            bytes: self.prompt_bytes - shared_bytes,
        };
        let mut prompt = String::new();
        shared.append_to(&mut prompt);
        own.append_to(&mut prompt);
        Call {
            request_id: RequestId::generate(),
            tenant: tenant_name(0),
            model: ModelName::new(MODEL),
            prompt,
            max_tokens: self.max_tokens,
            intended_at,
        }
    }
}

/// What the router did and used.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct Throughput {
    /// The requests.
    pub(super) shape: RequestShape,
    /// Requests answered whole.
    pub(super) whole: u64,
    /// Requests that ended otherwise.
    pub(super) failed: u64,
    /// Whole requests per second.
    pub(super) requests_per_second: f64,
    /// Tokens relayed per second.
    pub(super) tokens_per_second: f64,
    /// Cores that the router kept busy.
    pub(super) busy_cores: f64,
    /// Whole requests per second of the router's processor time.
    pub(super) requests_per_core: f64,
    /// Tokens relayed per second of the router's processor time.
    pub(super) tokens_per_core: f64,
}

/// A run of a fixed length.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClosedLoop {
    pub(super) shape: RequestShape,
    pub(super) length: Duration,
    pub(super) seed: u64,
}

impl ClosedLoop {
    /// Calls `daemon` for the length of the run.
    pub(super) fn run(self, daemon: &DaemonProcess) -> anyhow::Result<Throughput> {
        let used_before = processor_time(daemon.process_id())?;
        let began_at = Instant::now();
        let records = self.call_from_threads(daemon.address, began_at + self.length)?;
        let seconds = began_at.elapsed().as_secs_f64();
        let used = processor_time(daemon.process_id())? - used_before;
        let whole = records.iter().filter(|record| record.is_whole()).count() as f64;
        let tokens: u32 = records.iter().map(|record| record.tokens).sum();
        Ok(Throughput {
            shape: self.shape,
            whole: whole as u64,
            failed: records.len() as u64 - whole as u64,
            requests_per_second: whole / seconds,
            tokens_per_second: f64::from(tokens) / seconds,
            busy_cores: used.as_secs_f64() / seconds,
            requests_per_core: whole / used.as_secs_f64(),
            tokens_per_core: f64::from(tokens) / used.as_secs_f64(),
        })
    }

    fn call_from_threads(
        self,
        address: SocketAddr,
        until: Instant,
    ) -> anyhow::Result<Vec<CallRecord>> {
        let threads: Vec<_> = (0..THREADS)
            .map(|index| std::thread::spawn(move || self.run_thread(index, address, until)))
            .collect();
        let mut records = Vec::new();
        for thread in threads {
            let part = thread.join().map_err(|_| anyhow!("a caller panicked"))?;
            records.extend(part?);
        }
        Ok(records)
    }

    fn run_thread(
        self,
        index: usize,
        address: SocketAddr,
        until: Instant,
    ) -> anyhow::Result<Vec<CallRecord>> {
        let system = ntex::rt::System::new("closed-loop", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let caller = Caller::new().await?;
            let callers = (0..self.shape.concurrency / THREADS).map(|number| {
                let first_number = ((index * self.shape.concurrency + number) as u64) << 32;
                self.call_until(caller.clone(), first_number, address, until)
            });
            let records = futures_util::future::join_all(callers).await;
            Ok(records.concat())
        })
    }

    async fn call_until(
        self,
        caller: Caller,
        first_number: u64,
        address: SocketAddr,
        until: Instant,
    ) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while Instant::now() < until {
            let number = first_number + records.len() as u64;
            let call = self.shape.call(self.seed, number, Instant::now());
            let destination = Destination::Daemon(address);
            records.push(caller.call(destination, &call, &|_, _| {}).await);
        }
        records
    }
}
