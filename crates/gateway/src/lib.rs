//! Routes opaque requests to replicas that are listed in an object store.
//!
//! The gateway identifies routes by host and path prefix, tenants by key, replicas by their entries in the store, and prompts
//! by the sizes and names of their parts. It never reads a request body. The wire formats are defined by a
//! [`protocol::Platform`], which is implemented outside this crate.
//!
//! - [`authorization`]: what a configuration allows a request.
//! - [`callers`]: how callers' connections are accepted, and how they end.
//! - [`cache`]: the known contents of the prompt caches in KV stores.
//! - [`caller_limits`]: limits on the time that callers take.
//! - [`configuration`]: routes, services and tenants in force.
//! - [`forwarding`]: requests that go through another gateway while no replica can be reached from here.
//! - [`protocol`]: the traits that a platform adapter implements.
//! - [`pipeline`]: the processing of a request, one file per filter, with the list of filters in one place.
//! - [`notices`]: notices that replicas give about themselves in their answers.
//! - [`peers`]: messages between gateways.
//! - [`permits`]: permits to send to replicas that limit their rate.
//! - [`quarantine`]: requests that crash the replicas that run them.
//! - [`reachability`]: whether this gateway reaches the replicas of a service at all.
//! - [`replicas`]: the known state of each replica, and the choice of one.
//! - [`upstream`]: connections to replicas and to the store.
//! - [`store`]: calls to the object store and the tasks that follow it.
//! - [`rollout`]: the loading of new weights, ordered by one gateway at a time.
//! - [`weights`]: the versions of weights that the operator wants, and since when.
//! - [`stream_versions`]: the software version at which each resumable stream began.
//! - [`suspected_weights`]: versions that may have been named although no gateway has seen it.
//! - [`shares`]: fair shares of tenants while a service cannot run all that they send.
//! - [`server`]: sockets, readiness, start and stop.
//! - [`status`]: what the threads of a gateway share, and the phases of a planned stop.
//! - [`standstill`]: detection of times in which this process was suspended.

pub mod authorization;
pub mod budget;
pub mod cache;
pub mod caller_limits;
pub mod callers;
pub mod configuration;
pub mod connections;
pub mod currency;
pub mod forwarding;
mod held_bytes;
pub mod interference;
pub mod listening;
pub mod metrics;
pub mod notices;
mod own_daemon;
pub mod peers;
pub mod permits;
pub mod pipeline;
pub mod protocol;
pub mod quarantine;
pub mod quota;
pub mod reachability;
pub mod replicas;
pub mod rollout;
pub mod server;
pub mod shares;
pub mod standstill;
pub mod state;
pub mod status;
pub mod store;
pub mod stream_versions;
pub mod suspected_weights;
pub mod upstream;
pub mod weights;

pub use server::{Gateway, RunningGateway};
