//! Set-up of the logs: text or JSON lines on standard error, written by a thread of their own.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::Record;
use serde::Serialize;

use crate::log_writer::QueuedWriter;

/// The prefix of the modules of the HTTP library, which tells each start of a thread at `info`.
const HTTP_LIBRARY: &str = "ntex";

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text for each event.
    Text,
    /// One JSON object for each event.
    Json,
}

impl LogFormat {
    /// What the setting `log.json` asks for.
    pub fn from_setting(is_json: bool) -> Self {
        match is_json {
            true => Self::Json,
            false => Self::Text,
        }
    }
}

/// Why logs could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogSetupError {
    /// The specification of levels is faulty, or a logger is already in place.
    #[error("setting up the logs: {0}")]
    Logger(#[from] flexi_logger::FlexiLoggerError),
    /// The writing thread could not be started.
    #[error("starting the thread that writes logs: {0}")]
    Thread(#[from] io::Error),
}

/// Starts the logs of this process with a `flexi_logger` specification such as `info`. Keep the
/// handle as long as anything logs; call its `flush` before the process ends.
///
/// # Errors
///
/// The specification is faulty, a logger is already in place, or no thread could be started.
pub fn start(level: &str, format: LogFormat) -> Result<LoggerHandle, LogSetupError> {
    start_on(level, format, io::stderr())
}

/// Like [`start`], but on standard output.
///
/// # Errors
///
/// Those of [`start`].
pub fn start_on_stdout(level: &str, format: LogFormat) -> Result<LoggerHandle, LogSetupError> {
    start_on(level, format, io::stdout())
}

fn start_on(
    level: &str,
    format: LogFormat,
    output: impl Write + Send + 'static,
) -> Result<LoggerHandle, LogSetupError> {
    let specification = LogSpecification::parse(with_quiet_libraries(level))?;
    let writer = QueuedWriter::start(format, output)?;
    let handle = Logger::with(specification)
        .use_utc()
        .log_to_writer(Box::new(writer))
        .start()?;
    Ok(handle)
}

/// Adds the level of libraries to a specification that doesn't name it.
fn with_quiet_libraries(level: &str) -> String {
    let names_library = level
        .split(',')
        .any(|part| part.trim().starts_with(HTTP_LIBRARY));
    match names_library {
        true => level.to_owned(),
        false => format!("{HTTP_LIBRARY}=warn, {level}"),
    }
}

/// Appends one log line to `line`, without the line break.
///
/// # Errors
///
/// Those of `line`; a `Vec` has none.
pub fn format_line(
    line: &mut dyn Write,
    format: LogFormat,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    match format {
        LogFormat::Text => write_text(line, now, record),
        LogFormat::Json => write_json(line, now, record),
    }
}

fn write_text(line: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level();
    write!(line, "{time} {level:<5} {}", record.args())
}

/// One log line as JSON.
#[derive(Debug, Serialize)]
struct JsonLine<'a> {
    time: &'a str,
    level: &'a str,
    module: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    event: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<&'a str>,
    message: &'a str,
}

fn write_json(line: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format_rfc3339();
    let text = record.args().to_string();
    let event = parse_event(&text);
    let json = JsonLine {
        time: &time,
        level: record.level().as_str(),
        module: record.target(),
        event: event.map(|(number, _, _)| number),
        name: event.map(|(_, name, _)| name),
        message: event.map_or(text.as_str(), |(_, _, fields)| fields),
    };
    serde_json::to_writer(line, &json)?;
    Ok(())
}

/// Number, name and fields of a line made by [`crate::log_event!`].
fn parse_event(text: &str) -> Option<(u16, &str, &str)> {
    let (number, rest) = text.strip_prefix('E')?.split_once(' ')?;
    let number = number.parse().ok()?;
    let (name, fields) = rest.split_once(' ').unwrap_or((rest, ""));
    Some((number, name, fields))
}
