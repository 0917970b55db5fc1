//! Writes log lines on a separate thread, so that no thread that serves callers waits for a slow
//! reader of the output. Lines that find the queue full, or that come faster than [`MAX_LINES`] and
//! [`MAX_BYTES`] a second allow, are dropped, counted, and told of in a line of their own.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use crate::events::gateway::LOG_LINES_DROPPED;
use crate::logging::{LogFormat, format_line};

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 8192;
/// How long a flush waits for the lines before it.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Lines that are written in one second.
pub const MAX_LINES: u64 = 4000;
/// Bytes that are written in one second.
pub const MAX_BYTES: u64 = 2 * 1024 * 1024;

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The sending side of the queue.
pub struct QueuedWriter {
    format: LogFormat,
    queue: SyncSender<Message>,
    dropped_lines: Arc<AtomicU64>,
    started: Instant,
    second: AtomicU64,
    lines_in_second: AtomicU64,
    bytes_in_second: AtomicU64,
}

impl QueuedWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(format: LogFormat, output: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let dropped = Arc::clone(&dropped_lines);
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&receiver, output, format, &dropped))?;
        Ok(Self {
            format,
            queue: sender,
            dropped_lines,
            started: Instant::now(),
            second: AtomicU64::new(0),
            lines_in_second: AtomicU64::new(0),
            bytes_in_second: AtomicU64::new(0),
        })
    }

    /// Whether a line of so many bytes may still be written in this second.
    fn is_allowed(&self, bytes: usize) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
            self.bytes_in_second.store(0, Ordering::Relaxed);
        }
        let bytes = bytes as u64;
        let lines_before = self.lines_in_second.fetch_add(1, Ordering::Relaxed);
        let bytes_before = self.bytes_in_second.fetch_add(bytes, Ordering::Relaxed);
        lines_before < MAX_LINES && bytes_before + bytes <= MAX_BYTES
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
        let is_allowed = self.is_allowed(line.len());
        if !is_allowed || self.queue.try_send(Message::Line(line)).is_err() {
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
fn write_lines(
    queue: &Receiver<Message>,
    mut output: impl Write,
    format: LogFormat,
    dropped: &AtomicU64,
) {
    let mut told = 0;
    while let Ok(message) = queue.recv() {
        let known = dropped.load(Ordering::Relaxed);
        if known > told {
            told = known;
            let _ = output.write_all(&dropped_line(format, known));
        }
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

/// The line that tells how many lines were dropped so far.
fn dropped_line(format: LogFormat, dropped: u64) -> Vec<u8> {
    let code = LOG_LINES_DROPPED;
    let mut line = Vec::new();
    let write = |line: &mut Vec<u8>, arguments| {
        let record = Record::builder()
            .level(code.level)
            .target(module_path!())
            .args(arguments)
            .build();
        // Writing into a vector can't fail.
        let _ = format_line(line, format, &mut DeferredNow::new(), &record);
    };
    let (number, name) = (code.number, code.name);
    write(
        &mut line,
        format_args!("E{number:04} {name} dropped={dropped}"),
    );
    line.push(b'\n');
    line
}
