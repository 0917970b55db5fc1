//! Fair shares of tenants while a service cannot run all that they send, see [`driftspring_decisions::fair_share`].
//!
//! Every gateway counts the demand of each tenant at each service and the work of its requests that began. While a
//! service is overloaded, these totals are exchanged in the way of [`crate::quota`]: members report to the leader of
//! their group, leaders to each other and to their members ([`crate::peers`]). Every gateway computes the shares from
//! them, and refuses the part of a tenant's requests that is above its share.
//!
//! Without an overload nothing is sent. The gateway that first sees one computes the first shares from its own counts;
//! its first report lets the others send theirs, which cover the half second before them.
//!
//! - [`key`]: what identifies a service and a tenant in reports.
//! - [`metrics`]: metrics by tenant.
//! - [`rate`]: the rate of work over the recent past.
//! - [`reported`]: what the groups of gateways reported.
//! - [`service`]: the shares of one service.
//! - [`shared`]: all services of this gateway.

pub mod key;
pub mod metrics;
pub mod rate;
pub mod reported;
pub mod service;
pub mod shared;

pub use service::{OverShare, Standing};
pub use shared::FairShares;

use crate::protocol::Prompt;

/// The work of a request: the tokens of its prompt and its answer, as for quotas; 1 without a prompt.
pub fn work_of(prompt: Option<&Prompt>) -> u64 {
    let tokens =
        |prompt: &Prompt| u64::from(prompt.input_tokens) + u64::from(prompt.max_output_tokens);
    prompt.map_or(1, tokens).max(1)
}
