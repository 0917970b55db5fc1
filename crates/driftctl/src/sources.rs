//! Where statements come from: the command line, a file, or standard input.

use std::io::{self, BufRead, BufReader, IsTerminal};
use std::path::{Path, PathBuf};

use anyhow::Context;

use crate::exit::Exit;
use crate::session::Session;

/// Where statements come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Source {
    /// One statement of the command line.
    Statement(String),
    /// A file, one statement a line.
    File(PathBuf),
    /// Standard input: a dialogue on a terminal, else as a file.
    StandardInput,
}

/// Executes every statement of `source`.
///
/// # Errors
///
/// The source can't be read, or an answer can't be written.
pub(crate) async fn execute_all(
    session: &mut Session<'_>,
    source: &Source,
    stop_on_error: bool,
) -> anyhow::Result<Exit> {
    match source {
        Source::Statement(statement) => Ok(session.execute("", statement).await?),
        Source::File(path) => execute_file(session, path, stop_on_error).await,
        Source::StandardInput if io::stdin().is_terminal() => Ok(converse(session).await?),
        Source::StandardInput => {
            let lines = io::stdin().lock();
            execute_lines(session, "standard input", lines, stop_on_error).await
        }
    }
}

async fn execute_file(
    session: &mut Session<'_>,
    path: &Path,
    stop_on_error: bool,
) -> anyhow::Result<Exit> {
    let name = path.display().to_string();
    let file = std::fs::File::open(path).with_context(|| format!("opening {name}"))?;
    execute_lines(session, &name, BufReader::new(file), stop_on_error).await
}

async fn execute_lines(
    session: &mut Session<'_>,
    name: &str,
    lines: impl BufRead,
    stop_on_error: bool,
) -> anyhow::Result<Exit> {
    let mut exit = Exit::Success;
    for (index, line) in lines.lines().enumerate() {
        let line = line.with_context(|| format!("reading {name}"))?;
        let Some(statement) = statement_of(&line) else {
            continue;
        };
        let place = format!("{name}:{}: ", index + 1);
        exit = exit.or(session.execute(&place, statement).await?);
        if stop_on_error && exit != Exit::Success {
            break;
        }
    }
    Ok(exit)
}

/// A dialogue until `quit` or the end of the input; errors don't end it.
async fn converse(session: &mut Session<'_>) -> io::Result<Exit> {
    loop {
        session.prompt()?;
        let mut line = String::new();
        if io::stdin().read_line(&mut line)? == 0 {
            return Ok(Exit::Success);
        }
        match statement_of(&line) {
            None => {}
            Some("quit" | "exit") => return Ok(Exit::Success),
            Some("help") => session.help()?,
            Some(statement) => {
                session.execute("", statement).await?;
            }
        }
    }
}

/// The statement of a line; nothing for empty lines and comments.
fn statement_of(line: &str) -> Option<&str> {
    let statement = line.trim();
    let is_comment = statement.starts_with('#');
    (!statement.is_empty() && !is_comment).then_some(statement)
}
