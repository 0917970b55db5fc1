//! The child processes: engines, and the router.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::Context;

/// A child that serves until its standard input is closed.
#[derive(Debug)]
struct ServingChild {
    child: Child,
    /// Its first line.
    announcement: String,
}

impl ServingChild {
    fn start(arguments: &[String]) -> anyhow::Result<Self> {
        let program = std::env::current_exe().context("find this program")?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("start {arguments:?}"))?;
        let output = child.stdout.take().context("the child has no output")?;
        let mut announcement = String::new();
        BufReader::new(output).read_line(&mut announcement)?;
        Ok(Self {
            child,
            announcement: announcement.trim().to_owned(),
        })
    }
}

impl Drop for ServingChild {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        // A child that can't be waited for is gone already.
        let _ = self.child.wait();
    }
}

/// The process of the engines.
#[derive(Debug)]
pub(super) struct EngineProcess {
    _child: ServingChild,
    /// The engines' addresses.
    pub(super) addresses: Vec<SocketAddr>,
}

impl EngineProcess {
    /// Starts `count` engines that give a token each `step`.
    pub(super) fn start(count: usize, step: Duration) -> anyhow::Result<Self> {
        let count = count.to_string();
        let step_ms = step.as_millis().to_string();
        let arguments = ["serve-engines", "--count", &count, "--step-ms", &step_ms];
        let child = ServingChild::start(&arguments.map(str::to_owned))?;
        let addresses = child.announcement.split(',').map(str::parse);
        let addresses = addresses.collect::<Result<_, _>>();
        Ok(Self {
            addresses: addresses.context("the engines' addresses")?,
            _child: child,
        })
    }
}

/// The process of the router.
#[derive(Debug)]
pub(super) struct DaemonProcess {
    child: ServingChild,
    /// Its callers' address.
    pub(super) address: SocketAddr,
}

impl DaemonProcess {
    /// Starts a daemon with one worker thread that knows `engines`.
    pub(super) fn start(engines: &[SocketAddr]) -> anyhow::Result<Self> {
        let engines: Vec<String> = engines.iter().map(SocketAddr::to_string).collect();
        let arguments = ["serve-daemon", "--engines", &engines.join(",")];
        let child = ServingChild::start(&arguments.map(str::to_owned))?;
        let address = child.announcement.parse().context("the daemon's address")?;
        Ok(Self { child, address })
    }

    /// Its process id.
    pub(super) fn process_id(&self) -> u32 {
        self.child.child.id()
    }
}
