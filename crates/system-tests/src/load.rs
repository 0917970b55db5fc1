//! Seeded concurrent load: several callers that send request after request until told to stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use driftspring_history::Ending;
use driftspring_types::DaemonId;
use ntex::rt::{JoinHandle, spawn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use crate::TENANTS;
use crate::caller::{Call, CallResult, Caller};
use crate::prompts::NestedPrompt;
use crate::system::System;
use crate::wait::wait_until;

/// The pause of a caller whose daemon does not listen.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(20);

/// How often a caller sends a request again that may not be repeated and did not end whole. Its key
/// stays the same, so that it is the router's part to run it once.
const MAX_CALLER_RETRIES: usize = 2;

/// How long a test waits for progress of its load.
const PROGRESS_PATIENCE: Duration = Duration::from_secs(30);

/// What the callers send.
#[derive(Debug, Clone, Copy)]
pub struct LoadOptions {
    /// Requests open at once.
    pub callers: usize,
    /// Tokens of each answer.
    pub tokens: usize,
    /// The share of requests whose answer is not streamed, in per cent.
    pub unstreamed_percent: u32,
    /// The share of requests that may not be repeated, in per cent.
    pub at_most_once_percent: u32,
    /// The seed of every choice.
    pub seed: u64,
}

impl LoadOptions {
    /// Eight callers of repeatable streams of 60 tokens.
    pub fn new(seed: u64) -> Self {
        Self {
            callers: 8,
            tokens: 60,
            unstreamed_percent: 0,
            at_most_once_percent: 0,
            seed,
        }
    }
}

/// A daemon that callers know.
#[derive(Debug, Clone)]
struct Target {
    daemon: DaemonId,
    address: SocketAddr,
}

/// What all callers of one load share.
#[derive(Default)]
struct Progress {
    stopped: Cell<bool>,
    tokens: Cell<usize>,
    whole: Cell<usize>,
    /// Streams open at each daemon that have begun and are not half done.
    begun: RefCell<HashMap<DaemonId, usize>>,
}

impl Progress {
    fn add_begun(&self, daemon: &DaemonId) {
        *self.begun.borrow_mut().entry(daemon.clone()).or_default() += 1;
    }

    fn remove_begun(&self, daemon: &DaemonId) {
        if let Some(count) = self.begun.borrow_mut().get_mut(daemon) {
            *count -= 1;
        }
    }
}

/// A load under way.
pub struct Load {
    progress: Rc<Progress>,
    callers: Vec<JoinHandle<Vec<CallResult>>>,
}

impl Load {
    /// Starts the callers; each request goes to any daemon of `system`, running or not.
    ///
    /// # Errors
    ///
    /// A client can't be built, or no daemon was ever started.
    pub async fn start(system: &System, options: LoadOptions) -> anyhow::Result<Self> {
        let targets: Vec<Target> = system
            .daemons
            .iter()
            .filter_map(|(id, daemon)| {
                let address = daemon.callers()?;
                let daemon = id.clone();
                Some(Target { daemon, address })
            })
            .collect();
        anyhow::ensure!(!targets.is_empty(), "no daemon was started");
        let progress = Rc::new(Progress::default());
        let mut callers = Vec::new();
        for number in 0..options.callers {
            let looping = CallerLoop {
                caller: system.caller(&format!("caller-{number}")).await?,
                targets: targets.clone(),
                options,
                random: StdRng::seed_from_u64(options.seed + number as u64),
                progress: Rc::clone(&progress),
            };
            callers.push(spawn(looping.run()));
        }
        Ok(Self { progress, callers })
    }

    /// Waits until `count` more tokens have come.
    ///
    /// # Errors
    ///
    /// They do not come.
    pub async fn wait_for_tokens(&self, count: usize) -> anyhow::Result<()> {
        let goal = self.progress.tokens.get() + count;
        let reached = async || self.progress.tokens.get() >= goal;
        wait_until("tokens of the load", PROGRESS_PATIENCE, reached).await
    }

    /// Waits until `count` more requests have ended with their whole answer.
    ///
    /// # Errors
    ///
    /// They do not.
    pub async fn wait_for_whole(&self, count: usize) -> anyhow::Result<()> {
        let goal = self.progress.whole.get() + count;
        let reached = async || self.progress.whole.get() >= goal;
        wait_until("whole answers of the load", PROGRESS_PATIENCE, reached).await
    }

    /// Waits until a stream is open at `daemon` that has begun and is not half done.
    ///
    /// # Errors
    ///
    /// None begins there.
    pub async fn wait_for_stream_at(&self, daemon: &str) -> anyhow::Result<()> {
        let is_open = || {
            let begun = self.progress.begun.borrow();
            begun
                .iter()
                .any(|(known, count)| known.as_str() == daemon && *count > 0)
        };
        wait_until("a stream that has begun", PROGRESS_PATIENCE, async || {
            is_open()
        })
        .await
    }

    /// Lets every open request end and returns all results.
    ///
    /// # Errors
    ///
    /// A caller panicked.
    pub async fn stop(self) -> anyhow::Result<Vec<CallResult>> {
        self.progress.stopped.set(true);
        let mut results = Vec::new();
        for caller in self.callers {
            results.extend(caller.await.ok().context("a caller panicked")?);
        }
        Ok(results)
    }
}

/// One caller's loop.
struct CallerLoop {
    caller: Caller,
    targets: Vec<Target>,
    options: LoadOptions,
    random: StdRng,
    progress: Rc<Progress>,
}

impl CallerLoop {
    async fn run(mut self) -> Vec<CallResult> {
        let mut results = Vec::new();
        while !self.progress.stopped.get() {
            let mut call = self.next_call();
            for _ in 0..=MAX_CALLER_RETRIES {
                let target = self.random.random_range(0..self.targets.len());
                let result = self.send(&call, target).await;
                if result.status.is_none() {
                    ntex::time::sleep(UNREACHABLE_PAUSE).await;
                }
                let is_over = call.repeatable || result.ending == Ending::Whole;
                results.push(result);
                if is_over {
                    break;
                }
                call = call.again();
            }
        }
        results
    }

    async fn send(&self, call: &Call, target: usize) -> CallResult {
        let Target { daemon, address } = &self.targets[target];
        let progress = &self.progress;
        let half = self.options.tokens / 2;
        let mut count_token = |number| {
            progress.tokens.set(progress.tokens.get() + 1);
            if number == 1 {
                progress.add_begun(daemon);
            }
            if number == half {
                progress.remove_begun(daemon);
            }
        };
        let result = self
            .caller
            .call_with(daemon, *address, call, &mut count_token)
            .await;
        if call.streamed && (1..half).contains(&result.tokens) {
            progress.remove_begun(daemon);
        }
        if result.ending == Ending::Whole {
            self.progress.whole.set(self.progress.whole.get() + 1);
        }
        result
    }

    fn next_call(&mut self) -> Call {
        let tenant = TENANTS[self.random.random_range(0..TENANTS.len())];
        let prompt = NestedPrompt {
            clause: self.random.random_range(0..2),
            scheme: self.random.random_range(0..3),
            sheet: self.random.random_range(0..8),
        };
        let call = Call::new(tenant, prompt.text()).with_tokens(self.options.tokens);
        let call = match self.happens(self.options.unstreamed_percent) {
            true => call.unstreamed(),
            false => call,
        };
        match self.happens(self.options.at_most_once_percent) {
            true => call.at_most_once(&Uuid::now_v7().to_string()),
            false => call,
        }
    }

    fn happens(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }
}
