//! One statement of an operator.

use crate::command::Command;
use crate::query::Query;

/// A statement: a question or an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// `show …`: reads, changes nothing.
    Show(Query),
    /// Everything else: changes one configuration object.
    Command(Command),
}
