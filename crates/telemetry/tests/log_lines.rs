//! Log lines: both formats carry number, name and fields, and the writer's thread loses none.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use driftspring_telemetry::QueuedWriter;
use driftspring_telemetry::logging::{LogFormat, format_line};
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::{Level, Record};

fn line(format: LogFormat, text: &str) -> String {
    let mut bytes = Vec::new();
    let arguments = format_args!("{text}");
    let record = Record::builder()
        .level(Level::Warn)
        .target("driftspring::sync")
        .args(arguments)
        .build();
    format_line(&mut bytes, format, &mut DeferredNow::new(), &record).expect("a Vec takes all");
    String::from_utf8(bytes).expect("log lines are UTF-8")
}

#[test]
fn text_line_has_level_and_event() {
    let line = line(LogFormat::Text, "E3000 CONFIGURATION_IN_FORCE revision=7");
    assert!(
        line.ends_with(" WARN  E3000 CONFIGURATION_IN_FORCE revision=7"),
        "{line}"
    );
}

#[test]
fn json_line_splits_the_event() {
    let line = line(
        LogFormat::Json,
        "E3000 CONFIGURATION_IN_FORCE note=\"a\nb\"",
    );
    let json: serde_json::Value = serde_json::from_str(&line).expect("one JSON object");
    assert_eq!(json["event"], 3000);
    assert_eq!(json["name"], "CONFIGURATION_IN_FORCE");
    assert_eq!(json["message"], "note=\"a\nb\"");
    assert_eq!(json["level"], "WARN");
    assert!(!line.contains('\n'));
}

#[test]
fn json_line_of_a_library_has_no_event() {
    let line = line(LogFormat::Json, "Error in the listener");
    let json: serde_json::Value = serde_json::from_str(&line).expect("one JSON object");
    assert!(json.get("event").is_none());
    assert_eq!(json["message"], "Error in the listener");
}

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flush_waits_for_every_line() {
    let output = SharedOutput::default();
    let writer = QueuedWriter::start(LogFormat::Text, output.clone()).expect("thread starts");
    let lines = 500;
    for number in 0..lines {
        let arguments = format_args!("line {number}");
        let record = Record::builder().level(Level::Info).args(arguments).build();
        let mut now = DeferredNow::new();
        writer.write(&mut now, &record).expect("queued");
    }
    writer.flush().expect("in time");
    let written = output.0.lock().expect("not poisoned");
    let written = std::str::from_utf8(&written).expect("UTF-8");
    assert_eq!(written.lines().count(), lines);
    assert!(written.ends_with("line 499\n"));
    assert_eq!(writer.dropped_lines(), 0);
}

/// An output that nobody reads: the first write never ends.
struct Unread(std::sync::mpsc::Receiver<()>);

impl Write for Unread {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_to(writer: &QueuedWriter, text: &str) {
    let arguments = format_args!("{text}");
    let record = Record::builder().level(Level::Info).args(arguments).build();
    writer
        .write(&mut DeferredNow::new(), &record)
        .expect("never fails");
}

#[test]
fn an_output_that_nobody_reads_stops_no_writer_and_lines_are_counted() {
    const LINES: u64 = 20_000;
    let (reader, blocked) = std::sync::mpsc::channel();
    let writer = QueuedWriter::start(LogFormat::Text, Unread(blocked)).expect("a thread");
    (0..LINES).for_each(|_| write_to(&writer, "a line"));
    assert!(
        writer.dropped_lines() > LINES / 2,
        "{}",
        writer.dropped_lines()
    );
    drop(reader);
}

#[test]
fn lines_beyond_the_bound_are_dropped_and_told_of() {
    let output = SharedOutput::default();
    let writer = QueuedWriter::start(LogFormat::Text, output.clone()).expect("a thread");
    let text = "x".repeat(1024 * 1024);
    (0..8).for_each(|_| write_to(&writer, &text));
    let dropped = writer.dropped_lines();
    assert!(dropped >= 4, "{dropped}");
    writer.flush().expect("written");
    let written = String::from_utf8(output.0.lock().expect("not poisoned").clone()).expect("text");
    assert!(written.contains("LOG_LINES_DROPPED dropped="), "not told");
}
