//! Connections to replicas and to the store.
//!
//! The client of the HTTP library `ntex` keeps its pool to itself: nobody can ask it whether a request
//! was sent at all, whether bytes nobody asked for wait on a kept connection, or close the connection of
//! one request at once. These decide what a caller may be told, so this module uses `hyper`'s client of
//! single connections, the nearest kin, with a separate pool.

mod answer;
mod call;
mod connection;
mod connector;
mod pool;

pub use answer::{Answer, AnswerError};
pub use call::{CallAnswer, CallError, call, call_if, call_with_headers};
pub use connection::{Connection, SendFailure};
pub use connector::{ConnectError, is_refused, set_options};
pub use pool::Pool;
