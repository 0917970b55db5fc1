//! Reads questions.

use super::cursor::{Cursor, Parsed};
use crate::query::{Comparison, Condition, Direction, Ordering, Query};
use crate::table::{Column, ColumnKind, Table};
use crate::token::TokenKind;
use crate::value::Value;

/// The largest limit of rows.
const MAX_LIMIT: u64 = 1_000_000;
/// The word for an empty cell.
const NONE: &str = "none";

#[derive(Debug, Clone, Copy)]
enum Clause {
    Where,
    And,
    Order,
    Limit,
}

/// The clauses that may follow the table.
const AFTER_TABLE: &[(&str, Clause)] = &[
    ("where", Clause::Where),
    ("order", Clause::Order),
    ("limit", Clause::Limit),
];
/// The clauses that may follow a condition.
const AFTER_CONDITION: &[(&str, Clause)] = &[
    ("and", Clause::And),
    ("order", Clause::Order),
    ("limit", Clause::Limit),
];
/// The clauses that may follow the order.
const AFTER_ORDER: &[(&str, Clause)] = &[("limit", Clause::Limit)];
/// The clauses that may follow the limit.
const AFTER_LIMIT: &[(&str, Clause)] = &[];

pub(super) fn show(cursor: &mut Cursor<'_>) -> Parsed<Query> {
    let table = cursor.choice(&Table::NAMES)?;
    let mut query = Query {
        table,
        conditions: Vec::new(),
        order: None,
        limit: None,
    };
    let mut possible = AFTER_TABLE;
    while let Some(clause) = cursor.choice_or_end(possible)? {
        possible = match clause {
            Clause::Where | Clause::And => {
                query.conditions.push(condition(cursor, table)?);
                AFTER_CONDITION
            }
            Clause::Order => {
                query.order = Some(ordering(cursor, table)?);
                AFTER_ORDER
            }
            Clause::Limit => {
                query.limit = Some(cursor.number("the number of rows", 1..=MAX_LIMIT)?);
                AFTER_LIMIT
            }
        };
    }
    Ok(query)
}

fn column(cursor: &mut Cursor<'_>, table: Table) -> Parsed<&'static Column> {
    let columns: Vec<(&str, &'static Column)> = table
        .columns()
        .iter()
        .map(|column| (column.name, column))
        .collect();
    cursor.choice(&columns)
}

fn condition(cursor: &mut Cursor<'_>, table: Table) -> Parsed<Condition> {
    let column = column(cursor, table)?;
    let comparison = cursor.choice(comparisons_of(column.kind))?;
    let value = value(cursor, column)?;
    Ok(Condition {
        column,
        comparison,
        value,
    })
}

/// Numbers can't be searched for a text.
fn comparisons_of(kind: ColumnKind) -> &'static [(&'static str, Comparison)] {
    let all = &Comparison::SPELLINGS;
    match kind {
        ColumnKind::Text => all,
        ColumnKind::Number | ColumnKind::Percent => &all[..all.len() - 1],
    }
}

fn value(cursor: &mut Cursor<'_>, column: &Column) -> Parsed<Value> {
    let is_none = |word: &str| word.eq_ignore_ascii_case(NONE);
    if cursor.peek_word().is_some_and(is_none) {
        cursor.advance();
        return Ok(Value::None);
    }
    match column.kind {
        ColumnKind::Text => text_value(cursor, column),
        ColumnKind::Number => number_value(cursor, column, "a whole number or none"),
        ColumnKind::Percent => number_value(cursor, column, "a share such as 20% or none"),
    }
}

fn text_value(cursor: &mut Cursor<'_>, column: &Column) -> Parsed<Value> {
    let text = match cursor.peek().map(|token| &token.kind) {
        Some(TokenKind::Word(text) | TokenKind::Quoted(text)) => text.clone(),
        Some(TokenKind::Sign(_)) | None => {
            let expected = format!("a value for {}: a word, a quoted text or none", column.name);
            return Err(cursor.error(expected));
        }
    };
    cursor.advance();
    Ok(Value::Text(text))
}

fn number_value(cursor: &mut Cursor<'_>, column: &Column, expected: &str) -> Parsed<Value> {
    let word = cursor.peek_word().unwrap_or_default();
    let digits = match column.kind {
        ColumnKind::Percent => word.strip_suffix('%').unwrap_or(word),
        ColumnKind::Text | ColumnKind::Number => word,
    };
    let Ok(number) = digits.parse() else {
        return Err(cursor.error(format!("a value for {}: {expected}", column.name)));
    };
    cursor.advance();
    Ok(Value::Number(number))
}

fn ordering(cursor: &mut Cursor<'_>, table: Table) -> Parsed<Ordering> {
    cursor.keyword("by")?;
    let column = column(cursor, table)?;
    let direction = match cursor.peek_word().map(str::to_ascii_lowercase).as_deref() {
        Some("desc") => Some(Direction::Descending),
        Some("asc") => Some(Direction::Ascending),
        _ => None,
    };
    if direction.is_some() {
        cursor.advance();
    }
    Ok(Ordering {
        column,
        direction: direction.unwrap_or(Direction::Ascending),
    })
}
