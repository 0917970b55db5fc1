//! Daemons under test: one settings file per life, read the same way by threads and processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, anyhow, bail};
use driftspring::{Daemon, RunningDaemon};
use driftspring_settings::Overrides;
use driftspring_types::{DaemonId, ZoneName};
use serde::Deserialize;

use crate::process::ChildProcess;
use crate::settings_file::{ListenSection, SettingsFile};
use crate::system::Host;

/// How long a planned stop may take.
const STOP_PATIENCE: Duration = Duration::from_secs(40);

/// What a daemon is.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// Its name.
    pub id: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether its settings hold the tenants, routes and engines of the system.
    pub bootstrap: bool,
    /// Settings that differ from the defaults, as `key=value`.
    pub assignments: Vec<String>,
}

impl DaemonOptions {
    /// A daemon of `zone-1` that has the system's configuration in its settings.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            zone: "zone-1".into(),
            bootstrap: true,
            assignments: Vec::new(),
        }
    }

    /// The same daemon in another zone.
    pub fn in_zone(self, zone: &str) -> Self {
        Self {
            zone: zone.into(),
            ..self
        }
    }

    /// The same daemon with nothing in its settings that it could serve by itself.
    pub fn without_bootstrap(self) -> Self {
        Self {
            bootstrap: false,
            ..self
        }
    }

    /// The same daemon with one more setting, such as `request.token_timeout=300ms`.
    pub fn with(mut self, assignment: &str) -> Self {
        self.assignments.push(assignment.to_owned());
        self
    }
}

/// The addresses that a daemon says it listens on.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Addresses {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Where a life of a daemon runs.
enum Life {
    Threads(RunningDaemon),
    Process(ChildProcess),
}

/// A daemon over all its lives.
pub struct DaemonHost {
    /// What it is.
    pub options: DaemonOptions,
    /// The recordings of its lives.
    pub history_files: Vec<PathBuf>,
    addresses: Option<Addresses>,
    life: Option<Life>,
}

impl DaemonHost {
    /// A daemon that has not been started yet.
    pub(crate) fn new(options: DaemonOptions) -> Self {
        Self {
            options,
            history_files: Vec::new(),
            addresses: None,
            life: None,
        }
    }

    /// Where it listens for callers.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.addresses.map(|addresses| addresses.callers)
    }

    /// Where it listens for operators.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.addresses.map(|addresses| addresses.operators)
    }

    /// Where it listens for other daemons.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.addresses.map(|addresses| addresses.peers)
    }

    /// Whether a life of it runs.
    pub fn is_running(&self) -> bool {
        self.life.is_some()
    }

    /// Where its next life shall listen: where the one before did.
    ///
    /// # Errors
    ///
    /// It has not run yet, and no port is free.
    pub(crate) fn listen(&self) -> anyhow::Result<ListenSection> {
        let section = |addresses: Addresses| ListenSection {
            callers: addresses.callers,
            operators: addresses.operators,
            peers: addresses.peers,
        };
        self.addresses
            .map_or_else(ListenSection::free_ports, |addresses| {
                Ok(section(addresses))
            })
    }

    /// The recording of its next life.
    pub(crate) fn next_history_file(&self, directory: &Path) -> PathBuf {
        let number = self.history_files.len() + 1;
        directory.join(format!("{}-life-{number}.jsonl", self.options.id))
    }

    /// Begins a life with the settings of `file`.
    pub(crate) async fn start(
        &mut self,
        host: &Host,
        file: &SettingsFile,
        directory: &Path,
    ) -> anyhow::Result<()> {
        if self.is_running() {
            bail!("daemon {} runs already", self.options.id);
        }
        let path = directory.join(format!("{}.toml", self.options.id));
        std::fs::write(&path, toml::to_string(file)?)?;
        let (life, addresses) = match host {
            Host::Threads => self.start_in_threads(&path)?,
            Host::Processes(programs) => self.start_process(&programs.daemon, &path).await?,
        };
        self.life = Some(life);
        self.addresses = Some(addresses);
        self.history_files.push(file.history_file.clone());
        Ok(())
    }

    fn start_in_threads(&self, path: &Path) -> anyhow::Result<(Life, Addresses)> {
        let assignments = self.options.assignments.iter().map(String::as_str);
        let overrides = Overrides::none()
            .with_assignments(assignments)
            .map_err(|error| anyhow!("{error}"))?;
        let settings = driftspring_settings::load(Some(path), &overrides)
            .map_err(|error| anyhow!("{error}"))?;
        let running = Daemon::start(settings)?;
        let bound = running.addresses();
        let addresses = Addresses {
            callers: bound.callers,
            operators: bound.operators,
            peers: bound.peers,
        };
        Ok((Life::Threads(running), addresses))
    }

    async fn start_process(
        &self,
        program: &Path,
        path: &Path,
    ) -> anyhow::Result<(Life, Addresses)> {
        let path = path.to_str().context("a path that is no text")?;
        let mut arguments = vec!["run".to_owned(), "--config".to_owned(), path.to_owned()];
        for assignment in &self.options.assignments {
            arguments.push("--set".to_owned());
            arguments.push(assignment.clone());
        }
        let (process, addresses) = ChildProcess::start(program, &arguments).await?;
        Ok((Life::Process(process), addresses))
    }

    /// Ends the present life without notice.
    pub(crate) fn kill(&mut self) -> anyhow::Result<()> {
        match self.life.take() {
            Some(Life::Threads(running)) => running.kill(),
            Some(Life::Process(mut process)) => process.kill()?,
            None => {}
        }
        Ok(())
    }

    /// Ends the present life as planned, and waits for its end.
    pub(crate) async fn stop(&mut self) -> anyhow::Result<()> {
        match self.life.take() {
            Some(Life::Threads(running)) => stop_threads(running).await,
            Some(Life::Process(mut process)) => {
                process.terminate()?;
                process.wait_for_exit(STOP_PATIENCE).await
            }
            None => Ok(()),
        }
    }

    /// The present life's process.
    ///
    /// # Errors
    ///
    /// It does not run in a separate process.
    pub(crate) fn process(&self) -> anyhow::Result<&ChildProcess> {
        match &self.life {
            Some(Life::Process(process)) => Ok(process),
            _ => bail!(
                "daemon {} does not run in a separate process",
                self.options.id
            ),
        }
    }
}

/// Stops a daemon without blocking the callers of this thread.
async fn stop_threads(running: RunningDaemon) -> anyhow::Result<()> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        // The test has given up waiting where the send fails.
        let _ = sender.send(running.stop());
    });
    ntex::time::timeout(STOP_PATIENCE, receiver)
        .await
        .map_err(|()| anyhow!("the daemon runs on after {STOP_PATIENCE:?}"))??
}
