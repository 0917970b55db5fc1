//! Writes answers as tables and sentences, or as JSON lines.

use std::io::{self, Write};

use driftspring_language::api::{InForceAnswer, Plan, StatementAnswer};
use driftspring_language::{Cell, ParseError, Row};
use serde::Serialize;

use crate::client::CallError;
use crate::command_line::OutputFormat;

const HELP: &str = "\
Questions:
  show routes|tenants|engines|members|cache|leases|models|limits|requests
       [where COLUMN =|!=|<|<=|>|>=|contains VALUE [and ...]] [order by COLUMN [desc]] [limit N]
Orders:
  add tenant T key-hash HASH|key KEY [rate N] [concurrency N] [weight N]
  set tenant T [key-hash HASH|key KEY] [rate N] [concurrency N] [weight N]
  remove tenant T
  add route R tenant T model M version V [priority N] [cache on|off] [legacy ADDRESS PERCENT%]
  set route R [priority N] [cache on|off]
  remove route R
  shift route R to version V PERCENT%
  finish shift route R | cancel shift route R
  move route R off legacy PERCENT%
  drain engine E | undrain engine E
  load model M version V [parallel N] [floor N]
Here: help, quit
";

/// The answer to a statement, with where an accepted order is in force if that was waited for.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    #[serde(flatten)]
    pub(crate) answer: StatementAnswer,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) in_force: Option<InForceAnswer>,
}

/// A fault that no daemon told, as JSON.
#[derive(Debug, Serialize)]
struct LocalFault<'a> {
    status: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a ParseError>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<String>,
}

/// Where and how answers are written.
pub(crate) struct Output<'a> {
    /// For answers.
    pub(crate) standard: &'a mut dyn Write,
    /// For errors.
    pub(crate) errors: &'a mut dyn Write,
    /// How.
    pub(crate) format: OutputFormat,
}

