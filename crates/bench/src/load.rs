//! Open-loop load: each request of a trace is sent at its time, whatever became of those before it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{Context, anyhow};
use driftspring_types::RequestId;

use crate::caller::{Call, CallRecord, Caller, Destination};
use crate::workload::{Trace, TraceRequest};

/// The time between the start of the threads and the start of the trace.
const RUN_UP: Duration = Duration::from_millis(200);

/// Where the requests of a trace go: the addresses for each zone, in turn.
#[derive(Debug, Clone)]
pub struct Destinations {
    /// Per zone index of the trace, its addresses.
    pub by_zone: Vec<Vec<SocketAddr>>,
    /// Whether they are engines instead of daemons.
    pub are_engines: bool,
}

impl Destinations {
    fn of(&self, zone: usize, number: usize) -> Option<Destination> {
        let zone = self.by_zone.get(zone % self.by_zone.len().max(1))?;
        let address = *zone.get(number % zone.len().max(1))?;
        Some(if self.are_engines {
            Destination::Engine(address)
        } else {
            Destination::Daemon(address)
        })
    }
}

/// Counts of a run that goes on.
#[derive(Debug, Default)]
pub struct LoadProgress {
    /// Requests sent.
    pub sent: AtomicU64,
    /// Requests that ended whole.
    pub whole: AtomicU64,
    /// Requests that ended otherwise.
    pub failed: AtomicU64,
}

/// Told of each request as it is sent, of its tokens, and as it ends; called on the load's threads.
pub trait LoadObserver: Send + Sync {
    /// `call` is about to be sent.
    fn sent(&self, call: &Call);
    /// A token of `call` has come.
    fn token(&self, call: &Call, sequence: u64, text: &str);
    /// A request has ended.
    fn ended(&self, record: &CallRecord);
}

/// A run that goes on.
pub struct RunningLoad {
    /// Counts so far.
    pub progress: Arc<LoadProgress>,
    /// When the trace began.
    pub began_at: Instant,
    threads: Vec<JoinHandle<anyhow::Result<Vec<CallRecord>>>>,
}

impl RunningLoad {
    /// Starts to send `trace` from `threads` threads.
    ///
    /// # Errors
    /// A thread can't be started.
    pub fn start(
        trace: &Trace,
        destinations: &Destinations,
        threads: usize,
        observer: Option<Arc<dyn LoadObserver>>,
    ) -> anyhow::Result<Self> {
        let progress = Arc::new(LoadProgress::default());
        let began_at = Instant::now() + RUN_UP;
        let threads = threads.max(1);
        let threads = (0..threads).map(|index| {
            let numbered = trace.requests.iter().cloned().enumerate();
            let part = LoadPart {
                requests: numbered
                    .filter(|(number, _)| number % threads == index)
                    .collect(),
                destinations: destinations.clone(),
                began_at,
                progress: Arc::clone(&progress),
                observer: observer.clone(),
            };
            std::thread::Builder::new()
                .name(format!("load-{index}"))
                .spawn(move || part.run())
                .context("start a load thread")
        });
        Ok(Self {
            threads: threads.collect::<anyhow::Result<_>>()?,
            progress,
            began_at,
        })
    }

    /// Whether every request has ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits for the end of every request; the records come in the order of their intended sending.
    ///
    /// # Errors
    /// A thread failed.
    pub fn finish(self) -> anyhow::Result<Vec<CallRecord>> {
        let mut records = Vec::new();
        for thread in self.threads {
            let part = thread
                .join()
                .map_err(|_| anyhow!("a load thread panicked"))?;
            records.extend(part?);
        }
        records.sort_by_key(|record| record.intended_at);
        Ok(records)
    }
}

/// One thread's part of a run.
struct LoadPart {
    requests: Vec<(usize, TraceRequest)>,
    destinations: Destinations,
    began_at: Instant,
    progress: Arc<LoadProgress>,
    observer: Option<Arc<dyn LoadObserver>>,
}

impl LoadPart {
    fn run(self) -> anyhow::Result<Vec<CallRecord>> {
        let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
        system.block_on(async move { self.send_all().await })
    }

    async fn send_all(self) -> anyhow::Result<Vec<CallRecord>> {
        let caller = Caller::new().await?;
        let records = Rc::new(RefCell::new(Vec::new()));
        let mut tasks = Vec::new();
        for (number, request) in &self.requests {
            let intended_at = self.began_at + request.at;
            let destination = self.destinations.of(request.zone, *number);
            let destination = destination.context("no address for a zone of the trace")?;
            let call = call_of(request, intended_at);
            tokio::time::sleep_until(intended_at.into()).await;
            self.progress.sent.fetch_add(1, Ordering::Relaxed);
            if let Some(observer) = &self.observer {
                observer.sent(&call);
            }
            let caller = caller.clone();
            let records = Rc::clone(&records);
            let progress = Arc::clone(&self.progress);
            let observer = self.observer.clone();
            tasks.push(ntex::rt::spawn(async move {
                let on_token = |sequence: u64, text: &str| {
                    if let Some(observer) = &observer {
                        observer.token(&call, sequence, text);
                    }
                };
                let record = caller.call(destination, &call, &on_token).await;
                progress.count(&record);
                if let Some(observer) = &observer {
                    observer.ended(&record);
                }
                records.borrow_mut().push(record);
            }));
        }
        for task in tasks {
            task.await.map_err(|_| anyhow!("a request's task failed"))?;
        }
        Ok(records.take())
    }
}

impl LoadProgress {
    fn count(&self, record: &CallRecord) {
        let counter = if record.is_whole() {
            &self.whole
        } else {
            &self.failed
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

fn call_of(request: &TraceRequest, intended_at: Instant) -> Call {
    Call {
        request_id: RequestId::generate(),
        tenant: request.tenant.clone(),
        model: request.model.clone(),
        prompt: request.prompt.text(),
        max_tokens: request.answer_tokens,
        intended_at,
    }
}
