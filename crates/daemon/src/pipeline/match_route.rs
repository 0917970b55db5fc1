//! Filter: finds the route of the tenant and model.

use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use driftspring_types::{
    ConfigView, LegacyUpstream, ModelName, NotRunReason, Peer, Route, Step, StepError, Tenant,
};

use super::refusal::Refusal;
use super::share::{Share, share_of};

/// The route of `tenant` for `model`.
pub fn match_route(
    config: &ConfigView,
    tenant: &Tenant,
    model: &ModelName,
) -> Result<Arc<Route>, Refusal> {
    config
        .routes
        .get(&tenant.id)
        .and_then(|routes| routes.get(model))
        .cloned()
        .ok_or_else(|| no_route(tenant, model))
}

/// The legacy upstream, where this prompt is in its share.
pub fn legacy_upstream<'a>(route: &'a Route, prompt: &[u8]) -> Option<&'a LegacyUpstream> {
    let upstream = route.legacy.as_ref()?;
    let in_share = share_of(Share::Legacy, &route.name, prompt) < upstream.percent;
    in_share.then_some(upstream)
}

fn no_route(tenant: &Tenant, model: &ModelName) -> Refusal {
    let cause = anyhow!("tenant `{}` has no route for model `{model}`", tenant.id);
    let error = StepError::not_run(Step::MatchRoute, Peer::Caller, cause);
    let mut refusal = Refusal::not_run(NotRunReason::NoRoute, Duration::ZERO, error);
    refusal.field = Some("model".to_owned());
    refusal
}
