//! Routes opaque requests to replicas that an object store lists.
//!
//! The gateway knows routes by host and path prefix, tenants by key, replicas by their entries in the
//! store and prompts by the sizes and names of their parts. It never reads a body. How all of this is
//! spelled on the wire is a [`protocol::Platform`], which lies outside of this crate.
//!
//! - [`cache`]: what stores of cached prompt work are known to keep.
//! - [`configuration`]: routes, services and tenants in force.
//! - [`protocol`]: what a platform's adapter has to supply.
//! - [`pipeline`]: the path of a request, one file per filter, the list in one place.
//! - [`notices`]: what replicas say of themselves in their answers.
//! - [`peers`]: what daemons tell each other.
//! - [`permits`]: permits to send to replicas that limit their rate.
//! - [`quarantine`]: requests that end the replicas that run them.
//! - [`replicas`]: what is believed of each replica, and the choice of one.
//! - [`upstream`]: connections to replicas and to the store.
//! - [`store`]: calls to the object store and the tasks that follow it.
//! - [`rollout`]: new weights, ordered by one daemon at a time.
//! - [`weights`]: the weights that the operator wants, and since when.
//! - [`suspected_weights`]: weights that may have been named although nobody heard of it.
//! - [`server`]: sockets, readiness, start and stop.
//! - [`standstill`]: how long this process has stood still.

pub mod budget;
pub mod cache;
pub mod configuration;
pub mod connections;
pub mod currency;
pub mod metrics;
pub mod notices;
mod own_daemon;
pub mod peers;
pub mod permits;
pub mod pipeline;
pub mod protocol;
pub mod quarantine;
pub mod quota;
pub mod replicas;
pub mod rollout;
pub mod server;
pub mod standstill;
pub mod state;
pub mod store;
pub mod suspected_weights;
pub mod upstream;
pub mod weights;

pub use server::{Gateway, RunningGateway};
