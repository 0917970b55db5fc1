//! The recorder: cheap for the recording threads, which only send to a channel.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread;

use anyhow::Context;

use crate::event::{Event, TimedEvent, now_us};
use crate::reader::{History, write_event};

/// What the recording threads send to the writer thread.
enum Message {
    Event(TimedEvent),
    /// Write everything before this out, then answer with the events kept in memory.
    Flush(Sender<Vec<TimedEvent>>),
}

/// Records events from any thread; clones share one recording.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    sender: Option<Sender<Message>>,
}

impl Recorder {
    /// A recorder that drops every event at once.
    pub fn disabled() -> Self {
        Self::default()
    }

    /// A recorder that keeps its events for [`Recorder::history`].
    pub fn in_memory() -> anyhow::Result<Self> {
        Self::spawn(None)
    }

    /// A recorder that writes JSON lines to a new file. Each line is written out as soon as no
    /// further event waits, so that little is lost when the process is killed.
    pub fn to_file(path: &Path) -> anyhow::Result<Self> {
        let file = File::create(path)
            .with_context(|| format!("create the history file {}", path.display()))?;
        Self::spawn(Some(BufWriter::new(file)))
    }

    fn spawn(file: Option<BufWriter<File>>) -> anyhow::Result<Self> {
        let (sender, receiver) = channel();
        thread::Builder::new()
            .name("history".to_owned())
            .spawn(move || write_events(&receiver, file))
            .context("start the history thread")?;
        Ok(Self {
            sender: Some(sender),
        })
    }

    /// Whether events are kept; lets callers skip the work of building one.
    pub fn is_enabled(&self) -> bool {
        self.sender.is_some()
    }

    /// Records `event` as of now.
    pub fn record(&self, event: Event) {
        self.record_at(now_us(), event);
    }

    /// Records `event` as of `at_us`, in microseconds since the Unix epoch.
    pub fn record_at(&self, at_us: u64, event: Event) {
        if let Some(sender) = &self.sender {
            // The writer ends only with the last sender, or after an error that it has printed.
            let _ = sender.send(Message::Event(TimedEvent { at_us, event }));
        }
    }

    /// Waits until all that was recorded before is written out. Returns it, where the recorder keeps it in
    /// memory, and an empty history otherwise.
    pub fn history(&self) -> History {
        let Some(sender) = &self.sender else {
            return History::default();
        };
        let (reply, kept) = channel();
        if sender.send(Message::Flush(reply)).is_err() {
            return History::default();
        }
        History::new(kept.recv().unwrap_or_default())
    }
}

/// The writer thread: ends with the last recorder.
fn write_events(receiver: &Receiver<Message>, mut file: Option<BufWriter<File>>) {
    let mut kept = Vec::new();
    while let Some(message) = next_message(receiver, &mut file) {
        match message {
            Message::Event(event) => match &mut file {
                Some(writer) => report(write_event(writer, &event)),
                None => kept.push(event),
            },
            Message::Flush(reply) => {
                flush(&mut file);
                // Nobody waits any more where this fails.
                let _ = reply.send(kept.clone());
            }
        }
    }
    flush(&mut file);
}

/// The next message; writes out what is buffered before it waits.
fn next_message(
    receiver: &Receiver<Message>,
    file: &mut Option<BufWriter<File>>,
) -> Option<Message> {
    match receiver.try_recv() {
        Ok(message) => Some(message),
        Err(TryRecvError::Disconnected) => None,
        Err(TryRecvError::Empty) => {
            flush(file);
            receiver.recv().ok()
        }
    }
}

fn flush(file: &mut Option<BufWriter<File>>) {
    if let Some(writer) = file {
        report(writer.flush().map_err(Into::into));
    }
}

/// A recording that cannot be written must not pass for a whole one.
fn report(result: anyhow::Result<()>) {
    if let Err(error) = result {
        eprintln!("history recorder: {error:#}");
    }
}
