//! Applies a query's conditions, order and limit to the rows of its table.

use std::cmp;

use serde::{Deserialize, Serialize};

use crate::query::{Comparison, Condition, Direction, Query};
use crate::value::Value;

/// One cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// No value.
    Empty,
    /// A whole number.
    Number(u64),
    /// A text.
    Text(String),
}

impl From<u64> for Cell {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for Cell {
    fn from(number: u32) -> Self {
        Self::Number(number.into())
    }
}

impl From<u8> for Cell {
    fn from(number: u8) -> Self {
        Self::Number(number.into())
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Cell {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl<T: Into<Cell>> From<Option<T>> for Cell {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Empty, Into::into)
    }
}

/// One row, with a cell for each column of its table.
pub type Row = Vec<Cell>;

/// The rows that meet every condition of `query`, in its order, as many as it allows.
pub fn select(query: &Query, mut rows: Vec<Row>) -> Vec<Row> {
    rows.retain(|row| {
        query
            .conditions
            .iter()
            .all(|condition| meets(query, row, condition))
    });
    let (column, direction) = match query.order {
        Some(order) => (order.column.name, order.direction),
        None => (query.table.columns()[0].name, Direction::Ascending),
    };
    if let Some(position) = query.table.position(column) {
        rows.sort_by(|left, right| compare(left.get(position), right.get(position), direction));
    }
    let limit = query.limit.and_then(|limit| usize::try_from(limit).ok());
    rows.truncate(limit.unwrap_or(usize::MAX));
    rows
}

/// Empty cells come last in both directions.
fn compare(left: Option<&Cell>, right: Option<&Cell>, direction: Direction) -> cmp::Ordering {
    let order = match (left, right) {
        (Some(Cell::Number(left)), Some(Cell::Number(right))) => left.cmp(right),
        (Some(Cell::Text(left)), Some(Cell::Text(right))) => left.cmp(right),
        (left, right) => return is_empty(left).cmp(&is_empty(right)),
    };
    match direction {
        Direction::Ascending => order,
        Direction::Descending => order.reverse(),
    }
}

fn is_empty(cell: Option<&Cell>) -> bool {
    matches!(cell, None | Some(Cell::Empty))
}

fn meets(query: &Query, row: &Row, condition: &Condition) -> bool {
    let position = query.table.position(condition.column.name);
    let cell = position.and_then(|position| row.get(position));
    let order = match (cell, &condition.value) {
        (Some(Cell::Number(cell)), Value::Number(value)) => cell.cmp(value),
        (Some(Cell::Text(cell)), Value::Text(value)) => {
            if condition.comparison == Comparison::Contains {
                return cell.contains(value.as_str());
            }
            cell.as_str().cmp(value)
        }
        (cell, Value::None) => {
            return match condition.comparison {
                Comparison::Equal => is_empty(cell),
                Comparison::NotEqual => !is_empty(cell),
                _ => false,
            };
        }
        _ => return condition.comparison == Comparison::NotEqual,
    };
    match condition.comparison {
        Comparison::Equal => order.is_eq(),
        Comparison::NotEqual => order.is_ne(),
        Comparison::Less => order.is_lt(),
        Comparison::LessOrEqual => order.is_le(),
        Comparison::Greater => order.is_gt(),
        Comparison::GreaterOrEqual => order.is_ge(),
        Comparison::Contains => false,
    }
}
