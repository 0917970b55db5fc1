//! Connections to replicas and to the store.
//!
//! The client of the HTTP library `ntex` hides its connection pool: it does not tell whether a request was sent
//! at all or whether unsolicited bytes wait on an idle connection, and can't close the connection of one
//! request at once. What a caller may be told depends on these, so this module uses the closest alternative,
//! the client of `hyper` for single connections, with a pool of its own.

mod answer;
mod call;
mod call_bytes;
mod connection;
mod connector;
mod endless;
mod framing;
mod meter;
mod metered;
mod peer_stream;
mod pool;
mod whole_body;

pub use answer::{Answer, AnswerError};
pub use call::{CallAnswer, CallError, Reaction, call, call_if, call_with_headers, reaction};
pub use connection::{Connection, SendFailure};
pub use connector::{ConnectError, UNACKNOWLEDGED_TIMEOUT, is_refused, set_options};
pub use endless::{ElementLabels, EndlessError, ended_by_element};
pub use framing::{Element, Framing, Messages};
pub use meter::Meter;
pub use metered::MeteredStream;
pub use peer_stream::PeerStream;
pub use pool::Pool;
pub use whole_body::WholeBody;
