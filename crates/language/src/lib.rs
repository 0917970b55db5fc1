//! The operators' language: what can be asked and ordered, as typed syntax trees.
//!
//! - [`parse`] reads one statement; an error points at the column and says what was expected.
//! - [`Statement`] prints itself in the form that [`parse`] reads back.
//! - [`select`] applies a query's conditions, order and limit to the rows of a table.
//!
//! [`api`] has the messages between `driftctl` and a daemon. `docs/LANGUAGE.md` has the grammar with examples.

pub mod api;
mod command;
mod error;
mod parser;
mod print;
mod query;
mod select;
mod statement;
mod table;
mod token;
mod value;

pub use command::{
    AddRoute, AddTenant, Command, LegacyMove, LoadModel, RouteChange, ShiftRoute, TenantChange,
};
pub use error::{Found, ParseError};
pub use parser::parse;
pub use query::{Comparison, Condition, Direction, Ordering, Query};
pub use select::{Cell, Row, select};
pub use statement::Statement;
pub use table::{Column, ColumnKind, Table};
pub use value::{Percent, Priority, Value};
