//! The flags.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

xflags::xflags! {
    /// Asks and orders driftspring daemons. Without a statement and a file, statements are read from standard input.
    cmd driftctl {
        /// A statement, such as: show routes. Its words are joined by spaces. With "explain REQUEST-ID" log lines
        /// are read from standard input, and what they tell of the request is written.
        repeated statement: String
        /// The operators' address of a daemon; further ones are tried in turn. Default: 127.0.0.1:8081.
        repeated -s, --server address: SocketAddr
        /// Reads statements from a file, one a line; # begins a comment line.
        optional -f, --file file: PathBuf
        /// Ends at the first statement that does not succeed.
        optional --stop-on-error
        /// table (default) or json: one JSON object a statement.
        optional -o, --output format: OutputFormat
        /// Shows what orders would change, and changes nothing.
        optional --dry-run
        /// Waits this many seconds until an accepted order is in force in every daemon.
        optional --wait seconds: u64
    }
}

/// How answers are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns and sentences.
    #[default]
    Table,
    /// One JSON object for each statement.
    Json,
}

/// A text that names no output format.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected table or json")]
pub struct UnknownOutputFormat;

impl FromStr for OutputFormat {
    type Err = UnknownOutputFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(UnknownOutputFormat),
        }
    }
}
