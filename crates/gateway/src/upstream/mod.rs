//! Connections to replicas and to the store.
//!
//! The client of the HTTP library `ntex` hides its connection pool: it does not tell whether a request was sent
//! at all or whether unsolicited bytes wait on an idle connection, and can't close the connection of one
//! request at once. What a caller may be told depends on these, so this module uses the closest alternative,
//! the client of `hyper` for single connections, with a pool of its own.

mod answer;
mod call;
mod connection;
mod connector;
mod peer_stream;
mod pool;

pub use answer::{Answer, AnswerError};
pub use call::{CallAnswer, CallError, Reaction, call, call_if, call_with_headers, reaction};
pub use connection::{Connection, SendFailure};
pub use connector::{ConnectError, UNACKNOWLEDGED_TIMEOUT, is_refused, set_options};
pub use pool::Pool;
