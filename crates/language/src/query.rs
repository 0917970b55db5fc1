//! Questions: `show TABLE [where …] [order by …] [limit …]`.

use crate::table::{Column, Table};
use crate::value::Value;

/// A question about one table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The table.
    pub table: Table,
    /// Conditions that every row shown meets.
    pub conditions: Vec<Condition>,
    /// How rows are ordered; by the first column where nothing is said.
    pub order: Option<Ordering>,
    /// Rows shown at the most.
    pub limit: Option<u64>,
}

/// One condition on a column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The column.
    pub column: &'static Column,
    /// How it is compared.
    pub comparison: Comparison,
    /// With what it is compared.
    pub value: Value,
}

/// How a cell is compared with a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `contains`: the text occurs anywhere in the cell.
    Contains,
}

impl Comparison {
    /// Every comparison with its spelling.
    pub(crate) const SPELLINGS: [(&'static str, Self); 7] = [
        ("=", Self::Equal),
        ("!=", Self::NotEqual),
        ("<=", Self::LessOrEqual),
        ("<", Self::Less),
        (">=", Self::GreaterOrEqual),
        (">", Self::Greater),
        ("contains", Self::Contains),
    ];

    /// Its spelling.
    pub fn spelling(self) -> &'static str {
        let found = Self::SPELLINGS
            .iter()
            .find(|(_, comparison)| *comparison == self);
        found.map_or("=", |(spelling, _)| spelling)
    }
}

/// The order of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ordering {
    /// The column that is ordered by.
    pub column: &'static Column,
    /// Upwards or downwards.
    pub direction: Direction,
}

/// Upwards or downwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// The smallest first.
    Ascending,
    /// The largest first.
    Descending,
}