impl Output<'_> {
    /// Writes the answer to the statement `text`.
    pub(crate) fn report(&mut self, place: &str, text: &str, report: &Report) -> io::Result<()> {
        match self.format {
            OutputFormat::Json => self.json(report),
            OutputFormat::Table => self.sentences(place, text, report),
        }
    }

    /// Writes an error of a statement that was not sent.
    pub(crate) fn invalid(
        &mut self,
        place: &str,
        text: &str,
        error: &ParseError,
    ) -> io::Result<()> {
        match self.format {
            OutputFormat::Json => self.json(&LocalFault {
                status: "invalid",
                error: Some(error),
                cause: None,
            }),
            OutputFormat::Table => self.marked(place, text, error),
        }
    }

    /// Writes a faulty statement with a mark below the fault; the place stands on a line before it.
    fn marked(&mut self, place: &str, text: &str, error: &ParseError) -> io::Result<()> {
        if !place.is_empty() {
            writeln!(self.errors, "{}", place.trim_end())?;
        }
        writeln!(self.errors, "{}", error.render(text))
    }

    /// Writes that no daemon answered.
    pub(crate) fn no_answer(&mut self, place: &str, error: &CallError) -> io::Result<()> {
        let status = match error {
            CallError::NotSent { .. } => "unreachable",
            CallError::AnswerLost { .. } => "unknown",
        };
        match self.format {
            OutputFormat::Json => self.json(&LocalFault {
                status,
                error: None,
                cause: Some(error.to_string()),
            }),
            OutputFormat::Table => writeln!(self.errors, "{place}{status}: {error}"),
        }
    }

    pub(crate) fn help(&mut self) -> io::Result<()> {
        self.standard.write_all(HELP.as_bytes())
    }

    fn json(&mut self, value: &impl Serialize) -> io::Result<()> {
        let line = serde_json::to_string(value)?;
        writeln!(self.standard, "{line}")
    }

    fn sentences(&mut self, place: &str, text: &str, report: &Report) -> io::Result<()> {
        match &report.answer {
            StatementAnswer::Rows { columns, rows } => self.table(columns, rows),
            StatementAnswer::Planned { plan } => {
                let revision = plan.expected_revision;
                let key = &plan.key;
                writeln!(
                    self.standard,
                    "would change {key} (now at revision {revision})"
                )?;
                self.plan(plan)
            }
            StatementAnswer::Accepted { revision, plan } => {
                let key = &plan.key;
                writeln!(self.standard, "accepted at revision {revision}: {key}")?;
                self.plan(plan)?;
                match &report.in_force {
                    Some(in_force) => self.in_force(in_force),
                    None => Ok(()),
                }
            }
            StatementAnswer::Refused { refusal } => {
                writeln!(self.errors, "{place}refused, not applied: {refusal}")
            }
            StatementAnswer::Unknown {
                write_id,
                cause,
                plan,
            } => {
                let key = &plan.key;
                writeln!(
                    self.errors,
                    "{place}unknown: {key} may have been changed, or may yet (write {write_id}): {cause}"
                )
            }
            StatementAnswer::Invalid { error } => self.marked(place, text, error),
        }
    }

    fn plan(&mut self, plan: &Plan) -> io::Result<()> {
        if plan.changes.is_empty() {
            writeln!(self.standard, "  nothing changes")?;
        }
        for change in &plan.changes {
            let before = change.before.as_deref().unwrap_or("-");
            let after = change.after.as_deref().unwrap_or("-");
            writeln!(self.standard, "  {}: {before} -> {after}", change.field)?;
        }
        for effect in &plan.effects {
            writeln!(self.standard, "  {effect}")?;
        }
        for warning in &plan.warnings {
            writeln!(self.standard, "  warning: {warning}")?;
        }
        Ok(())
    }

    fn in_force(&mut self, in_force: &InForceAnswer) -> io::Result<()> {
        let members = &in_force.members;
        let lacking: Vec<&str> = members
            .iter()
            .filter(|member| !member.in_force)
            .map(|member| member.id.as_str())
            .collect();
        let (holding, all) = (members.len() - lacking.len(), members.len());
        writeln!(self.standard, "  in force in {holding} of {all} daemons")?;
        match lacking.is_empty() {
            true => Ok(()),
            false => writeln!(self.standard, "  not yet in: {}", lacking.join(", ")),
        }
    }

    fn table(&mut self, columns: &[String], rows: &[Row]) -> io::Result<()> {
        let texts: Vec<Vec<String>> = rows
            .iter()
            .map(|row| row.iter().map(cell_text).collect())
            .collect();
        let widths = column_widths(columns, &texts);
        let header: Vec<String> = columns.to_vec();
        self.line(&header, &widths, &[])?;
        for (row, texts) in rows.iter().zip(&texts) {
            self.line(texts, &widths, row)?;
        }
        let noun = if rows.len() == 1 { "row" } else { "rows" };
        writeln!(self.standard, "({} {noun})", rows.len())
    }

    /// Writes one line; numbers stand at the right of their column.
    fn line(&mut self, texts: &[String], widths: &[usize], row: &[Cell]) -> io::Result<()> {
        let cells = texts.iter().zip(widths).enumerate();
        let padded: Vec<String> = cells
            .map(|(position, (text, width))| match row.get(position) {
                Some(Cell::Number(_)) => format!("{text:>width$}"),
                _ => format!("{text:<width$}"),
            })
            .collect();
        writeln!(self.standard, "{}", padded.join("  ").trim_end())
    }
}

fn cell_text(cell: &Cell) -> String {
    match cell {
        Cell::Empty => "-".to_owned(),
        Cell::Number(number) => number.to_string(),
        Cell::Text(text) => text.clone(),
    }
}

fn column_widths(columns: &[String], rows: &[Vec<String>]) -> Vec<usize> {
    let width_of = |(position, column): (usize, &String)| {
        let cells = rows.iter().filter_map(|row| row.get(position));
        let widths = cells.chain([column]).map(|text| text.chars().count());
        widths.max().unwrap_or_default()
    };
    columns.iter().enumerate().map(width_of).collect()
}
