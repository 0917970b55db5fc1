//! Errors in statements: where, what was found and what was expected.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What stood in the place of something expected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Found {
    /// The statement's end.
    End,
    /// A word, number, text or sign, as written.
    Token(String),
}

impl fmt::Display for Found {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::End => formatter.write_str("the end of the statement"),
            Self::Token(text) => write!(formatter, "{text:?}"),
        }
    }
}

/// An error in a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParseError {
    /// Where the faulty part begins, in characters from 1.
    pub column: usize,
    /// How long the faulty part is, in characters; 1 at the statement's end.
    pub length: usize,
    /// What was expected instead.
    pub expected: String,
    /// What was found.
    pub found: Found,
    /// The known word that is probably meant.
    pub suggestion: Option<String>,
}

impl fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            column,
            expected,
            found,
            ..
        } = self;
        write!(
            formatter,
            "column {column}: expected {expected}, found {found}"
        )?;
        match &self.suggestion {
            Some(word) => write!(formatter, "; did you mean {word:?}?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ParseError {}

impl ParseError {
    /// The statement with the faulty part marked below it, then the error.
    pub fn render(&self, statement: &str) -> String {
        let indent = " ".repeat(self.column.saturating_sub(1));
        let mark = "^".repeat(self.length.max(1));
        format!("{statement}\n{indent}{mark}\n{self}")
    }
}
