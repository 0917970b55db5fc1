//! Errors in settings: where the value stands, what was expected and what was found.

use std::fmt;
use std::path::PathBuf;

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A place in the settings file; both numbers count from 1.
    File {
        /// The line.
        line: usize,
        /// The column, in characters.
        column: usize,
    },
    /// A flag of the command line.
    Flag,
}

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { line, column } => write!(formatter, "line {line}, column {column}"),
            Self::Flag => formatter.write_str("flag"),
        }
    }
}

/// What is wrong with a setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The text is no TOML.
    #[error("no valid TOML: {0}")]
    Syntax(String),
    /// No setting has this name.
    #[error("unknown key{}", suggestion_text(.suggestion))]
    UnknownKey {
        /// The known key that is probably meant.
        suggestion: Option<String>,
    },
    /// A setting without a default is not given.
    #[error("missing: expected {expected}")]
    Missing {
        /// What would be accepted.
        expected: String,
    },
    /// The value is of another type, out of its range or malformed.
    #[error("expected {expected}, found {found}{}", suggestion_text(.suggestion))]
    Invalid {
        /// What would be accepted.
        expected: String,
        /// The value as written.
        found: String,
        /// The known word that is probably meant.
        suggestion: Option<String>,
    },
    /// The same name stands twice where it must be unique.
    #[error("{name:?} is given twice")]
    Duplicate {
        /// The repeated name.
        name: String,
    },
    /// The value names something that the settings don't define.
    #[error("{name:?} is not defined: expected {expected}")]
    Undefined {
        /// The name without a definition.
        name: String,
        /// What it must name.
        expected: String,
    },
}

fn suggestion_text(suggestion: &Option<String>) -> String {
    match suggestion {
        Some(word) => format!("; did you mean {word:?}?"),
        None => String::new(),
    }
}

/// One faulty setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{origin}: {key}: {problem}")]
pub struct SettingError {
    /// Where the value stands; for a missing key, the table in which it belongs.
    pub origin: Origin,
    /// The key with its tables, such as `listen.callers`.
    pub key: String,
    /// What is wrong.
    pub problem: Problem,
}

/// Why settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("could not read the settings file {path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// Settings are faulty; every fault is listed.
    #[error("{}", list_of_errors(.0))]
    Invalid(Vec<SettingError>),
}

fn list_of_errors(errors: &[SettingError]) -> String {
    let lines: Vec<String> = errors.iter().map(SettingError::to_string).collect();
    lines.join("\n")
}
