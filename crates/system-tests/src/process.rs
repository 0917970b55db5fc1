//! Separate processes under test, and the signals sent to them.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

/// How long a process may take to say where it listens.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// How often an ending process is looked at.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The programs that a test starts as processes.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The daemon.
    pub daemon: PathBuf,
    /// The stand-ins.
    pub standin: PathBuf,
}

/// A process started by a test; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program` and reads the one JSON line in which it says where it listens. The tasks of this thread run on
    /// meanwhile, also where the operating system takes seconds to start a process.
    ///
    /// # Errors
    ///
    /// It can't be started, or says nothing readable in time.
    pub async fn start<T: DeserializeOwned + Send + 'static>(
        program: &Path,
        arguments: &[String],
    ) -> anyhow::Result<(Self, T)> {
        let (program, arguments) = (program.to_owned(), arguments.to_vec());
        let (sender, receiver) = oneshot::channel();
        std::thread::spawn(move || {
            // Where the test has given up waiting the process is dropped, and so killed.
            let _ = sender.send(Self::start_on_this_thread(&program, &arguments));
        });
        receiver.await.context("the thread ended that starts it")?
    }

    fn start_on_this_thread<T: DeserializeOwned>(
        program: &Path,
        arguments: &[String],
    ) -> anyhow::Result<(Self, T)> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("start {}", program.display()))?;
        let output = child.stdout.take().context("no standard output")?;
        let process = Self { child };
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            let mut lines = BufReader::new(output).lines();
            // Nobody waits any more where the send fails; the rest is read so that the pipe never fills.
            let _ = sender.send(lines.next());
            lines.for_each(drop);
        });
        let line = receiver
            .recv_timeout(START_PATIENCE)
            .with_context(|| format!("{} does not say where it listens", program.display()))?
            .with_context(|| format!("{} ended at its start", program.display()))??;
        let announced =
            serde_json::from_str(&line).with_context(|| format!("unreadable first line {line}"))?;
        Ok((process, announced))
    }

    /// Ends it without notice (SIGKILL) and waits until it is gone.
    ///
    /// # Errors
    ///
    /// The operating system refuses it.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops it from running (SIGSTOP) until [`ChildProcess::thaw`].
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.signal("STOP")
    }

    /// Lets it run again (SIGCONT).
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn thaw(&self) -> anyhow::Result<()> {
        self.signal("CONT")
    }

    /// Asks it to end as planned (SIGTERM); does not wait.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal("TERM")
    }

    /// Waits until it has ended by itself.
    ///
    /// # Errors
    ///
    /// It runs on after `patience`, or it ended with a failure.
    pub async fn wait_for_exit(&mut self, patience: Duration) -> anyhow::Result<()> {
        let deadline = Instant::now() + patience;
        loop {
            if let Some(status) = self.child.try_wait()? {
                ensure!(status.success(), "the process ended with {status}");
                return Ok(());
            }
            ensure!(
                Instant::now() < deadline,
                "the process runs on after {patience:?}"
            );
            ntex::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    fn signal(&self, name: &str) -> anyhow::Result<()> {
        let status = send_signal(self.child.id(), name)?;
        ensure!(status.success(), "kill -{name} failed with {status}");
        Ok(())
    }
}

/// Sends the signal `name`, such as `STOP`, to the process `id` by the system's `kill` command: the standard
/// library knows SIGKILL only. The command fails where there is no such process any more.
///
/// # Errors
///
/// The command can't be run.
pub fn send_signal(id: u32, name: &str) -> anyhow::Result<ExitStatus> {
    Command::new("kill")
        .arg(format!("-{name}"))
        .arg(id.to_string())
        .status()
        .context("run kill")
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
