//! Filter: checks whether a request is within its tenant's quota.

use std::sync::Arc;

use driftspring_clock::Instant;

use super::decode::Decoded;
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::Tenant;
use crate::protocol::Prompt;
use crate::quota::{Charge, QuotaExceeded};
use crate::state::GatewayState;

/// Charges a request to its tenant. Returns the charge, to be refunded if the request does not run.
pub fn check_quota(
    state: &GatewayState,
    decoded: &Decoded,
    tenant: Option<&Arc<Tenant>>,
) -> Result<Option<Charge>, Refusal> {
    let Some(tenant) = tenant else {
        return Ok(None);
    };
    let prompt = decoded.meta.prompt.as_ref();
    let size =
        |prompt: &Prompt| u64::from(prompt.input_tokens) + u64::from(prompt.max_output_tokens);
    let tokens = prompt.map(size).filter(|tokens| *tokens > 0);
    let charged = state
        .quotas
        .admit(tenant, tokens, state.random_fraction(), Instant::now());
    charged.map_err(|(refused, limit)| {
        let detail = format!("tenant {}: {limit}", tenant.name);
        match refused {
            QuotaExceeded::RetryAfter(time) => Refusal {
                retry_after: Some(time),
                ..Refusal::new(Step::Quota, Reason::OverQuota, detail)
            },
            QuotaExceeded::ExceedsBurst => Refusal::new(Step::Quota, Reason::BeyondQuota, detail),
        }
    })
}
