//! A stand-in under test, in a thread or in a separate process.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use crate::control::HttpControl;
use crate::process::{ChildProcess, Programs};

/// What the stand-in's process says at its start.
#[derive(Debug, Deserialize)]
struct Announcement {
    address: SocketAddr,
}

/// Where a stand-in runs.
enum StandinHost {
    /// Threads of this process, held by whatever ends them when dropped.
    Threads(Box<dyn Send>),
    /// A separate process.
    Process(ChildProcess),
}

/// A running stand-in.
pub struct Standin {
    /// Where it listens.
    pub address: SocketAddr,
    host: StandinHost,
}

impl Standin {
    /// A stand-in that runs in threads until `server` is dropped.
    pub fn in_threads(address: SocketAddr, server: impl Send + 'static) -> Self {
        Self {
            address,
            host: StandinHost::Threads(Box::new(server)),
        }
    }

    /// Starts the stand-in program with `arguments`.
    ///
    /// # Errors
    ///
    /// The process does not start.
    pub async fn in_process(programs: &Programs, arguments: &[String]) -> anyhow::Result<Self> {
        let (process, announced) = ChildProcess::start(&programs.standin, arguments).await?;
        let Announcement { address } = announced;
        Ok(Self {
            address,
            host: StandinHost::Process(process),
        })
    }

    /// Turns fault switches; `switches` is the body of `POST /standin/faults`.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub async fn set_faults(&self, control: &HttpControl, switches: &Value) -> anyhow::Result<()> {
        let path = "/standin/faults";
        control.post(self.address, path, switches).await?;
        Ok(())
    }

    /// The stand-in's process, where it has one.
    pub fn process(&mut self) -> Option<&mut ChildProcess> {
        match &mut self.host {
            StandinHost::Process(process) => Some(process),
            StandinHost::Threads(_) => None,
        }
    }

    /// Ends it without notice.
    pub fn kill(self) {
        match self.host {
            StandinHost::Process(process) => drop(process),
            StandinHost::Threads(server) => drop(server),
        }
    }
}
