//! Decisions about requests under load: admission, placement and return times.
//!
//! Every decision is a function of a snapshot of what the gateway knows. Nothing here reads a clock, starts a task or
//! opens a socket, so that generated load can be replayed against the decisions in tests without a network. Each module
//! names the load that it answers.
//!
//! - [`admission`]: whether a request is sent now, behind others, or refused.
//! - [`fair_share`]: shares of tenants while a service cannot run all that they send.
//! - [`interference`]: the cost of prefilling a prompt beside running streams.
//! - [`load`]: the load of one replica, on which all decisions rest.
//! - [`placement`]: which replica takes a request.
//! - [`prefill`]: how long a replica takes to prefill a prompt.
//! - [`queue_state`]: the wait in the queues of all replicas of a service together.
//! - [`replica_speed`]: how fast the replicas answer, and when a request is hedged.
//! - [`retry_after`]: when a refused caller should retry.
//! - [`wait_statistics`]: the waits at one replica, from requests that have started.

pub mod admission;
pub mod concurrency_window;
pub mod fair_share;
pub mod interference;
pub mod load;
pub mod placement;
pub mod prefill;
pub mod queue_state;
pub mod replica_speed;
pub mod retry_after;
pub mod wait_statistics;
