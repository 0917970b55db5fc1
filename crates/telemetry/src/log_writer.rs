//! Writes log lines on a thread of its own, so that no thread that serves callers waits for a slow
//! reader of standard error. Lines that find the queue full are dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use crate::logging::{LogFormat, format_line};

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 8192;
/// How long a flush waits for the lines before it.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The sending side of the queue.
pub struct QueuedWriter {
    format: LogFormat,
    queue: SyncSender<Message>,
    dropped_lines: AtomicU64,
}

impl QueuedWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(format: LogFormat, output: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&receiver, output))?;
        Ok(Self {
            format,
            queue: sender,
            dropped_lines: AtomicU64::new(0),
        })
    }

    /// Lines dropped so far because the queue was full.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }
}

impl LogWriter for QueuedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::new();
        format_line(&mut line, self.format, now, record)?;
        line.push(b'\n');
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, wait) = sync_channel(1);
        if self.queue.send(Message::Flush(done)).is_err() {
            return Ok(());
        }
        match wait.recv_timeout(FLUSH_TIMEOUT) {
            Err(RecvTimeoutError::Timeout) => Err(io::ErrorKind::TimedOut.into()),
            Ok(()) | Err(RecvTimeoutError::Disconnected) => Ok(()),
        }
    }
}

/// Writes until the sending side is gone. A failed write loses its line: there is nowhere to tell.
fn write_lines(queue: &Receiver<Message>, mut output: impl Write) {
    while let Ok(message) = queue.recv() {
        match message {
            Message::Line(line) => {
                let _ = output.write_all(&line);
            }
            Message::Flush(done) => {
                let _ = output.flush();
                let _ = done.send(());
            }
        }
    }
}
