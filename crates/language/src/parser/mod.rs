//! Reads statements. Words come from [`crate::token`]; a statement is read word by word rather than
//! by alternatives, so that each error can name the one place and all that was possible there.

mod commands;
mod cursor;
mod queries;

use crate::error::ParseError;
use crate::statement::Statement;
use crate::token::tokens;
use cursor::{Cursor, Parsed};

/// The first word of a statement.
#[derive(Debug, Clone, Copy)]
enum Verb {
    Show,
    Add,
    Set,
    Remove,
    Shift,
    Finish,
    Cancel,
    Move,
    Drain,
    Undrain,
    Load,
}

const VERBS: [(&str, Verb); 11] = [
    ("show", Verb::Show),
    ("add", Verb::Add),
    ("set", Verb::Set),
    ("remove", Verb::Remove),
    ("shift", Verb::Shift),
    ("finish", Verb::Finish),
    ("cancel", Verb::Cancel),
    ("move", Verb::Move),
    ("drain", Verb::Drain),
    ("undrain", Verb::Undrain),
    ("load", Verb::Load),
];

/// Reads one statement.
///
/// # Errors
///
/// The first fault, with its column and what was expected there.
pub fn parse(statement: &str) -> Result<Statement, ParseError> {
    let tokens = tokens(statement)?;
    let mut cursor = Cursor::new(statement, &tokens);
    let parsed = parse_statement(&mut cursor)?;
    cursor.end()?;
    Ok(parsed)
}

fn parse_statement(cursor: &mut Cursor<'_>) -> Parsed<Statement> {
    let verb = cursor.choice(&VERBS)?;
    let command = match verb {
        Verb::Show => return queries::show(cursor).map(Statement::Show),
        Verb::Add => commands::add(cursor),
        Verb::Set => commands::set(cursor),
        Verb::Remove => commands::remove(cursor),
        Verb::Shift => commands::shift(cursor),
        Verb::Finish => commands::finish_shift(cursor),
        Verb::Cancel => commands::cancel_shift(cursor),
        Verb::Move => commands::move_off_legacy(cursor),
        Verb::Drain => commands::drain(cursor),
        Verb::Undrain => commands::undrain(cursor),
        Verb::Load => commands::load(cursor),
    };
    command.map(Statement::Command)
}
