//! Reading and writing of whole histories.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use anyhow::Context;

use crate::event::{Event, TimedEvent};

/// A whole history in the order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// The events; an event's index is its position here.
    pub events: Vec<TimedEvent>,
}

impl History {
    /// The history of `events`, sorted by time; events of the same time keep their order.
    pub fn new(mut events: Vec<TimedEvent>) -> Self {
        events.sort_by_key(|timed| timed.at_us);
        Self { events }
    }

    /// Events with their index and time.
    pub fn iter(&self) -> impl Iterator<Item = (usize, u64, &Event)> {
        self.events
            .iter()
            .enumerate()
            .map(|(index, timed)| (index, timed.at_us, &timed.event))
    }
}

/// One history of several recordings.
pub fn merge_histories(histories: impl IntoIterator<Item = History>) -> History {
    let events = histories
        .into_iter()
        .flat_map(|history| history.events)
        .collect();
    History::new(events)
}

/// Reads a history of JSON lines; empty lines are passed over.
///
/// A last line without its end is passed over too: it is what a killed recorder leaves behind.
pub fn read_history(path: &Path) -> anyhow::Result<History> {
    let file = File::open(path).with_context(|| format!("open history {}", path.display()))?;
    let mut reader = BufReader::new(file);
    let mut events = Vec::new();
    let mut line = String::new();
    for number in 1.. {
        line.clear();
        reader
            .read_line(&mut line)
            .with_context(|| format!("read {} line {number}", path.display()))?;
        if !line.ends_with('\n') {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let event = serde_json::from_str(&line)
            .with_context(|| format!("{} line {number}: no history event", path.display()))?;
        events.push(event);
    }
    Ok(History::new(events))
}

/// Writes `history` as JSON lines.
pub fn write_history(path: &Path, history: &History) -> anyhow::Result<()> {
    let file = File::create(path).with_context(|| format!("create {}", path.display()))?;
    let mut writer = BufWriter::new(file);
    for event in &history.events {
        write_event(&mut writer, event)?;
    }
    writer.flush()?;
    Ok(())
}

/// Writes one event as a JSON line.
pub(crate) fn write_event(writer: &mut impl Write, event: &TimedEvent) -> anyhow::Result<()> {
    serde_json::to_writer(&mut *writer, event)?;
    writer.write_all(b"\n")?;
    Ok(())
}
