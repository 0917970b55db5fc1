//! Forwards requests through other gateways while this one can't reach the replicas of a service.
//!
//! A gateway whose path to a service is lost ([`crate::reachability`]) asks others over UDP whether they reach it. Those
//! that do reply with an offer: a port, a token and how many requests they take. A request then goes to one of them as an
//! HTTP/1.1 request on the port for gateways, with [`hop`] headers. The other gateway checks route and key by its own
//! configuration, chooses the replica, sends the request once and relays the raw answer; it never forwards again.
//! Everything that is counted once per request stays with the first gateway: quota, retry budget, attempts, deadline, the
//! resumption of streams and the delivery to the caller.
//!
//! - [`hop`]: the headers between the two gateways.
//! - [`offers`]: the known offers, and the choice among them.
//! - [`candidates`]: which gateways are asked.
//! - `task`: asks for offers while a path is lost.
//! - `server`: takes requests of other gateways; `flush`: when their answers were sent.

pub mod candidates;
mod flush;
pub mod hop;
mod metrics;
pub mod offers;
mod server;
mod state;
mod task;

pub use metrics::{ForwardingMetrics, HopLabels};
pub use offers::{Offer, Offers, PeerUse, UsablePeer};
pub(crate) use server::run as run_server;
pub use state::Forwarding;
pub(crate) use task::{answer_query, apply_offer, run as run_task, send_queries};
